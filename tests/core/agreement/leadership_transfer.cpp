#include "cluster.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace rosemarymill;
using namespace rosemarymill::agreement;
using tests::Register;

namespace {

using RegisterCluster = tests::Cluster<Register, StandardRules>;

constexpr std::size_t voters = 3;

/// Proposes a command, and again after every second without an answer, until some process applies it. Returns the time
/// until then, or the limit.
Duration commit(RegisterCluster& cluster, std::uint64_t command, Duration limit)
{
    const auto startedAt = cluster.now;
    const auto applied = [&] {
        return std::any_of(
            cluster.committed.begin(), cluster.committed.end(), [&](const auto& it) { return it.second == command; });
    };
    Instant proposeAt = startedAt;
    while (!applied() && cluster.now < startedAt + limit && !cluster.failure) {
        if (cluster.now >= proposeAt && cluster.propose(command))
            proposeAt = cluster.now + 1s;
        cluster.step();
    }
    return cluster.now - startedAt;
}

/// Runs until a leader whose term is at least `later` has caught up. Returns the time until then, or the limit.
Duration waitForTerm(RegisterCluster& cluster, Term later, Duration limit)
{
    const auto startedAt = cluster.now;
    const auto leads = [&] {
        return std::any_of(cluster.nodes.begin(), cluster.nodes.end(), [&](const auto& it) {
            return it.replica && it.replica->role() == Role::Leader && it.replica->term() >= later
                && it.replica->caughtUp();
        });
    };
    while (!leads() && cluster.now < startedAt + limit && !cluster.failure)
        cluster.step();
    return cluster.now - startedAt;
}

std::size_t highestTerm(const RegisterCluster& cluster)
{
    Term highest = 0;
    for (const auto& it : cluster.nodes)
        highest = std::max(highest, it.replica ? it.replica->term() : 0);
    return highest;
}

} // namespace

TEST_CASE("A command is committed within 500 ms although the leader's disk is slow", "[agreement]")
{
    for (const auto syncTime : { 150ms, 300ms, 600ms, 900ms }) {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            RegisterCluster cluster(voters, seed);
            for (auto& it : cluster.nodes)
                it.syncTime = 10ms;
            cluster.run(5s);
            REQUIRE(cluster.leader());
            cluster.leader()->syncTime = syncTime;
            std::uint64_t command = 0;
            // The leader measures the sync time of its disk with the first commands.
            for (const auto end = cluster.now + 5s; cluster.now < end;)
                commit(cluster, ++command, 5s);
            Duration slowest {};
            for (const auto end = cluster.now + 10s; cluster.now < end;) {
                slowest = std::max(slowest, commit(cluster, ++command, 5s));
                cluster.run(300ms);
            }
            INFO("seed " << seed << ", sync " << syncTime / 1ms << " ms, slowest " << slowest / 1ms << " ms");
            CHECK(slowest < 500ms);
            CHECK(cluster.failure.value_or("none") == "none");
        }
    }
}

TEST_CASE("Two voters with slow disks do not pass leadership back and forth", "[agreement]")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        RegisterCluster cluster(voters, seed);
        for (auto& it : cluster.nodes)
            it.syncTime = 10ms;
        cluster.run(5s);
        REQUIRE(cluster.leader());
        // The third voter has crashed, so that leadership could only be transferred to the other slow one.
        cluster.crash(cluster.nodes[cluster.leader() == &cluster.nodes[2] ? 1 : 2]);
        for (auto& it : cluster.nodes)
            it.syncTime = 300ms + 50ms * static_cast<int>(cluster.pick(3));
        cluster.run(10s);
        std::uint64_t command = 0;
        const auto before = highestTerm(cluster);
        for (const auto end = cluster.now + 30s; cluster.now < end;)
            commit(cluster, ++command, 5s);
        INFO("seed " << seed);
        CHECK(highestTerm(cluster) <= before + 1);
        CHECK(cluster.failure.value_or("none") == "none");
    }
}

TEST_CASE("A requested leadership transfer completes without an election timeout", "[agreement]")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        RegisterCluster cluster(voters, seed);
        cluster.run(5s);
        auto* leader = cluster.leader();
        REQUIRE(leader);
        std::uint64_t command = 0;
        for (int i = 0; i < 5; ++i)
            cluster.propose(++command);
        const auto before = leader->replica->term();
        cluster.deliverToLeaders([&](const auto&) { return TransferLeadership { cluster.now }; });
        const auto elapsed = waitForTerm(cluster, before + 1, 5s);
        INFO("seed " << seed << ", " << elapsed / 1ms << " ms");
        CHECK(elapsed < 500ms);
        CHECK(leader->replica->role() == Role::Follower);
        // The old leader itself answers the commands that it accepted before.
        CHECK(leader->replica->machine().values.size() == command);
        CHECK(cluster.failure.value_or("none") == "none");
    }
}

TEST_CASE("A leader accepts commands again when the target of its transfer crashes", "[agreement]")
{
    RegisterCluster cluster(voters, 3);
    cluster.run(5s);
    auto* leader = cluster.leader();
    REQUIRE(leader);
    const auto before = leader->replica->term();
    cluster.deliverToLeaders([&](const auto&) { return TransferLeadership { cluster.now }; });
    for (auto& it : cluster.nodes) {
        if (&it != leader)
            cluster.crash(it);
    }
    cluster.run(100ms);
    for (auto& it : cluster.nodes) {
        if (!it.replica)
            cluster.start(it);
    }
    CHECK(commit(cluster, 1, 4s) < 4s);
    CHECK(highestTerm(cluster) <= before + 2);
    CHECK(cluster.failure.value_or("none") == "none");
}

TEST_CASE("Leadership transfers during faults lose no committed entry and give no term two leaders", "[agreement]")
{
    std::size_t committed = 0;
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        RegisterCluster cluster(seed % 3 == 0 ? 5 : 3, seed);
        cluster.run(4s);
        cluster.loss = 0.05;
        cluster.duplication = 0.05;
        cluster.maxDelay = seed % 2 ? 30ms : 200ms;
        std::uint64_t command = 0;
        for (const auto end = cluster.now + 60s; cluster.now < end && !cluster.failure;) {
            if (cluster.chance(0.02)) {
                auto& node = cluster.nodes[cluster.pick(cluster.nodes.size())];
                switch (cluster.pick(5)) {
                case 0:
                    cluster.crash(node);
                    break;
                case 1:
                    node.paused = node.replica && !node.paused;
                    break;
                case 2:
                    node.syncTime = 100ms * static_cast<int>(cluster.pick(8));
                    node.syncsUntil.reset();
                    break;
                default:
                    for (auto& other : cluster.nodes) {
                        if (!other.replica)
                            cluster.start(other);
                    }
                }
            }
            if (cluster.chance(0.02))
                cluster.deliverToLeaders([&](const auto&) { return TransferLeadership { cluster.now }; });
            if (cluster.chance(0.3))
                cluster.propose(++command);
            cluster.step();
        }
        INFO("seed " << seed);
        REQUIRE(cluster.failure.value_or("none") == "none");
        committed += cluster.committed.size();
    }
    // A log that commits nothing would pass the checks above.
    CHECK(committed > 150 * 50);
}
