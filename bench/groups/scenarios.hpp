#pragma once

#include "../../tests/support/fleet.hpp"

#include <algorithm>
#include <cstdint>

/// Simulates failures in one data centre of 470 servers in virtual time.
namespace rosemarymill::bench {

inline constexpr int domains = 29;
inline constexpr int serversPerDomain = 16;
inline constexpr int lastDomainServers = 6;
inline constexpr std::uint64_t gigabyte = 1'000'000'000;
inline constexpr std::uint64_t storeBytesPerSecond = 20 * gigabyte;
inline constexpr Duration step = 50ms;

/// Cost of one failure.
struct Cost {
    /// Number of serving groups below that before the failure, summed over time, in group-seconds.
    double downtime { 0 };
    /// Accelerator time of healthy VMs that neither served nor loaded, in accelerator-seconds. There is demand for
    /// all servers throughout.
    double stranded { 0 };
    /// Longest uninterrupted time in seconds that one healthy VM neither served nor loaded.
    double longestStranded { 0 };
    /// Seconds from the failure until a group stops serving.
    double detection { 0 };
    /// Seconds from then until the first order.
    double decision { 0 };
};

inline configuration::ModelSpec makeModel(
    const char* name, std::uint32_t vms, std::uint64_t bytes, std::uint32_t minimum, std::uint32_t maximum)
{
    configuration::ModelSpec model;
    model.name = ModelName { name };
    model.version = "1";
    model.vmsPerReplica = vms;
    model.weightBytes = bytes;
    model.replicas[DataCentreId { "mixco" }] = { minimum, maximum };
    return model;
}

/// Fleet with constant demand, which needs 40 replicas of the large model and the other servers for the other models.
template <placement::PlacementPolicy Policy> class Scenario {
public:
    explicit Scenario(std::uint32_t seed)
        : fleet(seed)
    {
        fleet.stepSize = step;
        fleet.manifest.weightStoreBytesPerSecond = storeBytesPerSecond;
        for (int d = 0; d < domains; ++d)
            addServers(d, serversPerDomain);
        addServers(domains, lastDomainServers);
        fleet.manifest.models = { makeModel("large", 8, 40 * gigabyte, 40, 44),
            makeModel("medium", 4, 20 * gigabyte, 10, 40), makeModel("small", 1, 5 * gigabyte, 10, 200) };
        fleet.apply(placement::DemandReported { fleet.now,
            { { ModelName { "large" }, { 20, 320 } }, { ModelName { "medium" }, { 4, 100 } },
                { ModelName { "small" }, { 40, 500 } } } });
        fleet.onOrder = [this](const placement::GiveOrder&) {
            if (m_detectedAt && !m_decidedAt)
                m_decidedAt = fleet.now;
        };
        stabilize(1500s);
    }

    void stabilize(Duration duration)
    {
        fleet.run(duration);
        m_expectedGroups = servingGroups();
    }

    /// Runs the action, which makes servers fail, and measures the cost over the given time.
    template <typename Action> Cost measure(Duration duration, Action&& injectFailure)
    {
        m_cost = {};
        m_detectedAt.reset();
        m_decidedAt.reset();
        m_strandedSince.clear();
        m_expectedGroups = servingGroups();
        injectFailure(*this);
        m_failedAt = fleet.now;
        fleet.run(duration, [this] { observe(); });
        if (m_detectedAt)
            m_cost.detection = seconds(*m_detectedAt - m_failedAt);
        if (m_decidedAt)
            m_cost.decision = seconds(*m_decidedAt - *m_detectedAt);
        return m_cost;
    }

    /// Returns the member with the given rank of a serving group of the large model.
    [[nodiscard]] ServerId memberOfLargeGroup(std::size_t rank) const
    {
        for (const auto& [id, group] : fleet.published) {
            if (group.model.text() == "large" && group.phase == placement::GroupPhase::Serving)
                return group.members[rank].server;
        }
        return {};
    }

    /// Returns a random server that is not dead.
    [[nodiscard]] ServerId randomLiveServer()
    {
        while (true) {
            const auto& server = std::next(fleet.servers.begin(), fleet.random() % fleet.servers.size())->second;
            if (!server.dead)
                return server.actualState.id;
        }
    }

    /// Restarts all dead servers, cold and without their weights.
    void restartDeadServers()
    {
        for (auto& [id, server] : fleet.servers) {
            if (server.dead)
                fleet.restart(id);
        }
        stabilize(240s);
    }

    test::Fleet<Policy> fleet;

private:
    static double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    void addServers(int domain, int count)
    {
        const auto name = "d" + std::to_string(100 + domain);
        for (int i = 0; i < count; ++i) {
            const auto server = name + "-" + std::to_string(100 + i);
            fleet.add(server, server, name);
        }
    }

    [[nodiscard]] std::size_t servingGroups() const
    {
        return static_cast<std::size_t>(std::count_if(fleet.published.begin(), fleet.published.end(),
            [](const auto& it) { return it.second.phase == placement::GroupPhase::Serving; }));
    }

    void observe()
    {
        const auto serving = servingGroups();
        if (!m_detectedAt && serving < m_expectedGroups)
            m_detectedAt = fleet.now;
        if (serving < m_expectedGroups)
            m_cost.downtime += static_cast<double>(m_expectedGroups - serving) * seconds(step);
        std::set<ServerId> inUse;
        for (const auto& [id, group] : fleet.published) {
            if (group.phase != placement::GroupPhase::Serving && !isLoading(group))
                continue;
            for (const auto& member : group.members)
                inUse.insert(member.server);
        }
        for (const auto& [id, server] : fleet.servers) {
            if (server.dead || inUse.contains(id) || server.loading) {
                m_strandedSince.erase(id);
                continue;
            }
            m_cost.stranded += server.actualState.accelerators * seconds(step);
            const auto since = m_strandedSince.emplace(id, fleet.now).first->second;
            m_cost.longestStranded = std::max(m_cost.longestStranded, seconds(fleet.now - since));
        }
    }

    /// A group is loading while any of its members loads weights; all its members then count as loading.
    [[nodiscard]] bool isLoading(const placement::Group& group) const
    {
        return std::any_of(group.members.begin(), group.members.end(),
            [&](const auto& member) { return fleet.servers.at(member.server).loading.has_value(); });
    }

    Cost m_cost;
    std::size_t m_expectedGroups { 0 };
    Instant m_failedAt;
    std::optional<Instant> m_detectedAt;
    std::optional<Instant> m_decidedAt;
    std::map<ServerId, Instant> m_strandedSince;
};

} // namespace rosemarymill::bench
