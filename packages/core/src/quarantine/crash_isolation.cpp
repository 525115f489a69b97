#include <rosemarymill/core/quarantine/crash_isolation.hpp>

#include <algorithm>

namespace rosemarymill::quarantine {

void CrashIsolation::announced(const ServerId& server, const BootId& bootId, const FabricDomainId& domain, Instant now)
{
    m_announcements[server] = { bootId, domain, now };
}

void CrashIsolation::crashed(const Crash& crash, Instant at)
{
    const auto server = m_announcements.find(crash.server);
    if (server == m_announcements.end() || m_crashes.contains(crash) || m_crashes.size() >= maxPartCrashes)
        return;
    auto& observed = m_crashes[crash];
    observed.at = at;
    for (const auto& [id, announcement] : m_announcements) {
        if (id != crash.server && announcement.domain == server->second.domain
            && announcement.at >= at - neighbourWindow())
            observed.neighbours.push_back({ id, announcement.bootId });
    }
}

bool CrashIsolation::hasAnnouncedSince(const Neighbour& neighbour, Instant since) const
{
    const auto it = m_announcements.find(neighbour.server);
    return it != m_announcements.end() && it->second.bootId == neighbour.bootId && it->second.at > since;
}

bool CrashIsolation::isIsolated(const Observed& crash) const
{
    std::size_t all = 0;
    std::size_t alive = 0;
    for (const auto& it : crash.neighbours) {
        if (m_crashes.contains({ it.server, it.bootId }))
            continue;
        ++all;
        alive += hasAnnouncedSince(it, crash.at + reportJitter) ? 1 : 0;
    }
    return all >= minNeighbours && alive + all / neighboursPerMissing >= all;
}

std::vector<Crash> CrashIsolation::takeIsolated(Instant now)
{
    std::vector<Crash> isolated;
    for (auto& [id, crash] : m_crashes) {
        if (crash.isolated || now < crash.at + isolationDelay || !isIsolated(crash))
            continue;
        crash.isolated = true;
        isolated.push_back(id);
    }
    return isolated;
}

void CrashIsolation::expire(Instant now)
{
    std::erase_if(m_crashes, [&](const auto& it) { return now >= it.second.at + observedIntervals * m_interval; });
    std::erase_if(m_announcements,
        [&](const auto& it) { return now >= it.second.at + std::max(confirmationTimeout, neighbourWindow()); });
}

} // namespace rosemarymill::quarantine
