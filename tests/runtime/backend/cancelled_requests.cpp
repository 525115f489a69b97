#include <rosemarymill/runtime/backend/client.hpp>
#include <rosemarymill/runtime/backend/order_sender.hpp>

#include <rosemarymill/runtime/base/clock.hpp>

#include "support/http.hpp"
#include "support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <optional>

using namespace rosemarymill;

namespace {

/// More bytes than the kernel buffers for a server that does not read.
const std::string large(1024 * 1024, 'x');

/// Server that does not read, with a small receive buffer.
struct Server : test::RawListener {
    explicit Server(event_base* base)
        : RawListener(base)
    {
        setReceiveBuffer(4096);
        reading = false;
    }

    /// Reads the remaining bytes until the connection is closed.
    test::RawConnection& readRest(event_base* base)
    {
        auto& peer = acceptedConnections.front();
        peer.setReading(true);
        REQUIRE(test::runUntil(base, [&] { return peer.closed; }));
        return peer;
    }
};

} // namespace

TEST_CASE("The request of a cancelled attempt is not delivered to its server later", "[backend]")
{
    const test::EventBase base(event_base_new());
    Server server(base.get());
    runtime::backend::OutgoingRequest request;
    request.method = EVHTTP_REQ_POST;
    request.target = "/v1/chat/completions";
    request.body = large;
    runtime::backend::ConnectionPool pool(base.get());
    runtime::backend::Client client(
        base.get(), pool, [](node::Event&&) {}, [&](CallId) { return &request; }, "vm");
    node::Dispatch effect;
    effect.attempt = AttemptId { 7 };
    effect.call = CallId { 1 };
    effect.address = server.address();
    client.dispatch(effect);
    REQUIRE(test::runUntil(base.get(), [&] { return !server.acceptedConnections.empty(); }));
    test::runFor(base.get(), std::chrono::milliseconds { 50 });
    client.cancel({ AttemptId { 7 }, false });
    test::runFor(base.get(), std::chrono::milliseconds { 20 });
    const auto& peer = server.readRest(base.get());
    CHECK(peer.reset);
    CHECK(peer.received.size() < large.size());
}

TEST_CASE("An order that has timed out is not delivered to its server later", "[backend]")
{
    const test::EventBase base(event_base_new());
    Server server(base.get());
    std::optional<bool> accepted;
    runtime::backend::OrderSender sender(base.get(), [&](node::Event&& event) {
        if (const auto* it = std::get_if<node::OrderAnswered>(&event))
            accepted = it->accepted;
    });
    node::SendOrder effect;
    effect.address = server.address();
    effect.order.version = large;
    effect.notAfter = runtime::readClock() + 1min;
    sender.send(effect);
    REQUIRE(test::runUntil(base.get(), [&] { return accepted.has_value(); }));
    CHECK(accepted == false);
    const auto& peer = server.readRest(base.get());
    CHECK(peer.reset);
    CHECK(peer.received.size() < large.size());
}
