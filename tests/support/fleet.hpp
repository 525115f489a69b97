#pragma once

#include <rosemarymill/core/placement/planner.hpp>
#include <rosemarymill/core/placement/stop_groups.hpp>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace rosemarymill::test {

/// Actual state of a backend server. Its announcements reach the leader late or not at all.
struct FakeServer {
    backend::Announcement actualState;
    bool dead { false };
    bool paused { false };
    Instant nextAnnouncement;
    std::optional<std::pair<backend::ModelVersion, Instant>> loading;
};

/// Simulated servers of one data centre in virtual time, which execute a placement leader's orders and announce
/// themselves to it.
template <placement::PlacementPolicy Policy> class Fleet {
public:
    explicit Fleet(std::uint32_t seed)
        : random(seed)
    {
        leader.fencing = FencingNumber { 1 };
    }

    void add(const std::string& name, const std::string& vm, const std::string& domain, bool checksFencing = true)
    {
        auto& server = servers[ServerId { name }];
        auto& it = server.actualState;
        it.id = ServerId { name };
        it.bootId = BootId { name + "-1" };
        it.vm = VmId { vm };
        it.dataCentre = input.dataCentre;
        it.fabricDomain = FabricDomainId { domain };
        it.address = name;
        it.accelerators = 2;
        it.maxRequests = 8;
        it.checksFencing = checksFencing;
        it.cold = true;
        server.nextAnnouncement = now + Duration { random() % 1'000'000 };
    }

    void kill(const ServerId& id) { servers.at(id).dead = true; }

    /// Restarts a server, which loses its weights, its group and the highest fencing number that it has seen.
    void restart(const ServerId& id)
    {
        auto& server = servers.at(id);
        server.dead = false;
        server.paused = false;
        server.loading.reset();
        server.actualState.bootId = BootId { id.text() + "-" + std::to_string(++m_bootCount) };
        server.actualState.models.clear();
        server.actualState.group.reset();
        server.actualState.fencingSeen = {};
        server.actualState.leaving = false;
        server.nextAnnouncement = now;
    }

    /// Replaces the leader by another process, which takes over the groups that its predecessor published. It acts
    /// after two heartbeat intervals.
    void changeLeader()
    {
        const FencingNumber fencing { leader.fencing.value + 1 };
        leader = {};
        leader.fencing = fencing;
        m_startsActingAt = now + 2s;
    }

    void apply(const placement::PlannerEvent& event)
    {
        placement::PlannerEffects effects;
        placement::reduce<Policy>(leader, input, event, effects);
        for (auto& effect : effects)
            std::visit([&](auto& it) { executeEffect(it); }, effect);
    }

    /// Runs and calls the observer after every step.
    template <typename Observer> void run(Duration duration, Observer&& observe)
    {
        for (const auto end = now + duration; now < end;) {
            now += stepSize;
            while (!m_queue.empty() && m_queue.begin()->first <= now) {
                const auto action = std::move(m_queue.begin()->second);
                m_queue.erase(m_queue.begin());
                action();
            }
            for (auto& [id, server] : servers)
                step(server);
            if (m_startsActingAt && now >= *m_startsActingAt) {
                m_startsActingAt.reset();
                m_inheritedGroups = std::exchange(published, {});
                apply(placement::ActingStarted { now, leader.fencing, m_inheritedGroups });
            }
            if (now.time_since_epoch() % Duration { 100ms } == Duration { 0 })
                tick();
            observe();
        }
    }

    void run(Duration duration)
    {
        run(duration, [] {});
    }

    [[nodiscard]] std::size_t serving(const ModelName& model) const
    {
        std::size_t n = 0;
        for (const auto& [id, group] : published)
            n += group.model == model && group.phase == placement::GroupPhase::Serving ? 1 : 0;
        return n;
    }

    Instant now { 10s };
    std::mt19937 random;
    configuration::Manifest manifest;
    placement::PlannerInput input { VmId { "home" }, DataCentreId { "mixco" }, &manifest, false, {} };
    std::map<ServerId, FakeServer> servers;
    placement::PlannerState leader;
    /// The entry VMs' view of the groups.
    placement::GroupTable published;
    unsigned lossPercent { 0 };
    Duration maxDelay { 5ms };
    Duration stepSize { 10ms };
    std::uint64_t ordersSent { 0 };
    /// Alters announcements before the leader receives them, for runs with a deliberate fault.
    std::function<void(backend::Announcement&)> alterAnnouncement;
    std::function<void(const placement::GiveOrder&)> onOrder;

private:
    void transmit(std::function<void()> action)
    {
        if (random() % 100 >= lossPercent)
            m_queue.emplace(
                now + Duration { 500 + static_cast<std::int64_t>(random() % maxDelay.count()) }, std::move(action));
    }

    /// While no leader acts, the entry VMs stop the groups of servers without a report for
    /// placement::serverReportTimeout.
    void tick()
    {
        apply(placement::PlannerTick { now });
        for (const auto& [id, lastReceivedAt] : m_lastReceivedAt) {
            if (!leader.acting && now - lastReceivedAt > placement::serverReportTimeout)
                placement::stopGroupsOfLostServer(published, id);
        }
    }

    void step(FakeServer& server)
    {
        if (server.dead || server.paused)
            return;
        if (server.loading && now >= server.loading->second) {
            server.actualState.models.push_back(server.loading->first);
            server.loading.reset();
        }
        if (now < server.nextAnnouncement)
            return;
        server.nextAnnouncement = now + 1s;
        transmit([this, announcement = server.actualState]() mutable {
            if (alterAnnouncement)
                alterAnnouncement(announcement);
            m_lastReceivedAt[announcement.id] = now;
            if (!leader.acting)
                placement::stopContradictedGroups(published, announcement);
            apply(placement::ServerReported { now, VmId { "home" }, std::move(announcement) });
        });
    }

    void executeEffect(placement::GiveOrder& it)
    {
        ++ordersSent;
        if (onOrder)
            onOrder(it);
        transmit([this, order = it] { receiveOrder(order); });
    }

    void executeEffect(placement::GroupChanged& it) { published.insert_or_assign(it.group.id, it.group); }
    void executeEffect(placement::GroupRemoved& it) { published.erase(it.group); }
    void executeEffect(placement::PlannerNote&) { }

    void receiveOrder(const placement::GiveOrder& it)
    {
        auto& server = servers.at(it.server);
        // An order to a paused process waits in its socket.
        if (server.paused && !server.dead) {
            m_queue.emplace(now + 100ms, [this, it] { receiveOrder(it); });
            return;
        }
        const bool accepted
            = !server.dead && (!server.actualState.checksFencing || it.order.fencing >= server.actualState.fencingSeen);
        if (accepted)
            executeOrder(server, it.order);
        transmit([this, id = it.server, order = it.order.orderId, accepted] {
            apply(placement::OrderResult { now, id, order, accepted });
        });
    }

    void executeOrder(FakeServer& server, const backend::Order& order)
    {
        auto& it = server.actualState;
        it.fencingSeen = std::max(it.fencingSeen, order.fencing);
        switch (order.action) {
        case backend::OrderAction::Load:
            server.loading = { { order.model, order.version, {} }, now + loadTime(order) };
            break;
        case backend::OrderAction::Unload:
            std::erase_if(it.models, [&](const auto& held) { return held.name == order.model; });
            break;
        case backend::OrderAction::Join:
            it.group = backend::GroupMembership { order.group, order.fencing, order.rank };
            break;
        case backend::OrderAction::Leave:
            if (it.group && it.group->id == order.group)
                it.group.reset();
            break;
        case backend::OrderAction::Role:
            break;
        }
        // A server announces a change at once.
        server.nextAnnouncement = now;
    }

    [[nodiscard]] Duration loadTime(const backend::Order& order) const
    {
        for (const auto& model : manifest.models) {
            if (model.name == order.model && manifest.weightStoreBytesPerSecond > 0)
                return Duration { static_cast<std::int64_t>(
                    model.weightBytes * 1'000'000 / manifest.weightStoreBytesPerSecond) };
        }
        return Duration { 0 };
    }

    std::multimap<Instant, std::function<void()>> m_queue;
    std::optional<Instant> m_startsActingAt { Instant { 10s } };
    placement::GroupTable m_inheritedGroups;
    std::map<ServerId, Instant> m_lastReceivedAt;
    std::uint64_t m_bootCount { 1 };
};

} // namespace rosemarymill::test
