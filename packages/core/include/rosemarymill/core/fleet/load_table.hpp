#pragma once

#include <rosemarymill/core/fleet/message.hpp>

#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace rosemarymill::fleet {

/// Requests at the servers, summed over the entry VMs that reported lately.
class LoadTable {
public:
    /// Reports of a VM that is silent for longer no longer count.
    static constexpr Duration loadReportLifetime = 1500ms;

    void report(const VmId& vm, std::span<const ServerLoad> loads, Instant now);

    /// Sum for each server that has requests.
    [[nodiscard]] std::vector<ServerLoad> totals(Instant now);

private:
    struct Entry {
        Instant at;
        std::vector<ServerLoad> loads;
    };

    std::map<VmId, Entry> m_entries;
};

} // namespace rosemarymill::fleet
