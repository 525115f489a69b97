#pragma once

#include <rosemarymill/core/fleet/message.hpp>

#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace rosemarymill::fleet {

/// Requests at each server, summed over the entry VMs with a valid report.
class LoadTable {
public:
    /// Time after which the last report of a VM no longer counts.
    static constexpr Duration loadReportLifetime = 1500ms;

    void report(const VmId& vm, std::span<const ServerLoad> loads, Instant now);

    /// Sums for each server in the reports.
    [[nodiscard]] std::vector<ServerLoad> totals(Instant now);

private:
    struct Entry {
        Instant at;
        std::vector<ServerLoad> loads;
    };

    std::map<VmId, Entry> m_entries;
};

} // namespace rosemarymill::fleet
