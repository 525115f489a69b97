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

/// Limits of a deployment, as the platform specifies them.
struct Bounds {
    /// Control VMs at the start of the system; the first three bootstrap the log.
    std::size_t controlVms { 3 };
    /// Number of control VMs that may be lost at the same time.
    std::size_t losses { 1 };
    /// A VM counts as lost for this long after it has recovered or its replacement has started.
    Duration catchUpTime { 4s };
    /// The deployment is stable when no control VM has failed or recovered for this long.
    Duration stableAfter { 3s };
    /// While the deployment is stable, a change is committed within this time.
    Duration commitTimeout { 4s };
};

constexpr std::size_t bootstrapVoterCount = 3;
constexpr std::size_t successors = 12;
constexpr Duration scheduleLength = 60s;
/// Entries after which snapshots are taken. A VM that lost its disk receives the voters in a snapshot, or in the log if
/// there is no snapshot.
constexpr std::uint64_t frequentSnapshots = 20;
constexpr std::uint64_t rareSnapshots = 1000;
/// Time for a process to find the leader after its start or after it has detected that it has no leader or does not
/// vote.
constexpr Duration joiningTime = 500ms;

/// Control VMs under losses that follow each other as closely as the limits allow. The leader reviews the voters like
/// that of a control VM.
class LossSimulation {
public:
    LossSimulation(std::uint64_t seed, Bounds bounds)
        : m_bounds(bounds)
        , m_settings(fleet::voterSettings(bounds.losses, bounds.catchUpTime))
        , m_cluster(
              bounds.controlVms + successors, seed, bootstrapVoterCount, seed % 2 ? frequentSnapshots : rareSnapshots)
        , m_states(m_cluster.nodes.size())
        , m_nextLossAt(bounds.losses)
    {
        for (std::size_t i = bounds.controlVms; i < m_cluster.nodes.size(); ++i) {
            m_cluster.loseDisk(m_cluster.nodes[i]);
            m_states[i].started = false;
        }
    }

    /// Runs one schedule. Returns the first failure, or "none".
    std::string run()
    {
        runFor(6s);
        for (const auto end = m_cluster.now + scheduleLength; m_cluster.now < end && m_failure.empty();) {
            for (auto& nextLossAt : m_nextLossAt) {
                if (m_cluster.now >= nextLossAt)
                    lose(nextLossAt);
            }
            step();
        }
        runFor(m_bounds.stableAfter + m_bounds.commitTimeout + 4s);
        return m_failure.empty() ? "none" : m_failure;
    }

    [[nodiscard]] std::size_t committed() const noexcept { return m_cluster.committed.size(); }

private:
    using Cluster = tests::Cluster<Register, agreement::StandardRules>;

    struct State {
        bool started { true };
        bool lost { false };
        Instant detachedSince;
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

    /// Records that a control VM failed or recovered: the deployment is not stable for a while.
    void recordDisturbance()
    {
        m_lastDisturbanceAt = m_cluster.now;
        m_committedWhileStable = false;
    }

    void schedule(Instant at, std::function<void()> action) { m_actions.push_back({ at, std::move(action) }); }

    void start(std::size_t i)
    {
        m_cluster.start(m_cluster.nodes[i]);
        m_states[i].started = true;
        m_states[i].lost = false;
        m_states[i].detachedSince = m_cluster.now;
        recordDisturbance();
    }

    /// Stops or pauses one control VM and sets the time from which the next loss may follow.
    void lose(Instant& nextLossAt)
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
        recordDisturbance();
        const auto recoveredAt = m_cluster.now + between(100ms, 2500ms);
        // With a probability of 0.3, a stable period follows the loss.
        nextLossAt = recoveredAt + m_bounds.catchUpTime
            + (m_cluster.chance(0.3) ? m_bounds.stableAfter + m_bounds.commitTimeout : 0s);
        switch (m_cluster.pick(5)) {
        case 0:
        case 1:
            if (const auto successor = nextSuccessor(); successor < m_cluster.nodes.size()) {
                m_cluster.crash(node);
                m_states[i].started = false;
                m_states[successor].lost = true;
                return schedule(recoveredAt, [this, successor] { start(successor); });
            }
            [[fallthrough]];
        case 2:
            m_cluster.loseDisk(node);
            node.startsWithFoundingVoters = false;
            return schedule(recoveredAt, [this, i] { start(i); });
        case 3:
            m_cluster.crash(node);
            return schedule(recoveredAt, [this, i] { start(i); });
        default:
            node.paused = true;
            return schedule(recoveredAt, [this, i] {
                m_cluster.nodes[i].paused = false;
                m_states[i].lost = false;
                recordDisturbance();
            });
        }
    }

    /// Index of a VM that has not been used yet; the number of VMs if there is none.
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
        updateVoters();
        if (m_cluster.now >= m_proposedAt + 100ms) {
            m_proposedAt = m_cluster.now;
            m_cluster.propose(++m_command);
        }
        const auto before = m_cluster.committed.size();
        m_cluster.step();
        m_committedWhileStable = m_committedWhileStable
            || (m_cluster.committed.size() > before && m_cluster.now >= m_lastDisturbanceAt + m_bounds.stableAfter);
        if (m_cluster.failure)
            m_failure = *m_cluster.failure;
        else if (!m_committedWhileStable
            && m_cluster.now >= m_lastDisturbanceAt + m_bounds.stableAfter + m_bounds.commitTimeout)
            m_failure = "nothing is committed while the deployment is stable";
    }

    /// The leader adds processes that do not vote as learners and reviews the voters.
    void updateVoters()
    {
        for (std::size_t i = 0; i < m_cluster.nodes.size(); ++i) {
            const auto& node = m_cluster.nodes[i];
            const bool detached = node.replica && (node.replica->leader().empty() || !node.replica->isVoter(node.vm));
            if (!detached)
                m_states[i].detachedSince = m_cluster.now;
        }
        auto* leader = m_cluster.leader();
        if (!leader || !leader->replica->caughtUp() || m_cluster.now < m_reviewedAt + m_settings.reviewInterval)
            return;
        m_reviewedAt = m_cluster.now;
        std::vector<VmId> learners;
        for (std::size_t i = 0; i < m_cluster.nodes.size(); ++i) {
            const auto& node = m_cluster.nodes[i];
            if (node.replica && !node.paused && !leader->replica->isVoter(node.vm)
                && m_cluster.now >= m_states[i].detachedSince + joiningTime)
                learners.push_back(node.vm);
        }
        const auto now = m_cluster.now;
        m_cluster.deliverToLeaders([&](const auto&) { return agreement::SetLearners { now, learners }; });
        const auto candidates = fleet::voterCandidates(
            leader->vm, *leader->replica, learners, [](const VmId&) { return DataCentreId {}; }, now);
        auto review = fleet::reviewVoters(leader->vm, candidates, leader->replica->changingVoters(), m_settings, now);
        if (!review.voters.empty())
            m_cluster.deliverToLeaders([&](const auto&) { return agreement::ChangeVoters { now, review.voters }; });
    }

    Bounds m_bounds;
    fleet::VoterSettings m_settings;
    Cluster m_cluster;
    std::vector<State> m_states;
    /// Time from which the next loss is allowed, for each of the simultaneous losses.
    std::vector<Instant> m_nextLossAt;
    std::vector<Action> m_actions;
    mutable std::set<std::size_t> m_used;
    Instant m_lastDisturbanceAt;
    Instant m_reviewedAt;
    Instant m_proposedAt;
    bool m_committedWhileStable { false };
    std::uint64_t m_command { 0 };
    std::string m_failure;
};

/// Runs one schedule for each seed and returns the failures by seed.
std::map<std::uint64_t, std::string> failures(std::uint64_t seeds, Bounds bounds)
{
    std::map<std::uint64_t, std::string> failed;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        LossSimulation losses(seed, bounds);
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

TEST_CASE("Changes are committed in stable periods between closely spaced losses of control VMs", "[voter-losses]")
{
    checkNone(failures(60, {}));
    checkNone(failures(30, largeDeployment));
}

TEST_CASE("Changes are committed in stable periods during long series of losses of control VMs", "[.soak]")
{
    checkNone(failures(3000, {}));
    checkNone(failures(1000, largeDeployment));
}
