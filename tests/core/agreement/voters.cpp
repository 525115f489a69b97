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

/// Voters with one VM more or less, or another set of three for rules that allow it.
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

/// Changes of the voters among crashes, pauses and cuts. Returns the first failure.
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
            cluster.tellLeaders([&](const auto&) { return SetLearners { cluster.now, allVms(cluster) }; });
            cluster.tellLeaders([&](const auto& node) {
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

TEST_CASE("Changes of the voters among faults lose nothing and never give two leaders in a term", "[agreement]")
{
    std::size_t committed = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        INFO("seed " << seed);
        REQUIRE(runChanges<StandardRules>(seed, committed).value_or("none") == "none");
    }
    // A log that commits nothing would pass the checks above.
    CHECK(committed > 100 * 50);
}

TEST_CASE("The checkers notice voters that are exchanged all at once", "[agreement]")
{
    std::size_t committed = 0;
    bool noticed = false;
    for (std::uint64_t seed = 1; seed <= 300 && !noticed; ++seed)
        noticed = runChanges<ChangesManyAtOnce>(seed, committed).has_value();
    CHECK(noticed);
}

TEST_CASE("A new process replaces a voter that is gone, and the log goes on", "[agreement]")
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
    const auto& newcomer = cluster.nodes[3];
    cluster.tellLeaders([&](const auto&) { return SetLearners { cluster.now, { newcomer.vm } }; });
    cluster.run(3s);
    CHECK(leader->replica->holdsCommitted(newcomer.vm));
    auto voters = leader->replica->voters();
    voters.push_back(newcomer.vm);
    cluster.tellLeaders([&](const auto&) { return ChangeVoters { cluster.now, voters }; });
    cluster.run(1s);
    std::erase(voters, lost.vm);
    cluster.tellLeaders([&](const auto&) { return ChangeVoters { cluster.now, voters }; });
    cluster.run(1s);
    CHECK(newcomer.replica->voters() == voters);
    CHECK(newcomer.replica->joined());
    // The leader is lost too: the newcomer and the third founder go on with all that was committed.
    cluster.crash(*leader);
    cluster.run(6s);
    REQUIRE(cluster.leader());
    CHECK(cluster.propose(99));
    cluster.run(1s);
    CHECK(newcomer.replica->machine().values.size() == 41);
    CHECK(newcomer.replica->machine().values.back() == 99);
    CHECK_FALSE(cluster.failure);
}

TEST_CASE("Snapshots carry the voters", "[agreement]")
{
    tests::Cluster<Register, StandardRules> cluster(4, 5, founders);
    cluster.run(4s);
    auto* leader = cluster.leader();
    REQUIRE(leader);
    auto voters = leader->replica->voters();
    voters.push_back(cluster.nodes[3].vm);
    cluster.tellLeaders([&](const auto&) { return ChangeVoters { cluster.now, voters }; });
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

TEST_CASE("Followers do not name a leader that has gone silent", "[agreement]")
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        tests::Cluster<Register, StandardRules> cluster(founders, seed);
        cluster.run(5s);
        auto* leader = cluster.leader();
        REQUIRE(leader);
        const auto hears = [&](const auto& it) { return it.replica->hasLiveLeader(cluster.now); };
        CHECK(std::all_of(cluster.nodes.begin(), cluster.nodes.begin() + founders, hears));
        leader->paused = true;
        // Three heartbeats, and one that was under way.
        for (const auto end = cluster.now + 500ms; cluster.now < end;)
            cluster.step();
        for (std::size_t i = 0; i < founders; ++i) {
            const auto& replica = *cluster.nodes[i].replica;
            INFO("seed " << seed << ", voter " << i);
            CHECK((&cluster.nodes[i] == leader || replica.leader() != leader->vm || !hears(cluster.nodes[i])));
        }
    }
}

TEST_CASE("A lost leader is followed by another within the contact time, also after split votes", "[agreement]")
{
    constexpr Duration contact = 3s;
    std::vector<std::uint64_t> late;
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        tests::Cluster<Register, StandardRules> cluster(founders, seed);
        cluster.run(5s);
        auto* leader = cluster.leader();
        REQUIRE(leader);
        cluster.crash(*leader);
        for (const auto end = cluster.now + contact; cluster.now < end && !cluster.leader();)
            cluster.step();
        if (!cluster.leader())
            late.push_back(seed);
    }
    INFO("seeds without a leader: " << Catch::Detail::stringify(late));
    CHECK(late.empty());
}
