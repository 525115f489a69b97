#include <rosemarymill/core/fleet/registry.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using fleet::HeartbeatResult;
using fleet::Registry;

namespace {

constexpr Instant now { 10s };

fleet::ServerRecord record(
    const std::string& id, std::int64_t startMs, std::uint64_t sequence, const std::string& address)
{
    fleet::ServerRecord it;
    it.id = ServerId { id };
    it.startedAtMs = startMs;
    it.sequence = sequence;
    it.address = address;
    return it;
}

} // namespace

TEST_CASE("heartbeats are ordered by incarnation and sequence number", "[fleet]")
{
    Registry registry;
    CHECK(registry.apply(now, record("a", 100, 5, "x")) == HeartbeatResult::Accepted);
    CHECK(registry.apply(now, record("a", 100, 5, "x")) == HeartbeatResult::Outdated);
    CHECK(registry.apply(now, record("a", 100, 4, "x")) == HeartbeatResult::Outdated);
    CHECK(registry.apply(now, record("a", 200, 1, "x")) == HeartbeatResult::Accepted);
    CHECK(registry.apply(now, record("a", 100, 9, "x")) == HeartbeatResult::FromEarlierIncarnation);
    CHECK(registry.find(ServerId { "a" })->record.startedAtMs == 200);
}

TEST_CASE("a new incarnation at an address replaces the server that used it", "[fleet]")
{
    Registry registry;
    static_cast<void>(registry.apply(now, record("a", 100, 5, "x")));
    CHECK(registry.apply(now, record("b", 200, 1, "x")) == HeartbeatResult::Accepted);
    CHECK_FALSE(registry.find(ServerId { "a" }));
    // A heartbeat of the replaced server that was delayed by a partition.
    CHECK(registry.apply(now, record("a", 100, 6, "x")) == HeartbeatResult::FromEarlierIncarnation);
    CHECK_FALSE(registry.find(ServerId { "a" }));
    CHECK(registry.find(ServerId { "b" }));
}

TEST_CASE("a late heartbeat does not end the draining of a server", "[fleet]")
{
    Registry registry;
    auto draining = record("a", 100, 5, "x");
    draining.draining = true;
    static_cast<void>(registry.apply(now, draining));
    static_cast<void>(registry.apply(now, record("a", 100, 6, "x")));
    CHECK(registry.find(ServerId { "a" })->record.draining);
    static_cast<void>(registry.apply(now, record("a", 200, 1, "x")));
    CHECK_FALSE(registry.find(ServerId { "a" })->record.draining);
}

TEST_CASE("a late heartbeat does not bring back a server that left before a new leader registered it", "[fleet]")
{
    Registry registry;
    registry.markLeft(now, registry.departureOf(ServerId { "a" }, 150));
    static_cast<void>(registry.apply(now + 2s, record("a", 100, 1, "x")));
    CHECK(registry.find(ServerId { "a" })->record.draining);
    static_cast<void>(registry.apply(now + 60s, record("a", 100, 7, "x")));
    CHECK(registry.find(ServerId { "a" })->record.draining);
    static_cast<void>(registry.apply(now + 4s, record("a", 200, 1, "x")));
    CHECK_FALSE(registry.find(ServerId { "a" })->record.draining);
}

TEST_CASE("a reordered heartbeat that reports draining ends the use of its incarnation", "[fleet]")
{
    Registry registry;
    static_cast<void>(registry.apply(now, record("a", 100, 6, "x")));
    auto draining = record("a", 100, 5, "x");
    draining.draining = true;
    CHECK(registry.apply(now, draining) == HeartbeatResult::Outdated);
    CHECK(registry.find(ServerId { "a" })->record.draining);
}

TEST_CASE("a server that starts again after it left is used", "[fleet]")
{
    Registry registry;
    registry.markLeft(now, registry.departureOf(ServerId { "a" }, 150));
    static_cast<void>(registry.apply(now + 1s, record("a", 200, 1, "x")));
    CHECK_FALSE(registry.find(ServerId { "a" })->record.draining);
    static_cast<void>(registry.apply(now + 2s, record("a", 200, 5, "x")));
    CHECK_FALSE(registry.find(ServerId { "a" })->record.draining);
}

TEST_CASE("a removed server is brought back by later heartbeats only", "[fleet]")
{
    Registry registry;
    static_cast<void>(registry.apply(now, record("a", 100, 5, "x")));
    registry.remove(ServerId { "a" });
    CHECK(registry.apply(now, record("a", 90, 9, "x")) == HeartbeatResult::FromEarlierIncarnation);
    CHECK(registry.apply(now, record("a", 100, 4, "x")) == HeartbeatResult::Outdated);
    CHECK(registry.apply(now, record("a", 100, 5, "x")) == HeartbeatResult::Outdated);
    CHECK_FALSE(registry.find(ServerId { "a" }));
    CHECK(registry.apply(now, record("a", 100, 6, "x")) == HeartbeatResult::Accepted);
    registry.remove(ServerId { "a" });
    CHECK(registry.apply(now, record("a", 300, 1, "y")) == HeartbeatResult::Accepted);
    CHECK(registry.apply(now, record("a", 100, 7, "x")) == HeartbeatResult::FromEarlierIncarnation);
}
