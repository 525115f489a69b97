#include <rosemarymill/core/quarantine/neighbours.hpp>

#include <algorithm>

namespace rosemarymill::quarantine {

void Neighbours::announced(const Crash& process, const FabricDomainId& domain, Instant now)
{
    m_processes[process.server] = { process.bootId, domain, now };
}

void Neighbours::crashed(const Crash& crash, Instant at)
{
    const auto server = m_processes.find(crash.server);
    if (server == m_processes.end() || m_crashes.contains(crash))
        return;
    auto& observed = m_crashes[crash];
    observed.at = at;
    for (const auto& [id, process] : m_processes) {
        if (id != crash.server && process.domain == server->second.domain
            && process.announcedAt >= at - neighbourWindow)
            observed.neighbours.push_back({ id, process.bootId });
    }
}

bool Neighbours::announcedSince(const Crash& process, Instant since) const
{
    const auto it = m_processes.find(process.server);
    return it != m_processes.end() && it->second.bootId == process.bootId && it->second.announcedAt > since;
}

bool Neighbours::isIsolated(const Observed& crash) const
{
    std::size_t all = 0;
    std::size_t alive = 0;
    for (const auto& it : crash.neighbours) {
        if (m_crashes.contains(it))
            continue;
        ++all;
        alive += announcedSince(it, crash.at + reportJitter) ? 1 : 0;
    }
    return all >= minNeighbours && alive + all / neighboursPerMissing >= all;
}

std::vector<Crash> Neighbours::takeIsolated(Instant now)
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

void Neighbours::expire(Instant now)
{
    std::erase_if(m_crashes, [&](const auto& it) { return now >= it.second.at + isolationTimeout; });
    std::erase_if(m_processes, [&](const auto& it) { return now >= it.second.announcedAt + confirmationTimeout; });
}

} // namespace rosemarymill::quarantine
