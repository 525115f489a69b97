#include <rosemarymill/runtime/nodes/subscriber_server.hpp>

#include <rosemarymill/core/fleet/document_parts.hpp>
#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/nodes/control_link.hpp>
#include <rosemarymill/wire/fleet/codec.hpp>

#include "support/http.hpp"
#include "support/raw_connection.hpp"

#include <catch2/catch.hpp>

using namespace rosemarymill;
using runtime::nodes::SubscriberServer;

namespace {

std::string frameOf(wire::FrameKind kind, const wire::Buffer& payload)
{
    std::vector<std::byte> bytes;
    wire::appendFrame(kind, payload, bytes);
    return { reinterpret_cast<const char*>(bytes.data()), bytes.size() };
}

std::string helloFrame()
{
    wire::Buffer payload;
    encode(wire::link::Hello { VmId { "entry" }, DataCentreId { "mixco" }, BootId { "1" } }, payload);
    return frameOf(wire::FrameKind::Hello, payload);
}

std::string subscribeFrame()
{
    wire::Buffer payload;
    wire::fleet::encode(fleet::Subscribe {}, payload);
    return frameOf(wire::FrameKind::Fleet, payload);
}

/// Subscriber server with one subscribed process.
struct World {
    World()
        : base(event_base_new())
        , address(test::RawListener(base.get()).address())
        , server(base.get(), address, { VmId { "control" }, DataCentreId { "mixco" }, BootId { "1" } },
              { [](runtime::nodes::Subscriber&) {}, [](runtime::nodes::Subscriber&, const fleet::Report&) {},
                  [](runtime::nodes::Subscriber&, std::uint64_t) {},
                  [](const VmId&, std::span<const std::byte>) { return true; },
                  [this](const runtime::nodes::Subscriber&) { ++closed; } })
        , peer(base.get(), runtime::parseAddress(address).value())
    {
        peer.send(helloFrame() + subscribeFrame());
        REQUIRE(test::runUntil(
            base.get(), [&] { return !server.subscribers().empty() && server.subscribers().front().subscribed; }));
    }

    test::EventBase base;
    std::string address;
    unsigned closed { 0 };
    SubscriberServer server;
    test::RawConnection peer;
};

} // namespace

TEST_CASE("A connection closed by the idle timeout is not closed again when the peer disconnects", "[nodes]")
{
    World world;
    world.server.tick(runtime::readClock() + 2s);
    world.peer.close();
    test::runFor(world.base.get(), std::chrono::milliseconds { 50 });
    CHECK(world.server.subscribers().empty());
    CHECK(world.closed == 1);
}

TEST_CASE("Messages on a connection closed by the idle timeout are not delivered later", "[nodes]")
{
    constexpr std::size_t size = 16 * 1024 * 1024;
    World world;
    world.peer.setReading(false);
    world.peer.received.clear();
    fleet::Members members;
    members.controls = { std::string(512 * 1024, 'x') };
    for (std::size_t n = 0; n < size; n += members.controls.front().size())
        world.server.send(world.server.subscribers().front(), members);
    test::runFor(world.base.get(), std::chrono::milliseconds { 50 });
    world.server.tick(runtime::readClock() + runtime::nodes::ControlLink::idleTimeout);
    world.server.tick(runtime::readClock());
    world.peer.setReading(true);
    REQUIRE(test::runUntil(world.base.get(), [&] { return world.peer.closed; }));
    CHECK(world.peer.reset);
}

TEST_CASE("At most two parts of a push are buffered for a subscriber that does not read, and all arrive once it reads",
    "[nodes]")
{
    // 16 MiB exceed the socket buffers: Linux buffers at most 4 MiB to send and 6 MiB to receive on a connection.
    constexpr std::size_t count = 256;
    World world;
    runtime::nodes::Frames frames;
    for (const auto& part : fleet::splitPush(1, 2, std::vector<std::byte>(count * fleet::maxPartBytes))) {
        wire::Buffer payload;
        wire::fleet::encode(part, payload);
        wire::appendFrame(wire::FrameKind::Fleet, payload, frames.emplace_back());
    }
    REQUIRE(frames.size() == count);
    std::size_t total = 0;
    for (const auto& it : frames)
        total += it.size();
    world.peer.received.clear();
    world.peer.setReading(false);
    world.server.sendPush(
        world.server.subscribers().front(), std::make_shared<const runtime::nodes::Frames>(std::move(frames)));
    std::size_t maxUnsent = 0;
    for (unsigned i = 0; i < 20; ++i) {
        test::runFor(world.base.get(), std::chrono::milliseconds { 10 });
        maxUnsent = std::max(maxUnsent, world.server.unsent().max);
    }
    CHECK(maxUnsent > 0);
    CHECK(maxUnsent <= 2 * fleet::maxPartBytes);
    world.peer.setReading(true);
    CHECK(test::runUntil(world.base.get(), [&] { return world.peer.received.size() >= total; }));
}
