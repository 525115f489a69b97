#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rosemarymill::fleet {

/// Entry VMs that share limits, as one control VM hears of them. Only a control VM to which all of them connect knows
/// them: each takes a larger share of the limits when it is told of fewer.
class EntryVmRegistry {
public:
    /// An entry VM that was connected this recently still counts.
    static constexpr Duration memory = 30s;

    /// Time in which the entry VMs find a new leader.
    static constexpr Duration settleTime = 5s;

    /// The entry VM is connected.
    void markSeen(const VmId& vm, Instant now);

    /// Whether this control VM leads, from now on.
    void setLeads(bool leads, Instant now);

    /// Forgets entry VMs that have not been seen for a time.
    void expire(Instant now);

    /// Entry VMs to be told to others; empty while this control VM need not know them all.
    [[nodiscard]] std::vector<std::string> known(Instant now) const;

    /// Number of entry VMs that were seen lately.
    [[nodiscard]] unsigned size() const noexcept { return static_cast<unsigned>(m_lastReceivedAt.size()); }

private:
    std::map<VmId, Instant> m_lastReceivedAt;
    std::optional<Instant> m_leadsSince;
};

} // namespace rosemarymill::fleet
