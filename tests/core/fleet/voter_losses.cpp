#include <rosemarymill/core/fleet/voters.hpp>

#include "core/agreement/cluster.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace rosemarymill;
using tests::Register;

namespace {

/// Bounds of a deployment, as the platform states them.
struct Bounds {
    /// Control VMs that start the system; the first three found the log.
    std::size_t controlVms { 3 };
    /// Control VMs that may be lost at the same time.
    std::size_t losses { 1 };
    /// A VM counts as lost for this long after it is back or its successor has started.
    Duration catchUpTime { 4s };
    /// The deployment is calm when nothing has happened to a control VM for this long.
    Duration contact { 3s };
    /// In calm, a change is committed within this time.
    Duration ack { 4s };
};

constexpr std::size_t founders = 3;
constexpr std::size_t successors = 12;
constexpr Duration length = 60s;
/// Entries after which snapshots are taken. A snapshot carries the voters to a VM that lost its disk; a log without one
/// has to name them as well.
constexpr std::uint64_t frequentSnapshots = 20;
constexpr std::uint64_t rareSnapshots = 1000;
/// Time for a process to find the leader after its start or after it has noticed that it is alone.
constexpr Duration joiningTime = 500ms;

/// Control VMs under losses that follow each other as closely as the bounds allow. The leader reviews the voters as a
/// control VM does.
class Losses {
public:
    Losses(std::uint64_t seed, Bounds bounds)
        : m_bounds(bounds)
        , m_settings(fleet::voterSettings(bounds.losses, bounds.catchUpTime))
        , m_cluster(bounds.controlVms + successors, seed, founders, seed % 2 ? frequentSnapshots : rareSnapshots)
        , m_states(m_cluster.nodes.size())
        , m_free(bounds.losses)
    {
        for (std::size_t i = bounds.controlVms; i < m_cluster.nodes.size(); ++i) {
            m_cluster.loseDisk(m_cluster.nodes[i]);
            m_states[i].started = false;
        }
    }

    /// Plays one schedule. Returns what failed first, or "none".
    std::string run()
    {
        runFor(6s);
        for (const auto end = m_cluster.now + length; m_cluster.now < end && m_failure.empty();) {
            for (auto& freeAt : m_free) {
                if (m_cluster.now >= freeAt)
                    lose(freeAt);
            }
            step();
        }
        runFor(m_bounds.contact + m_bounds.ack + 4s);
        return m_failure.empty() ? "none" : m_failure;
    }

    [[nodiscard]] std::size_t committed() const noexcept { return m_cluster.committed.size(); }

private:
    using Cluster = tests::Cluster<Register, agreement::StandardRules>;

    struct State {
        bool started { true };
        bool lost { false };
        Instant aloneSince;
    };

    struct Action {
        Instant at;
        std::function<void()> run;
    };

    void runFor(Duration duration)
    {
        for (const auto end = m_cluster.now + duration; m_cluster.now < end && m_failure.empty();)
            step();
    }

    Duration between(Duration low, Duration high)
    {
        return low + Duration { static_cast<Duration::rep>(m_cluster.pick((high - low).count() + 1)) };
    }

    /// Something happens to a control VM: the deployment is not calm for a while.
    void disturbed()
    {
        m_disturbedAt = m_cluster.now;
        m_committedInCalm = false;
    }

    void later(Instant at, std::function<void()> action) { m_actions.push_back({ at, std::move(action) }); }

    void start(std::size_t i)
    {
        m_cluster.start(m_cluster.nodes[i]);
        m_states[i].started = true;
        m_states[i].lost = false;
        m_states[i].aloneSince = m_cluster.now;
        disturbed();
    }

    /// Takes one control VM away and sets when the next loss may come in its place.
    void lose(Instant& freeAt)
    {
        std::vector<std::size_t> running;
        for (std::size_t i = 0; i < m_cluster.nodes.size(); ++i) {
            if (m_states[i].started && !m_states[i].lost)
                running.push_back(i);
        }
        auto i = running[m_cluster.pick(running.size())];
        if (m_cluster.chance(0.4) && m_cluster.leader())
            i = static_cast<std::size_t>(m_cluster.leader() - m_cluster.nodes.data());
        auto& node = m_cluster.nodes[i];
        m_states[i].lost = true;
        disturbed();
        const auto back = m_cluster.now + between(100ms, 2500ms);
        // Every third loss is followed by a calm stretch.
        freeAt = back + m_bounds.catchUpTime + (m_cluster.chance(0.3) ? m_bounds.contact + m_bounds.ack : 0s);
        switch (m_cluster.pick(5)) {
        case 0:
        case 1:
            if (const auto successor = nextSuccessor(); successor < m_cluster.nodes.size()) {
                m_cluster.crash(node);
                m_states[i].started = false;
                m_states[successor].lost = true;
                return later(back, [this, successor] { start(successor); });
            }
            [[fallthrough]];
        case 2:
            m_cluster.loseDisk(node);
            node.knowsFounders = false;
            return later(back, [this, i] { start(i); });
        case 3:
            m_cluster.crash(node);
            return later(back, [this, i] { start(i); });
        default:
            node.paused = true;
            return later(back, [this, i] {
                m_cluster.nodes[i].paused = false;
                m_states[i].lost = false;
                disturbed();
            });
        }
    }

    /// A VM that has not been used yet; the number of VMs when there is none.
    [[nodiscard]] std::size_t nextSuccessor() const
    {
        std::size_t i = m_bounds.controlVms;
        while (i < m_states.size() && (m_states[i].started || m_states[i].lost || m_used.contains(i)))
            ++i;
        m_used.insert(i);
        return i;
    }

    void step()
    {
        for (std::size_t i = 0; i < m_actions.size();) {
            if (m_cluster.now >= m_actions[i].at) {
                const auto action = std::move(m_actions[i]);
                m_actions.erase(m_actions.begin() + static_cast<std::ptrdiff_t>(i));
                action.run();
            } else {
                ++i;
            }
        }
        followLeader();
        if (m_cluster.now >= m_proposedAt + 100ms) {
            m_proposedAt = m_cluster.now;
            m_cluster.propose(++m_command);
        }
        const auto before = m_cluster.committed.size();
        m_cluster.step();
        m_committedInCalm = m_committedInCalm
            || (m_cluster.committed.size() > before && m_cluster.now >= m_disturbedAt + m_bounds.contact);
        if (m_cluster.failure)
            m_failure = *m_cluster.failure;
        else if (!m_committedInCalm && m_cluster.now >= m_disturbedAt + m_bounds.contact + m_bounds.ack)
            m_failure = "nothing is committed in calm";
    }

    /// The leader takes processes that do not vote as learners and reviews the voters.
    void followLeader()
    {
        for (std::size_t i = 0; i < m_cluster.nodes.size(); ++i) {
            const auto& node = m_cluster.nodes[i];
            const bool alone = node.replica && (node.replica->leader().empty() || !node.replica->isVoter(node.vm));
            if (!alone)
                m_states[i].aloneSince = m_cluster.now;
        }
        auto* leader = m_cluster.leader();
        if (!leader || !leader->replica->caughtUp() || m_cluster.now < m_reviewedAt + m_settings.reviewInterval)
            return;
        m_reviewedAt = m_cluster.now;
        std::vector<VmId> learners;
        for (std::size_t i = 0; i < m_cluster.nodes.size(); ++i) {
            const auto& node = m_cluster.nodes[i];
            if (node.replica && !node.paused && !leader->replica->isVoter(node.vm)
                && m_cluster.now >= m_states[i].aloneSince + joiningTime)
                learners.push_back(node.vm);
        }
        const auto now = m_cluster.now;
        m_cluster.tellLeaders([&](const auto&) { return agreement::SetLearners { now, learners }; });
        const auto candidates = fleet::voterCandidates(
            leader->vm, *leader->replica, learners, [](const VmId&) { return DataCentreId {}; }, now);
        auto review = fleet::reviewVoters(leader->vm, candidates, leader->replica->changingVoters(), m_settings, now);
        if (!review.voters.empty())
            m_cluster.tellLeaders([&](const auto&) { return agreement::ChangeVoters { now, review.voters }; });
    }

    Bounds m_bounds;
    fleet::VoterSettings m_settings;
    Cluster m_cluster;
    std::vector<State> m_states;
    /// When the next loss may come in the place of each earlier one.
    std::vector<Instant> m_free;
    std::vector<Action> m_actions;
    mutable std::set<std::size_t> m_used;
    Instant m_disturbedAt;
    Instant m_reviewedAt;
    Instant m_proposedAt;
    bool m_committedInCalm { false };
    std::uint64_t m_command { 0 };
    std::string m_failure;
};

/// Plays schedules and returns the failures by seed.
std::map<std::uint64_t, std::string> failures(std::uint64_t seeds, Bounds bounds)
{
    std::map<std::uint64_t, std::string> failed;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Losses losses(seed, bounds);
        if (auto failure = losses.run(); failure != "none")
            failed.emplace(seed, std::move(failure));
    }
    return failed;
}

constexpr Bounds largeDeployment { 6, 2, 6s, 4s, 5s };

void checkNone(const std::map<std::uint64_t, std::string>& failed)
{
    for (const auto& [seed, failure] : failed)
        UNSCOPED_INFO("seed " << seed << ": " << failure);
    CHECK(failed.empty());
}

} // namespace

TEST_CASE("Changes are committed in calm however closely losses of control VMs follow each other", "[voter-losses]")
{
    checkNone(failures(60, {}));
    checkNone(failures(30, largeDeployment));
}

TEST_CASE("Changes are committed in calm through long series of losses of control VMs", "[.soak]")
{
    checkNone(failures(3000, {}));
    checkNone(failures(1000, largeDeployment));
}
