#include <rosemarymill/runtime/base/reset_on_close.hpp>

#include "support/http.hpp"
#include "support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>

using namespace rosemarymill;

namespace {

/// Socket under test, connected to a peer that has a small receive buffer and does not read.
struct World {
    World()
        : base(event_base_new())
        , listener(base.get())
        , socket(bufferevent_socket_new(base.get(), -1, BEV_OPT_CLOSE_ON_FREE))
    {
        listener.setReceiveBuffer(4096);
        listener.reading = false;
        auto to = runtime::parseAddress(listener.address()).value();
        REQUIRE(bufferevent_socket_connect(socket, to.get(), static_cast<int>(to.length)) == 0);
        REQUIRE(test::runUntil(base.get(), [&] { return !listener.acceptedConnections.empty(); }));
    }

    /// Writes bytes and waits until the kernel has accepted them.
    void write(std::size_t n)
    {
        const std::string bytes(n, 'x');
        bufferevent_write(socket, bytes.data(), bytes.size());
        REQUIRE(test::runUntil(base.get(), [&] { return evbuffer_get_length(bufferevent_get_output(socket)) == 0; }));
    }

    /// Closes the connection after resetOnClose(), and lets the peer read the remaining bytes.
    test::RawConnection& resetOnClose()
    {
        runtime::resetOnClose(socket);
        bufferevent_free(socket);
        auto& peer = listener.acceptedConnections.front();
        peer.setReading(true);
        REQUIRE(test::runUntil(base.get(), [&] { return peer.closed; }));
        return peer;
    }

    test::EventBase base;
    test::RawListener listener;
    bufferevent* socket;
};

} // namespace

TEST_CASE("Closing after resetOnClose discards bytes that the peer has not acknowledged", "[base]")
{
    constexpr std::size_t size = 256 * 1024;
    World world;
    world.write(size);
    const auto& peer = world.resetOnClose();
    CHECK(peer.reset);
    CHECK(peer.received.size() < size);
}

TEST_CASE("Closing after resetOnClose is graceful when all bytes were acknowledged", "[base]")
{
    World world;
    world.write(100);
    test::runFor(world.base.get(), std::chrono::milliseconds { 20 });
    const auto& peer = world.resetOnClose();
    CHECK_FALSE(peer.reset);
    CHECK(peer.received.size() == 100);
}
