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
    std::erase_if(m_entries, [&](const auto& it) { return now >= it.second.at + loadReportLifetime; });
    std::map<ServerId, ServerLoad> sums;
    for (const auto& [vm, entry] : m_entries) {
        for (const auto& it : entry.loads) {
            auto& sum = sums[it.server];
            sum.requests += it.requests;
            sum.promptTokens += it.promptTokens;
        }
    }
    std::vector<ServerLoad> totals;
    totals.reserve(sums.size());
    for (auto& [server, sum] : sums) {
        sum.server = server;
        totals.push_back(sum);
    }
    return totals;
}

} // namespace rosemarymill::fleet
