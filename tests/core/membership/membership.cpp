#include <catch2/catch.hpp>

#include "cluster.hpp"

using namespace rosemarymill;
using test::MembershipCluster;

namespace {

/// Disturbs a cluster with loss, pauses, one-way losses and a partition, ends all faults, and returns whether every
/// process sees every other one as running afterwards.
bool recoversFromFaults(std::uint32_t seed, bool refutationDisabled)
{
    MembershipCluster cluster(12, seed);
    cluster.refutationDisabled = refutationDisabled;
    cluster.run(10s);
    auto& random = cluster.network.random();
    const auto any = [&] { return MembershipCluster::vm(random() % 12); };
    for (int round = 0; round < 6; ++round) {
        cluster.network.lossPercent = random() % 25;
        cluster.network.maxDelay = Duration { 2ms } + Duration { random() % 50'000 };
        const auto paused = any();
        cluster.stop(paused);
        for (int i = 0; i < 8; ++i)
            cluster.network.cut(any(), any());
        if (round == 3) {
            for (std::size_t a = 0; a < 4; ++a) {
                for (std::size_t b = 4; b < 12; ++b) {
                    cluster.network.cut(MembershipCluster::vm(a), MembershipCluster::vm(b));
                    cluster.network.cut(MembershipCluster::vm(b), MembershipCluster::vm(a));
                }
            }
        }
        cluster.run(Duration { 1s } + Duration { random() % 8'000'000 });
        cluster.resume(paused);
        cluster.network.heal();
    }
    cluster.network.lossPercent = 0;
    cluster.run(90s);
    return cluster.viewsAgree();
}

/// Virtual time from the crash of some processes until no running one counts them as running.
Duration detectionTime(std::size_t count, std::uint32_t seed, std::size_t crashed)
{
    MembershipCluster cluster(count, seed);
    cluster.run(20s + Duration { (seed % 10) * 100'000 });
    for (std::size_t i = 0; i < crashed; ++i)
        cluster.stop(MembershipCluster::vm((seed + i * 5) % count));
    const auto start = cluster.now;
    while (!cluster.viewsAgree() && cluster.now - start < 20s)
        cluster.run(50ms);
    return cluster.now - start;
}

} // namespace

// Guards against members that start separately and never discover each other.
TEST_CASE("All members discover each other through the seeds", "[membership]")
{
    for (const std::size_t count : { 2, 10, 53 }) {
        MembershipCluster cluster(count, 7);
        cluster.run(15s);
        CHECK(cluster.viewsAgree());
    }
}

// Guards against a healthy member that the others still count as dead after faults have ended.
TEST_CASE("No healthy member stays dead after loss, pauses, one-way losses and partitions", "[membership]")
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        CHECK(recoversFromFaults(seed, false));
    }
}

TEST_CASE("The recovery check rejects members that cannot refute", "[membership]")
{
    CHECK_FALSE(recoversFromFaults(1, true));
}

TEST_CASE("Every member detects a crash within 3 s", "[membership]")
{
    for (const std::size_t count : { 10, 53, 100 }) {
        for (std::uint32_t seed = 1; seed <= 5; ++seed) {
            INFO("members " << count << ", seed " << seed);
            CHECK(detectionTime(count, seed, 1) <= 3s);
            CHECK(detectionTime(count, seed, 2) <= 3s);
        }
    }
}

// Guards against message counts that grow with the data centre.
TEST_CASE("Messages per member and second do not depend on the number of members", "[membership]")
{
    for (const std::size_t count : { 10, 53, 100 }) {
        MembershipCluster cluster(count, 3);
        cluster.run(60s);
        cluster.network.sentBy.clear();
        cluster.run(60s);
        for (const auto& [vm, sent] : cluster.network.sentBy) {
            INFO(vm.text() << " of " << count);
            CHECK(sent <= 60 * 4);
        }
    }
}

TEST_CASE("A pause is reported as a pause and a crash as a restart", "[membership]")
{
    MembershipCluster cluster(6, 5);
    cluster.run(10s);
    const auto paused = MembershipCluster::vm(4);
    const auto crashed = MembershipCluster::vm(5);
    cluster.stop(paused);
    cluster.stop(crashed);
    cluster.run(5s);
    cluster.changes.clear();
    cluster.resume(paused);
    cluster.restart(crashed);
    cluster.run(15s);
    CHECK(cluster.viewsAgree());
    // The restarted process has lost its state and sees the resumed one as new.
    CHECK(cluster.changes[{ paused, membership::Change::Resumed }] == 4);
    CHECK(cluster.changes[{ paused, membership::Change::Restarted }] == 0);
    CHECK(cluster.changes[{ crashed, membership::Change::Restarted }] >= 4);
    CHECK(cluster.changes[{ crashed, membership::Change::Resumed }] == 0);
}

// Guards against a paused process that declares the others dead when it resumes.
TEST_CASE("A process that resumes after a pause declares no member dead", "[membership]")
{
    MembershipCluster cluster(6, 9);
    cluster.run(10s);
    cluster.stop(MembershipCluster::vm(2));
    cluster.run(60s);
    cluster.changes.clear();
    cluster.resume(MembershipCluster::vm(2));
    cluster.run(5s);
    for (const auto& [key, count] : cluster.changes)
        CHECK(key.second != membership::Change::Died);
}

TEST_CASE("Message loss in one direction does not make a member dead", "[membership]")
{
    MembershipCluster cluster(10, 4);
    cluster.run(10s);
    cluster.changes.clear();
    for (std::size_t i = 1; i < 5; ++i)
        cluster.network.cut(MembershipCluster::vm(0), MembershipCluster::vm(i));
    cluster.run(60s);
    CHECK(cluster.viewsAgree());
}

// Guards against a data centre that receives no digests of the others because a relay or the seed has failed.
TEST_CASE("Relays exchange digests between data centres", "[membership]")
{
    std::map<VmId, membership::State> nodes;
    test::VirtualNetwork<membership::Message> network(1);
    Instant now { 10s };
    const std::vector<membership::Seed> seeds { { VmId { "a-0" }, DataCentreId { "a" }, "x" },
        { VmId { "b-0" }, DataCentreId { "b" }, "x" } };
    for (const char* dc : { "a", "b" }) {
        for (int i = 0; i < 8; ++i) {
            const VmId vm { std::string(dc) + "-" + std::to_string(i) };
            nodes.emplace(
                vm, membership::State { { vm, DataCentreId { dc }, "x", "y", BootId { vm.text() }, 1, seeds } });
        }
    }
    const auto apply = [&](const VmId& vm, const membership::Event& event) {
        membership::Effects effects;
        membership::reduce(nodes.at(vm), event, effects);
        for (auto& effect : effects) {
            if (auto* send = std::get_if<membership::Send>(&effect))
                network.send(now, vm, send->to, std::move(send->message));
        }
    };
    for (auto& [vm, node] : nodes)
        apply(vm, membership::Started { now });
    nodes.at(VmId { "b-3" }).dataCentreLoad = membership::LoadDigest { 70, 5, 2, 9 };
    for (int i = 0; i < 300; ++i) {
        now += 100ms;
        network.deliverUntil(now, [&](auto&& it) {
            apply(it.to, membership::Received { it.at, it.from, it.message });
        });
        for (auto& [vm, node] : nodes)
            apply(vm, membership::Tick { now });
    }
    for (const auto& [vm, node] : nodes) {
        INFO(vm.text());
        const auto other = DataCentreId { node.settings.dataCentre.text() == "a" ? "b" : "a" };
        REQUIRE(node.digests.contains(other));
        CHECK(node.digests.at(other).aliveMembers == 8);
        if (other.text() == "b")
            CHECK(node.digests.at(other).facts.load == membership::LoadDigest { 70, 5, 2, 9 });
    }
}
