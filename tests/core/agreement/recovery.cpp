#include "cluster.hpp"

#include <catch2/catch.hpp>

using namespace rosemarymill;
using namespace rosemarymill::agreement;

namespace {

using RegisterCluster = tests::Cluster<tests::Register, StandardRules>;

RegisterCluster::Node& follower(RegisterCluster& cluster)
{
    const auto* leader = cluster.leader();
    REQUIRE(leader);
    return *std::find_if(cluster.nodes.begin(), cluster.nodes.end(), [&](const auto& it) { return &it != leader; });
}

void commit(RegisterCluster& cluster, std::uint64_t first, std::uint64_t count)
{
    for (std::uint64_t i = 0; i < count; ++i) {
        REQUIRE(cluster.propose(first + i));
        cluster.run(50ms);
    }
    cluster.run(1s);
}

} // namespace

TEST_CASE("A voter that missed hundreds of entries catches up from a snapshot", "[agreement]")
{
    RegisterCluster cluster(3, 7);
    cluster.run(4s);
    auto& late = follower(cluster);
    cluster.crash(late);
    commit(cluster, 1, 300);
    cluster.start(late);
    cluster.run(3s);
    CHECK(late.replica->machine().values.size() == 300);
    CHECK(late.replica->caughtUp());
    CHECK(late.disk.snapshot.has_value());
}

TEST_CASE("A voter with a damaged log neither votes nor acknowledges, and the others keep committing", "[agreement]")
{
    RegisterCluster cluster(3, 8);
    cluster.run(4s);
    commit(cluster, 1, 10);
    auto& damaged = follower(cluster);
    cluster.crash(damaged);
    damaged.disk = {};
    damaged.disk.damaged = true;
    damaged.lastVisibleIndex = 0;
    cluster.start(damaged);
    commit(cluster, 11, 10);
    CHECK(cluster.committed.size() == 20);
    // Its acknowledgement would let the leader commit an entry that only one intact disk holds.
    auto& intact = *std::find_if(cluster.nodes.begin(), cluster.nodes.end(),
        [&](const auto& it) { return &it != cluster.leader() && &it != &damaged; });
    cluster.crash(intact);
    cluster.propose(99);
    cluster.run(5s);
    CHECK(cluster.committed.size() == 20);
    CHECK_FALSE(cluster.leader());
}

TEST_CASE("A leader whose disk is full steps down and catches up once the disk is writable", "[agreement]")
{
    RegisterCluster cluster(3, 9);
    cluster.run(4s);
    auto& full = *cluster.leader();
    cluster.setWritable(full, false);
    cluster.run(5s);
    REQUIRE(cluster.leader());
    CHECK(cluster.leader() != &full);
    commit(cluster, 1, 5);
    cluster.setWritable(full, true);
    cluster.run(2s);
    CHECK(full.replica->machine().values.size() == 5);
}

TEST_CASE("A restart with an old copy of the data folder is detected and repaired", "[agreement]")
{
    RegisterCluster cluster(3, 10);
    cluster.run(4s);
    commit(cluster, 1, 5);
    auto& copied = follower(cluster);
    const auto old = copied.disk;
    cluster.crash(copied);
    cluster.start(copied);
    commit(cluster, 6, 5);
    cluster.crash(copied);
    copied.disk = old;
    copied.lastVisibleIndex = 0;
    cluster.start(copied);
    cluster.run(3s);
    CHECK(copied.replica->machine().values.size() == 10);
    CHECK(copied.replica->joined());
    CHECK(copied.disk.hard.incarnation >> 16 > (old.hard.incarnation >> 16) + 1);
}

TEST_CASE("A voter that returns from a partition does not depose the leader", "[agreement]")
{
    RegisterCluster cluster(3, 11);
    cluster.run(4s);
    const auto term = cluster.leader()->replica->term();
    auto& partitioned = follower(cluster);
    for (const auto& other : cluster.nodes) {
        cluster.cuts.insert({ partitioned.vm, other.vm });
        cluster.cuts.insert({ other.vm, partitioned.vm });
    }
    cluster.run(30s);
    cluster.cuts.clear();
    cluster.run(3s);
    CHECK(cluster.leader()->replica->term() == term);
    CHECK(partitioned.replica->term() == term);
}

TEST_CASE("A leader that receives no replies from a majority steps down within two seconds", "[agreement]")
{
    RegisterCluster cluster(5, 12);
    cluster.run(4s);
    auto& old = *cluster.leader();
    for (const auto& other : cluster.nodes) {
        // One-way loss: the leader's heartbeats still arrive, the replies do not.
        cluster.cuts.insert({ other.vm, old.vm });
    }
    cluster.run(2s);
    CHECK(old.replica->role() != Role::Leader);
    cluster.run(4s);
    REQUIRE(cluster.leader());
    CHECK(cluster.leader() != &old);
}

TEST_CASE("The first election needs every voter when none holds the log yet", "[agreement]")
{
    RegisterCluster cluster(3, 13);
    cluster.crash(cluster.nodes[2]);
    cluster.run(10s);
    CHECK_FALSE(cluster.leader());
    cluster.start(cluster.nodes[2]);
    cluster.run(5s);
    CHECK(cluster.leader());
}

TEST_CASE("A voter that caught up after losing its disk keeps its vote when another reports its earlier incarnation",
    "[agreement]")
{
    using Replica = Replica<tests::Register>;
    const VmId leader { "leader" };
    const VmId other { "other" };
    const VmId self { "self" };
    Settings settings;
    settings.self = self;
    settings.bootNonce = 2;
    Replica replica(settings, {});
    Instant now { 1s };
    const auto deliver = [&](const Replica::Event& event) {
        Replica::Effects effects;
        replica.reduce(event, effects);
        for (auto& it : effects) {
            if (const auto* persist = std::get_if<Persist<std::uint64_t, std::vector<std::uint64_t>>>(&it)) {
                Replica::Effects later;
                replica.reduce(Persisted { now, persist->sequence }, later);
            }
        }
    };
    const auto receive = [&](const VmId& from, auto body) {
        deliver(Received<std::uint64_t, std::vector<std::uint64_t>> { now, from, { 1 << 16, std::move(body) } });
    };
    deliver(Started { now });
    const auto incarnation = nextIncarnation(0, settings.bootNonce);
    Append<std::uint64_t> append { 3, 0, 0, 1, incarnation, {} };
    append.entries.push_back({ 1, 3, std::nullopt, { leader, other, self } });
    receive(leader, append);
    REQUIRE(replica.joined());
    // The other voter holds an earlier incarnation, since followers send each other no messages.
    const auto earlier = nextIncarnation(nextIncarnation(0, 1), 1);
    receive(other, OutdatedIncarnation { earlier });
    CHECK(replica.joined());
    // The leader receives the new incarnation with the next reply and addresses it.
    append.previousIndex = 1;
    append.previousTerm = 3;
    append.receiverIncarnation = nextIncarnation(earlier, settings.bootNonce);
    append.entries.clear();
    receive(leader, append);
    CHECK(replica.joined());
}

TEST_CASE(
    "A voter with an old copy of its data folder loses its vote until a leader confirms its incarnation", "[agreement]")
{
    using Replica = Replica<tests::Register>;
    Settings settings;
    settings.self = VmId { "self" };
    Replica::PersistedState persistedState;
    persistedState.hard.term = 3;
    persistedState.hard.incarnation = 1 << 16;
    persistedState.hard.joined = true;
    Replica replica(settings, persistedState);
    Replica::Effects effects;
    replica.reduce(Started { Instant { 1s } }, effects);
    // An Append that is addressed to a later incarnation does not confirm this one.
    Append<std::uint64_t> append { 3, 0, 0, 0, 5 << 16, {} };
    replica.reduce(
        Received<std::uint64_t, std::vector<std::uint64_t>> { Instant { 1s }, VmId { "leader" }, { 1 << 16, append } },
        effects);
    CHECK(replica.joined());
    replica.reduce(Received<std::uint64_t, std::vector<std::uint64_t>> { Instant { 1s }, VmId { "leader" },
                       { 1 << 16, OutdatedIncarnation { 5 << 16 } } },
        effects);
    CHECK_FALSE(replica.joined());
}

TEST_CASE(
    "Voters that lost their disks one after the other elect a leader when the last founder crashes", "[agreement]")
{
    RegisterCluster cluster(3, 12);
    cluster.run(4s);
    commit(cluster, 1, 5);
    auto& last = *cluster.leader();
    for (auto& it : cluster.nodes) {
        if (&it == &last)
            continue;
        cluster.loseDisk(it);
        it.startsWithFoundingVoters = false;
        cluster.start(it);
        cluster.run(4s);
        CHECK(it.replica->joined());
    }
    REQUIRE(cluster.leader() == &last);
    cluster.crash(last);
    cluster.run(3s);
    REQUIRE(cluster.leader());
    CHECK(cluster.propose(99));
    cluster.run(1s);
    CHECK(cluster.leader()->replica->machine().values.back() == 99);
}
