#include <rosemarymill/runtime/nodes/subscriber_server.hpp>

#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/wire/fleet/codec.hpp>

#include "support/http.hpp"
#include "support/peer.hpp"

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

} // namespace

TEST_CASE("A connection that was given up as silent is not closed a second time by its end", "[nodes]")
{
    const test::EventBase base(event_base_new());
    const auto address = test::PeerListener(base.get()).address();
    unsigned closed = 0;
    SubscriberServer server(base.get(), address, { VmId { "control" }, DataCentreId { "mixco" }, BootId { "1" } },
        { [](runtime::nodes::Subscriber&) {}, [](runtime::nodes::Subscriber&, const fleet::Report&) {},
            [](runtime::nodes::Subscriber&, std::uint64_t) {},
            [](const VmId&, std::span<const std::byte>) { return true; },
            [&](const runtime::nodes::Subscriber&) { ++closed; } });
    test::Peer peer(base.get(), runtime::parseAddress(address).value());
    peer.send(helloFrame() + subscribeFrame());
    REQUIRE(test::runUntil(
        base.get(), [&] { return !server.subscribers().empty() && server.subscribers().front().subscribed; }));
    server.tick(runtime::readClock() + 2s);
    peer.close();
    test::runFor(base.get(), std::chrono::milliseconds { 50 });
    CHECK(server.subscribers().empty());
    CHECK(closed == 1);
}
