#include "cluster.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace rosemarymill;
using namespace rosemarymill::agreement;
using tests::Register;

namespace {

constexpr std::size_t processes = 6;
constexpr std::size_t founders = 3;

struct ChangesManyAtOnce : StandardRules {
    static constexpr bool changesOneVoterAtOnce = false;
};

template <typename C> std::vector<VmId> allVms(const C& cluster)
{
    std::vector<VmId> vms;
    for (const auto& it : cluster.nodes)
        vms.push_back(it.vm);
    return vms;
}

/// Current voters with one VM added or removed, or another set of three when several may change at once.
template <typename C> std::vector<VmId> otherVoters(C& cluster, const typename C::Node& leader, bool oneAtOnce)
{
    auto voters = leader.replica->voters();
    const auto& vm = cluster.nodes[cluster.pick(processes)].vm;
    if (oneAtOnce) {
        if (const auto it = std::find(voters.begin(), voters.end(), vm); it == voters.end())
            voters.push_back(vm);
        else if (voters.size() > founders - 1)
            voters.erase(it);
        return voters;
    }
    voters = { leader.vm };
    while (voters.size() < founders) {
        const auto& other = cluster.nodes[cluster.pick(processes)].vm;
        if (std::find(voters.begin(), voters.end(), other) == voters.end())
            voters.push_back(other);
    }
    return voters;
}

/// Changes the voters while processes crash and connections are cut. Returns the first failure.
template <typename Rules> std::optional<std::string> runChanges(std::uint64_t seed, std::size_t& committed)
{
    tests::Cluster<Register, Rules> cluster(processes, seed, founders);
    cluster.run(4s);
    cluster.loss = 0.05;
    cluster.maxDelay = seed % 2 ? 30ms : 200ms;
    std::uint64_t command = 0;
    for (const auto end = cluster.now + 60s; cluster.now < end && !cluster.failure;) {
        if (cluster.chance(0.02)) {
            auto& node = cluster.nodes[cluster.pick(processes)];
            switch (cluster.pick(4)) {
            case 0:
                cluster.crash(node);
                break;
            case 1:
                for (const auto& other : cluster.nodes) {
                    cluster.cuts.insert({ node.vm, other.vm });
                    cluster.cuts.insert({ other.vm, node.vm });
                }
                break;
            default:
                cluster.cuts.clear();
                for (auto& other : cluster.nodes) {
                    if (!other.replica)
                        cluster.start(other);
                }
            }
        }
        if (cluster.chance(0.05)) {
            cluster.deliverToLeaders([&](const auto&) { return SetLearners { cluster.now, allVms(cluster) }; });
            cluster.deliverToLeaders([&](const auto& node) {
                return ChangeVoters { cluster.now, otherVoters(cluster, node, Rules::changesOneVoterAtOnce) };
            });
        }
        if (cluster.chance(0.3))
            cluster.propose(++command);
        cluster.step();
    }
    committed += cluster.committed.size();
    return cluster.failure;
}

} // namespace

TEST_CASE("Voter changes during faults lose no committed entry and give no term two leaders", "[agreement]")
{
    std::size_t committed = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        INFO("seed " << seed);
        REQUIRE(runChanges<StandardRules>(seed, committed).value_or("none") == "none");
    }
    // A log that commits nothing would pass the checks above.
    CHECK(committed > 100 * 50);
}

TEST_CASE("The checkers detect several voters that are replaced at once", "[agreement]")
{
    std::size_t committed = 0;
    bool detected = false;
    for (std::uint64_t seed = 1; seed <= 300 && !detected; ++seed)
        detected = runChanges<ChangesManyAtOnce>(seed, committed).has_value();
    CHECK(detected);
}

TEST_CASE("A new process replaces a crashed voter, and the log keeps committing", "[agreement]")
{
    tests::Cluster<Register, StandardRules> cluster(4, 11, founders);
    cluster.run(4s);
    auto* leader = cluster.leader();
    REQUIRE(leader);
    for (std::uint64_t i = 1; i <= 40; ++i) {
        cluster.propose(i);
        cluster.run(100ms);
    }
    auto& lost = cluster.nodes[leader == &cluster.nodes[0] ? 1 : 0];
    cluster.crash(lost);
    const auto& newVoter = cluster.nodes[3];
    cluster.deliverToLeaders([&](const auto&) { return SetLearners { cluster.now, { newVoter.vm } }; });
    cluster.run(3s);
    CHECK(leader->replica->holdsCommitted(newVoter.vm));
    auto voters = leader->replica->voters();
    voters.push_back(newVoter.vm);
    cluster.deliverToLeaders([&](const auto&) { return ChangeVoters { cluster.now, voters }; });
    cluster.run(1s);
    std::erase(voters, lost.vm);
    cluster.deliverToLeaders([&](const auto&) { return ChangeVoters { cluster.now, voters }; });
    cluster.run(1s);
    CHECK(newVoter.replica->voters() == voters);
    CHECK(newVoter.replica->joined());
    // The leader crashes, too: the new voter and the third founder continue with all committed entries.
    cluster.crash(*leader);
    cluster.run(6s);
    REQUIRE(cluster.leader());
    CHECK(cluster.propose(99));
    cluster.run(1s);
    CHECK(newVoter.replica->machine().values.size() == 41);
    CHECK(newVoter.replica->machine().values.back() == 99);
    CHECK_FALSE(cluster.failure);
}

TEST_CASE("Snapshots include the voters", "[agreement]")
{
    tests::Cluster<Register, StandardRules> cluster(4, 5, founders);
    cluster.run(4s);
    auto* leader = cluster.leader();
    REQUIRE(leader);
    auto voters = leader->replica->voters();
    voters.push_back(cluster.nodes[3].vm);
    cluster.deliverToLeaders([&](const auto&) { return ChangeVoters { cluster.now, voters }; });
    cluster.run(1s);
    for (std::uint64_t i = 1; i <= 100; ++i) {
        cluster.propose(i);
        cluster.run(50ms);
    }
    REQUIRE(leader->replica->log().snapshot());
    CHECK(leader->replica->log().snapshot()->voters == voters);
    auto& restarted = cluster.nodes[3];
    cluster.crash(restarted);
    cluster.start(restarted);
    CHECK(restarted.replica->voters() == voters);
}

TEST_CASE("Followers do not report a paused leader as live after three heartbeat intervals", "[agreement]")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        tests::Cluster<Register, StandardRules> cluster(founders, seed);
        cluster.run(5s);
        auto* leader = cluster.leader();
        REQUIRE(leader);
        const auto reportsLiveLeader = [&](const auto& it) { return it.replica->hasLiveLeader(cluster.now); };
        CHECK(std::all_of(cluster.nodes.begin(), cluster.nodes.begin() + founders, reportsLiveLeader));
        leader->paused = true;
        // Three heartbeat intervals, and the delay of a heartbeat that was in flight.
        for (const auto end = cluster.now + 500ms; cluster.now < end;)
            cluster.step();
        for (std::size_t i = 0; i < founders; ++i) {
            const auto& replica = *cluster.nodes[i].replica;
            INFO("seed " << seed << ", voter " << i);
            CHECK((
                &cluster.nodes[i] == leader || replica.leader() != leader->vm || !reportsLiveLeader(cluster.nodes[i])));
        }
    }
}

TEST_CASE("A new leader is elected within 3 s after a leader crash, also after split votes", "[agreement]")
{
    constexpr Duration maxLeaderlessTime = 3s;
    std::vector<std::uint64_t> late;
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        tests::Cluster<Register, StandardRules> cluster(founders, seed);
        cluster.run(5s);
        auto* leader = cluster.leader();
        REQUIRE(leader);
        cluster.crash(*leader);
        for (const auto end = cluster.now + maxLeaderlessTime; cluster.now < end && !cluster.leader();)
            cluster.step();
        if (!cluster.leader())
            late.push_back(seed);
    }
    INFO("seeds without a leader: " << Catch::Detail::stringify(late));
    CHECK(late.empty());
}
