#include <rosemarymill/runtime/nodes/control_link.hpp>

#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/wire/fleet/codec.hpp>

#include "support/http.hpp"
#include "support/raw_connection.hpp"

#include <catch2/catch.hpp>

using namespace rosemarymill;
using runtime::nodes::ControlLink;
using test::RawListener;

namespace {

wire::link::Hello hello(const std::string& vm) { return { VmId { vm }, DataCentreId { "mixco" }, BootId { "1" } }; }

std::string frame(wire::FrameKind kind, const wire::Buffer& payload)
{
    std::vector<std::byte> bytes;
    wire::appendFrame(kind, payload, bytes);
    return { reinterpret_cast<const char*>(bytes.data()), bytes.size() };
}

std::string helloFrame()
{
    wire::Buffer payload;
    encode(hello("control"), payload);
    return frame(wire::FrameKind::Hello, payload);
}

std::string membersFrame(const std::string& leader)
{
    wire::Buffer payload;
    fleet::Members members;
    members.leader = leader;
    members.controls = { leader };
    wire::fleet::encode(members, payload);
    return frame(wire::FrameKind::Fleet, payload);
}

struct World {
    World()
        : base(event_base_new())
        , control(base.get())
        , link(base.get(), hello("entry"), { [](const fleet::Message&) {}, [] { return fleet::Subscribe {}; } })
    {
    }

    bool runUntil(const std::function<bool()>& done)
    {
        return test::runUntil(base.get(), [&] {
            link.tick(runtime::readClock());
            return done();
        });
    }

    test::EventBase base;
    RawListener control;
    ControlLink link;
};

} // namespace

TEST_CASE("an entry VM is redirected by a control VM to the leader", "[nodes]")
{
    World world;
    RawListener leader(world.base.get());
    world.link.setSeeds({ world.control.address() });
    REQUIRE(world.runUntil([&] { return !world.control.acceptedConnections.empty(); }));
    world.control.acceptedConnections.front().send(helloFrame() + membersFrame(leader.address()));
    REQUIRE(world.runUntil([&] { return !leader.acceptedConnections.empty(); }));
    leader.acceptedConnections.front().send(helloFrame() + membersFrame(leader.address()));
    CHECK(world.runUntil([&] { return world.link.connected(); }));
}

TEST_CASE("messages on a connection that timed out before its first message are ignored", "[nodes]")
{
    World world;
    world.link.setSeeds({ world.control.address() });
    REQUIRE(world.runUntil([&] { return !world.control.acceptedConnections.empty(); }));
    auto& first = world.control.acceptedConnections.front();
    // The control VM pauses until the link has closed the connection, and resumes before the next attempt.
    REQUIRE(test::runUntil(world.base.get(), [&] {
        const auto late = runtime::readClock() + ControlLink::firstMessageTimeout;
        first.send(helloFrame());
        world.link.tick(late);
        return true;
    }));
    test::runFor(world.base.get(), std::chrono::milliseconds { 50 });
    REQUIRE(world.runUntil([&] { return world.control.acceptedConnections.size() == 2; }));
    auto& second = world.control.acceptedConnections.back();
    second.send(helloFrame() + membersFrame(world.control.address()));
    CHECK(world.runUntil([&] { return world.link.connected(); }));
}

TEST_CASE("discovered control VMs are tried when there are no seeds", "[nodes]")
{
    World world;
    RawListener other(world.base.get());
    world.link.setSeeds({ world.control.address() });
    REQUIRE(world.runUntil([&] { return !world.control.acceptedConnections.empty(); }));
    wire::Buffer payload;
    fleet::Members members;
    members.leader = world.control.address();
    members.controls = { world.control.address(), other.address() };
    wire::fleet::encode(members, payload);
    world.control.acceptedConnections.front().send(helloFrame() + frame(wire::FrameKind::Fleet, payload));
    REQUIRE(world.runUntil([&] { return world.link.connected(); }));
    world.link.setSeeds({});
    world.control.acceptedConnections.front().close();
    REQUIRE(world.runUntil([&] { return !other.acceptedConnections.empty(); }));
    other.acceptedConnections.front().send(helloFrame() + membersFrame(other.address()));
    CHECK(world.runUntil([&] { return world.link.connected(); }));
}

TEST_CASE("a connection to the leader is closed and retried after the idle timeout", "[nodes]")
{
    World world;
    world.link.setSeeds({ world.control.address() });
    REQUIRE(world.runUntil([&] { return !world.control.acceptedConnections.empty(); }));
    world.control.acceptedConnections.front().send(helloFrame() + membersFrame(world.control.address()));
    REQUIRE(world.runUntil([&] { return world.link.connected(); }));
    CHECK(world.runUntil([&] { return !world.link.connected(); }));
    CHECK(world.runUntil([&] { return world.control.acceptedConnections.size() == 2; }));
}

TEST_CASE("Reports on a connection closed by the idle timeout are not delivered later", "[nodes]")
{
    World world;
    world.control.setReceiveBuffer(4096);
    world.link.setSeeds({ world.control.address() });
    REQUIRE(world.runUntil([&] { return !world.control.acceptedConnections.empty(); }));
    auto& timedOut = world.control.acceptedConnections.front();
    timedOut.send(helloFrame() + membersFrame(world.control.address()));
    REQUIRE(world.runUntil([&] { return world.link.connected(); }));
    timedOut.setReading(false);
    fleet::Report report;
    report.stalled = { ServerId { std::string(512 * 1024, 'x') } };
    world.link.send(report);
    test::runFor(world.base.get(), std::chrono::milliseconds { 20 });
    world.link.tick(runtime::readClock() + ControlLink::idleTimeout);
    REQUIRE_FALSE(world.link.connected());
    world.link.tick(runtime::readClock());
    timedOut.setReading(true);
    REQUIRE(test::runUntil(world.base.get(), [&] { return timedOut.closed; }));
    CHECK(timedOut.reset);
    CHECK(timedOut.received.size() < report.stalled.front().text().size());
}

TEST_CASE("A connection is not closed as idle while a large frame arrives slowly", "[nodes]")
{
    World world;
    world.link.setSeeds({ world.control.address() });
    REQUIRE(world.runUntil([&] { return !world.control.acceptedConnections.empty(); }));
    auto& leader = world.control.acceptedConnections.front();
    leader.send(helloFrame() + membersFrame(world.control.address()));
    REQUIRE(world.runUntil([&] { return world.link.connected(); }));
    wire::Buffer payload;
    fleet::Members members;
    members.leader = world.control.address();
    members.controls = { std::string(64 * 1024, 'x') };
    wire::fleet::encode(members, payload);
    const auto large = frame(wire::FrameKind::Fleet, payload);
    constexpr std::size_t pieces = 8;
    const auto pause = 2 * ControlLink::idleTimeout / pieces;
    const auto size = (large.size() + pieces - 1) / pieces;
    for (std::size_t at = 0; at < large.size(); at += size) {
        leader.send(large.substr(at, size));
        const auto next = runtime::readClock() + pause;
        world.runUntil([&] { return runtime::readClock() >= next; });
        REQUIRE(world.link.connected());
    }
    CHECK(world.link.members().controls.front().size() == 64 * 1024);
}

// The platform allows 2.5 s from the acknowledgement of a version to its use. The loss of the leader is detected after
// the idle timeout of 1.2 s; the rest is left to find the new leader.
TEST_CASE("The timeouts of unresponsive control VMs do not add up while the link looks for the leader", "[nodes]")
{
    constexpr auto bound = std::chrono::milliseconds { 2500 } - ControlLink::idleTimeout;
    constexpr std::size_t unresponsiveCount = 3;
    // The link's VM name decides which control VM is tried first, so the leader is placed at each position once.
    for (std::size_t place = 0; place <= unresponsiveCount; ++place) {
        World world;
        std::list<RawListener> unresponsive;
        std::vector<std::string> seeds;
        for (std::size_t i = 0; i < unresponsiveCount; ++i)
            seeds.push_back(unresponsive.emplace_back(world.base.get()).address());
        seeds.insert(seeds.begin() + static_cast<std::ptrdiff_t>(place), world.control.address());
        world.link.setSeeds(seeds);
        const auto startedAt = runtime::readClock();
        REQUIRE(world.runUntil([&] { return !world.control.acceptedConnections.empty(); }));
        world.control.acceptedConnections.front().send(helloFrame() + membersFrame(world.control.address()));
        REQUIRE(world.runUntil([&] { return world.link.connected(); }));
        CHECK(runtime::readClock() - startedAt < bound);
    }
}
