#include <rosemarymill/core/fleet/load_table.hpp>

namespace rosemarymill::fleet {

void LoadTable::report(const VmId& vm, std::span<const ServerLoad> loads, Instant now)
{
    auto& entry = m_entries[vm];
    entry.at = now;
    entry.loads.assign(loads.begin(), loads.end());
}

std::vector<ServerLoad> LoadTable::totals(Instant now)
{
    std::erase_if(m_entries, [&](const auto& it) { return now >= it.second.at + reportLife; });
    std::map<ServerId, unsigned> sums;
    for (const auto& [vm, entry] : m_entries) {
        for (const auto& it : entry.loads)
            sums[it.server] += it.requests;
    }
    std::vector<ServerLoad> totals;
    totals.reserve(sums.size());
    for (const auto& [server, requests] : sums)
        totals.push_back({ server, requests });
    return totals;
}

} // namespace rosemarymill::fleet
