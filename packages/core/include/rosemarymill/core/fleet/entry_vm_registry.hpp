#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rosemarymill::fleet {

/// Entry VMs that share limits, as one control VM sees them. The list may be announced only by the leader, to which all
/// of them connect: an entry VM takes a larger share of the limits when the list has fewer entries.
class EntryVmRegistry {
public:
    /// Time after its last connection for which an entry VM still counts.
    static constexpr Duration retention = 30s;

    /// Time within which all entry VMs have connected to a new leader.
    static constexpr Duration leaderDiscoveryTime = 5s;

    /// Records that the entry VM is connected at `now`.
    void markSeen(const VmId& vm, Instant now);

    /// Sets whether this control VM leads.
    void setLeads(bool leads, Instant now);

    /// Removes entry VMs that were last seen `retention` ago or earlier.
    void expire(Instant now);

    /// Entry VMs to announce. Empty unless this control VM has led for `leaderDiscoveryTime`, since the list may be
    /// incomplete until then.
    [[nodiscard]] std::vector<std::string> announcedVms(Instant now) const;

    /// Number of entry VMs that have not expired.
    [[nodiscard]] unsigned size() const noexcept { return static_cast<unsigned>(m_lastReceivedAt.size()); }

private:
    std::map<VmId, Instant> m_lastReceivedAt;
    std::optional<Instant> m_leadsSince;
};

} // namespace rosemarymill::fleet
