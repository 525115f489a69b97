#pragma once

#include <rosemarymill/core/agreement/replica.hpp>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Simulation in virtual time: voters, a network that loses, delays, reorders and duplicates messages, and disks that
/// lose unsynced writes at a crash. Checks run after every event.
namespace rosemarymill::tests {

/// State machine that records all commands.
struct Register {
    using Command = std::uint64_t;
    using Snapshot = std::vector<std::uint64_t>;
    using Answer = std::size_t;

    std::vector<std::uint64_t> values;

    Answer apply(agreement::Index, const Command& command)
    {
        values.push_back(command);
        return values.size();
    }
    [[nodiscard]] Snapshot snapshot() const { return values; }
    void restore(Snapshot snapshot) { values = std::move(snapshot); }
    [[nodiscard]] static std::size_t estimatedBytes(const Command&) { return 100; }
};

template <typename M, typename Rules> class Cluster {
public:
    using Replica = agreement::Replica<M, Rules>;
    using Message = typename Replica::Message;
    using Record = typename Replica::Record;

    struct Node {
        VmId vm;
        typename Replica::PersistedState disk;
        std::unique_ptr<Replica> replica;
        std::vector<std::pair<std::uint64_t, Record>> unsynced;
        bool paused { false };
        bool writable { true };
        /// Whether the settings of the process list the founding voters. Tests clear it for a process that lost its
        /// disk.
        bool startsWithFoundingVoters { true };
        /// Highest index whose effects were visible. A restart must not fall below it.
        agreement::Index lastVisibleIndex { 0 };
        /// Time of one sync, during which the process is blocked. Zero means a disk that syncs in the background, see
        /// syncChance.
        Duration syncTime {};
        std::optional<Instant> syncsUntil;
    };

    /// The first `founding` processes are the founding voters of the log; by default all are. Snapshots are taken after
    /// `snapshotInterval` entries.
    Cluster(std::size_t size, std::uint64_t seed, std::size_t founding = ~std::size_t { 0 },
        std::uint64_t snapshotInterval = 20)
        : snapshotInterval(snapshotInterval)
        , m_random(seed)
        , m_seed(seed)
    {
        for (std::size_t i = 0; i < size; ++i) {
            nodes.emplace_back().vm = VmId { "voter-" + std::to_string(i) };
            if (i < founding)
                m_voters.push_back(nodes.back().vm);
        }
        for (auto& node : nodes)
            start(node);
    }

    void start(Node& node)
    {
        agreement::Settings settings;
        settings.self = node.vm;
        if (node.startsWithFoundingVoters && std::find(m_voters.begin(), m_voters.end(), node.vm) != m_voters.end())
            settings.voters = m_voters;
        settings.seed = m_seed;
        settings.bootNonce = ++m_starts;
        settings.snapshotInterval = snapshotInterval;
        settings.trailingEntries = 5;
        settings.appendWeight = appendWeight;
        node.replica = std::make_unique<Replica>(settings, node.disk);
        if (node.replica->applied() < node.lastVisibleIndex)
            fail("reverted: " + node.vm.text() + " restarted at " + std::to_string(node.replica->applied()) + " after "
                + std::to_string(node.lastVisibleIndex));
        deliver(node, agreement::Started { now });
        if (!node.writable)
            deliver(node, agreement::StorageChanged { now, false });
    }

    void crash(Node& node)
    {
        node.replica.reset();
        node.unsynced.clear();
        node.syncsUntil.reset();
        node.paused = false;
    }

    void loseDisk(Node& node)
    {
        crash(node);
        node.disk = {};
        node.lastVisibleIndex = 0;
    }

    void setWritable(Node& node, bool writable)
    {
        node.writable = writable;
        if (node.replica)
            deliver(node, agreement::StorageChanged { now, writable });
    }

    /// Advances the time by one step of 10 ms: syncs, messages, timers.
    void step()
    {
        now += 10ms;
        for (auto& node : nodes) {
            if (!node.replica || node.paused)
                continue;
            if (node.syncTime > Duration::zero()) {
                if (waitForDisk(node))
                    continue;
            } else if (node.writable && chance(syncChance) && !node.unsynced.empty()) {
                sync(node, 1 + pick(node.unsynced.size()));
            }
            deliver(node, agreement::Tick { now });
        }
        for (auto it = m_network.begin(); it != m_network.end() && it->first <= now; it = m_network.erase(it)) {
            auto& node = *find(it->second.to);
            if (node.paused || node.syncsUntil)
                m_network.emplace(now + 10ms, it->second);
            else if (node.replica && !cut(it->second.from, it->second.to))
                deliver(node,
                    agreement::Received<typename M::Command, typename M::Snapshot> {
                        now, it->second.from, it->second.message });
        }
    }

    void run(Duration duration)
    {
        for (const auto end = now + duration; now < end && !failure;)
            step();
    }

    /// Proposes a command to every process that considers itself the leader.
    bool propose(const typename M::Command& command)
    {
        bool accepted = false;
        for (auto& node : nodes) {
            if (!node.replica || node.paused || node.syncsUntil || node.replica->role() != agreement::Role::Leader)
                continue;
            accepted = true;
            deliver(node, agreement::Proposed<typename M::Command> { now, command });
        }
        return accepted;
    }

    /// Delivers an event to every process that considers itself the leader.
    template <typename Make> void deliverToLeaders(Make&& make)
    {
        for (auto& node : nodes) {
            if (node.replica && !node.paused && !node.syncsUntil && node.replica->role() == agreement::Role::Leader)
                deliver(node, make(node));
        }
    }

    [[nodiscard]] Node* leader()
    {
        for (auto& node : nodes) {
            if (node.replica && !node.paused && node.replica->role() == agreement::Role::Leader)
                return &node;
        }
        return nullptr;
    }

    [[nodiscard]] bool chance(double probability)
    {
        return std::uniform_real_distribution<> { 0, 1 }(m_random) < probability;
    }
    [[nodiscard]] std::size_t pick(std::size_t size)
    {
        return std::uniform_int_distribution<std::size_t> { 0, size - 1 }(m_random);
    }
    [[nodiscard]] Node* find(const VmId& vm)
    {
        return &*std::find_if(nodes.begin(), nodes.end(), [&](const auto& it) { return it.vm == vm; });
    }
    [[nodiscard]] bool cut(const VmId& from, const VmId& to) const { return cuts.contains({ from, to }); }

    std::uint64_t snapshotInterval;
    std::vector<Node> nodes;
    std::set<std::pair<VmId, VmId>> cuts;
    Instant now { 1s };
    double loss { 0 };
    double duplication { 0 };
    double syncChance { 0.7 };
    Duration maxDelay { 20ms };
    std::size_t appendWeight { 256 * 1024 };
    std::optional<std::string> failure;
    /// Commands by index as first applied anywhere.
    std::map<agreement::Index, typename M::Command> committed;
    std::size_t messages { 0 };

private:
    struct InFlight {
        VmId from;
        VmId to;
        Message message;
    };

    void fail(std::string text)
    {
        if (!failure)
            failure = std::move(text);
    }

    /// Starts and completes the syncs of a process that blocks on its disk. Returns whether it is blocked.
    bool waitForDisk(Node& node)
    {
        if (node.syncsUntil && now < *node.syncsUntil)
            return true;
        if (std::exchange(node.syncsUntil, std::nullopt))
            sync(node, node.unsynced.size());
        else if (node.writable && !node.unsynced.empty())
            node.syncsUntil = now + node.syncTime;
        return node.syncsUntil.has_value();
    }

    void sync(Node& node, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            agreement::applyRecord(node.disk, node.unsynced[i].second);
        const auto sequence = node.unsynced[count - 1].first;
        node.unsynced.erase(node.unsynced.begin(), node.unsynced.begin() + static_cast<std::ptrdiff_t>(count));
        deliver(node, agreement::Persisted { now, sequence });
    }

    void deliver(Node& node, const typename Replica::Event& event)
    {
        typename Replica::Effects effects;
        node.replica->reduce(event, effects);
        for (auto& it : effects)
            std::visit([&](auto& effect) { executeEffect(node, effect); }, it);
        if (node.replica->role() == agreement::Role::Leader) {
            const auto recordedLeader = m_leaders.try_emplace(node.replica->term(), node.vm).first->second;
            if (recordedLeader != node.vm)
                fail("two leaders in term " + std::to_string(node.replica->term()));
        }
    }

    void executeEffect(Node& node, agreement::Send<typename M::Command, typename M::Snapshot>& send)
    {
        ++messages;
        for (int copies = chance(duplication) ? 2 : 1; copies > 0; --copies) {
            if (!chance(loss) && !cut(node.vm, send.to))
                m_network.emplace(
                    now + Duration { std::uniform_int_distribution<Duration::rep> { 1, maxDelay.count() }(m_random) },
                    InFlight { node.vm, send.to, send.message });
        }
    }

    void executeEffect(Node& node, agreement::Persist<typename M::Command, typename M::Snapshot>& persist)
    {
        node.unsynced.emplace_back(persist.sequence, std::move(persist.record));
    }

    void executeEffect(Node& node, agreement::Applied<typename M::Command, typename M::Answer>& applied)
    {
        const auto [it, inserted] = committed.try_emplace(applied.index, applied.command);
        if (!inserted && it->second != applied.command)
            fail("logs differ at index " + std::to_string(applied.index));
        node.lastVisibleIndex = std::max(node.lastVisibleIndex, applied.index);
    }

    void executeEffect(Node& node, agreement::Restored& restored)
    {
        node.lastVisibleIndex = std::max(node.lastVisibleIndex, restored.index);
    }

    template <typename Other> void executeEffect(Node&, Other&) { }

    std::mt19937_64 m_random;
    std::uint64_t m_seed;
    std::uint64_t m_starts { 0 };
    std::vector<VmId> m_voters;
    std::multimap<Instant, InFlight> m_network;
    std::map<agreement::Term, VmId> m_leaders;
};

} // namespace rosemarymill::tests
