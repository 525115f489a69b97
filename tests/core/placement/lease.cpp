#include <rosemarymill/core/placement/lease.hpp>

#include <catch2/catch.hpp>

#include "../support/virtual_network.hpp"

#include <algorithm>

using namespace rosemarymill;
using namespace rosemarymill::placement;

namespace {

/// Number of seeded schedules in each check. The checks of the lease and of its broken variants run the same ones.
constexpr std::uint32_t schedules = 400;

/// Faults that a broken variant of the lease has.
enum class Defect { None, AcceptorRepliesAtOnce, HolderIgnoresClock };

/// Three acceptors that are also the candidates, with clocks of different rate and offset.
class LeaseCluster {
public:
    LeaseCluster(std::uint32_t seed, Defect defect)
        : network(seed)
        , m_defect(defect)
    {
        for (int i = 0; i < 3; ++i)
            m_acceptors.emplace_back("vm-" + std::to_string(i));
        for (const auto& vm : m_acceptors) {
            auto& node = m_nodes[vm];
            // Rates between 0.995 and 1.005 differ by up to 1%.
            node.rate = 0.995 + 0.00001 * static_cast<double>(network.random()() % 1000);
            node.offset = Duration { 1000 + network.random()() % 1'000'000'000 };
            start(vm);
        }
    }

    void start(const VmId& vm)
    {
        auto& node = m_nodes.at(vm);
        node.paused = false;
        node.state.emplace(
            LeaseSettings { vm, BootId { vm.text() + std::to_string(++m_boots) }, m_boots, m_acceptors, true });
        apply(vm, LeaseStarted { clock(vm) });
        if (m_defect == Defect::AcceptorRepliesAtOnce)
            node.state->acceptor.startupDelayEnd = {};
    }

    void crash(const VmId& vm) { m_nodes.at(vm).state.reset(); }
    void pause(const VmId& vm) { m_nodes.at(vm).paused = true; }
    void resume(const VmId& vm) { m_nodes.at(vm).paused = false; }
    [[nodiscard]] bool crashed(const VmId& vm) const { return !m_nodes.at(vm).state; }
    [[nodiscard]] const VmId& vm(std::size_t i) const { return m_acceptors[i]; }
    [[nodiscard]] bool holds(const VmId& vm) const { return acts(vm); }

    /// Runs and checks after every step that at most one process may act and that fencing numbers only rise.
    void run(Duration duration)
    {
        for (const auto end = now + duration; now < end; now += 10ms) {
            network.deliverUntil(now, [&](auto&& it) {
                if (runs(it.to))
                    apply(it.to, LeaseReceived { clock(it.to), it.from, it.message });
            });
            for (const auto& vm : m_acceptors) {
                if (runs(vm) && network.random()() % 10 == 0)
                    apply(vm, LeaseTick { clock(vm) });
            }
            check();
        }
    }

    [[nodiscard]] std::size_t holders() const
    {
        std::size_t n = 0;
        for (const auto& vm : m_acceptors)
            n += acts(vm) ? 1 : 0;
        return n;
    }

    test::VirtualNetwork<LeaseMessage> network;
    Instant now { 100s };
    std::size_t violations { 0 };
    std::size_t terms { 0 };

private:
    struct Node {
        std::optional<LeaseState> state;
        double rate { 1 };
        Duration offset { 0 };
        bool paused { false };
    };

    [[nodiscard]] Instant clock(const VmId& vm) const
    {
        const auto& node = m_nodes.at(vm);
        return Instant { node.offset
            + Duration { static_cast<std::int64_t>(node.rate * static_cast<double>(now.time_since_epoch().count())) } };
    }

    [[nodiscard]] bool runs(const VmId& vm) const { return m_nodes.at(vm).state && !m_nodes.at(vm).paused; }

    /// A paused process acts as soon as it resumes, so it counts as acting while its clock allows it.
    [[nodiscard]] bool acts(const VmId& vm) const
    {
        const auto& node = m_nodes.at(vm);
        if (!node.state)
            return false;
        if (m_defect == Defect::HolderIgnoresClock)
            return node.state->candidate.acquiredAt.has_value();
        return holdsLease(*node.state, clock(vm));
    }

    void check()
    {
        violations += holders() > 1 ? 1 : 0;
        for (const auto& vm : m_acceptors) {
            if (!acts(vm))
                continue;
            const auto fencing = m_nodes.at(vm).state->candidate.fencing;
            violations += fencing < m_highest ? 1 : 0;
            violations += fencing == m_highest && vm != m_lastHolder ? 1 : 0;
            terms += fencing > m_highest ? 1 : 0;
            m_highest = fencing;
            m_lastHolder = vm;
        }
    }

    void apply(const VmId& vm, const LeaseEvent& event)
    {
        LeaseEffects effects;
        reduce(*m_nodes.at(vm).state, event, effects);
        for (auto& effect : effects) {
            if (auto* send = std::get_if<LeaseSend>(&effect))
                network.send(now, vm, send->to, std::move(send->message));
        }
        // Servers announce the highest fencing number that they have accepted.
        if (std::holds_alternative<LeaseStarted>(event))
            reduce(*m_nodes.at(vm).state, FencingSeen { clock(vm), m_highest }, effects);
    }

    Defect m_defect;
    std::vector<VmId> m_acceptors;
    std::map<VmId, Node> m_nodes;
    std::uint64_t m_boots { 0 };
    FencingNumber m_highest;
    VmId m_lastHolder;
};

/// Runs a seeded schedule of pauses, crashes, losses and partitions.
LeaseCluster runSchedule(std::uint32_t seed, Defect defect)
{
    LeaseCluster cluster(seed, defect);
    auto& random = cluster.network.random();
    cluster.run(8s);
    for (int round = 0; round < 30; ++round) {
        const auto& vm = cluster.vm(random() % 3);
        const auto fault = random() % 4;
        cluster.network.lossPercent = random() % 30;
        cluster.network.maxDelay = Duration { 2ms } + Duration { random() % 400'000 };
        if (fault == 0)
            cluster.pause(vm);
        else if (fault == 1)
            cluster.crash(vm);
        else if (fault == 2)
            cluster.network.cut(vm, cluster.vm(random() % 3));
        for (std::size_t i = 0; fault == 3 && i < 3; ++i) {
            cluster.network.cut(vm, cluster.vm(i));
            cluster.network.cut(cluster.vm(i), vm);
        }
        cluster.run(Duration { random() % 6'000'000 });
        cluster.network.heal();
        for (std::size_t i = 0; i < 3; ++i) {
            cluster.resume(cluster.vm(i));
            if (cluster.crashed(cluster.vm(i)))
                cluster.start(cluster.vm(i));
        }
        cluster.run(Duration { random() % 3'000'000 });
    }
    cluster.network.lossPercent = 0;
    cluster.network.maxDelay = 2ms;
    cluster.run(15s);
    return cluster;
}

/// Violations in the first schedule that has any.
std::size_t violationsOf(Defect defect)
{
    std::size_t violations = 0;
    for (std::uint32_t seed = 1; seed <= schedules && violations == 0; ++seed)
        violations += runSchedule(seed, defect).violations;
    return violations;
}

} // namespace

// Guards against two leaders that send orders at the same time and against reused fencing numbers.
TEST_CASE("At most one process holds the lease under pauses, crashes, losses and partitions", "[lease]")
{
    for (std::uint32_t seed = 1; seed <= schedules; ++seed) {
        INFO("seed " << seed);
        const auto cluster = runSchedule(seed, Defect::None);
        CHECK(cluster.violations == 0);
        CHECK(cluster.terms > 1);
        CHECK(cluster.holders() == 1);
    }
}

TEST_CASE("The lease check rejects acceptors that reply immediately after a start", "[lease]")
{
    CHECK(violationsOf(Defect::AcceptorRepliesAtOnce) > 0);
}

TEST_CASE("The lease check rejects a holder that ignores the end of its lease", "[lease]")
{
    CHECK(violationsOf(Defect::HolderIgnoresClock) > 0);
}

// Guards against a data centre without a leader for longer than one lease and one backoff.
TEST_CASE("Another process takes over when the holder crashes", "[lease]")
{
    LeaseCluster cluster(3, Defect::None);
    cluster.run(8s);
    REQUIRE(cluster.holders() == 1);
    for (std::size_t i = 0; i < 3; ++i) {
        LeaseCluster probe = cluster;
        probe.crash(probe.vm(i));
        probe.run(4s);
        CHECK(probe.holders() == 1);
        CHECK(probe.violations == 0);
    }
}

TEST_CASE("A process without acceptors holds the lease with a fencing number above all seen", "[lease]")
{
    LeaseState state { { VmId { "alone" }, BootId { "b" }, 1, {}, true } };
    LeaseEffects effects;
    const Instant now { 5s };
    reduce(state, LeaseStarted { now }, effects);
    CHECK(holdsLease(state, now));
    reduce(state, FencingSeen { now, FencingNumber { 41 } }, effects);
    CHECK(state.candidate.fencing == FencingNumber { 42 });
    CHECK(holdsLease(state, now + 1h));
}

// Guards against a split vote that lasts while a third process is paused: each candidate renews its own grant.
TEST_CASE("Another process takes over from a paused holder when candidates send requests simultaneously", "[lease]")
{
    constexpr std::uint32_t seeds = 200;
    // The process test allows 30 s after the pause.
    constexpr Duration takeover = 30s - leaseDuration;
    std::size_t withoutHolder = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        LeaseCluster cluster(seed, Defect::None);
        cluster.run(8s);
        REQUIRE(cluster.holders() == 1);
        // On a busy machine a message takes as long as the candidates' random delay.
        cluster.network.maxDelay = leaseBackoff;
        for (std::size_t i = 0; i < 3; ++i) {
            if (cluster.holds(cluster.vm(i)))
                cluster.pause(cluster.vm(i));
        }
        // The paused holder's lease has expired after this time; another process acquires the next one.
        cluster.run(leaseDuration);
        const auto end = cluster.now + takeover;
        while (cluster.holders() == 0 && cluster.now < end)
            cluster.run(100ms);
        INFO("seed " << seed);
        withoutHolder += cluster.holders() == 1 ? 0 : 1;
        CHECK(cluster.violations == 0);
    }
    CHECK(withoutHolder == 0);
}

TEST_CASE("Two candidates with one grant each resolve the split vote", "[lease]")
{
    const std::vector<VmId> acceptors { VmId { "a" }, VmId { "b" }, VmId { "silent" } };
    std::map<VmId, LeaseState> nodes;
    for (const auto* name : { "a", "b" })
        nodes.emplace(VmId { name }, LeaseState { { VmId { name }, BootId { name }, 1, acceptors, true } });
    Instant now { 100s };
    std::vector<std::pair<VmId, LeaseSend>> sent;
    const auto apply = [&](const VmId& vm, const LeaseEvent& event) {
        LeaseEffects effects;
        reduce(nodes.at(vm), event, effects);
        for (auto& effect : effects) {
            if (const auto* send = std::get_if<LeaseSend>(&effect))
                sent.emplace_back(vm, *send);
        }
    };
    for (const auto& [vm, state] : nodes)
        apply(vm, LeaseStarted { now });
    now += acceptorStartupDelay;
    const auto anyHolder = [&] {
        return std::any_of(nodes.begin(), nodes.end(), [&](const auto& it) { return holdsLease(it.second, now); });
    };
    // Both send their first requests in the same step, and later ones when they are due.
    for (auto& [vm, state] : nodes)
        state.candidate.nextRequest = now;
    const auto end = now + 10s;
    for (; now < end && !anyHolder(); now += 10ms) {
        for (const auto& [vm, state] : nodes)
            apply(vm, LeaseTick { now });
        for (auto batch = std::exchange(sent, {}); !batch.empty(); batch = std::exchange(sent, {})) {
            // A process receives its own messages first.
            std::stable_partition(batch.begin(), batch.end(), [](const auto& it) { return it.first == it.second.to; });
            for (const auto& [from, it] : batch) {
                if (nodes.contains(it.to))
                    apply(it.to, LeaseReceived { now, from, it.message });
            }
        }
    }
    CHECK(anyHolder());
}
