#pragma once

#include <rosemarymill/core/placement/lease.hpp>
#include <rosemarymill/core/placement/message.hpp>
#include <rosemarymill/core/placement/planner.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

/// State of placement in one process: as the home of servers, and as the placement leader while it holds the lease.
namespace rosemarymill::node {

/// Placement leader with the highest fencing number that this process has seen.
struct CachedLeader {
    VmId vm;
    FencingNumber fencing;
};

/// Changes that the next report to the leader includes.
struct PendingReport {
    bool full { false };
    std::set<ServerId> changed;
    std::vector<ServerId> gone;
    Instant nextDigest;
};

/// Changes that the leader's next update to the entry VMs includes.
struct PendingUpdate {
    std::set<GroupId> changed;
    std::vector<GroupId> removed;
    /// When the groups last changed. A digest sent before does not show whether an update was lost.
    Instant lastChange;
};

struct Placement {
    explicit Placement(placement::LeaseSettings settings)
        : lease(std::move(settings))
    {
    }

    placement::LeaseState lease;
    /// Valid only while this process holds the lease.
    placement::PlannerState planner;
    bool started { false };
    /// When the lease was acquired; absent once the planner is active.
    std::optional<Instant> acquiredAt;
    CachedLeader leader;
    PendingReport report;
    PendingUpdate update;
    /// Newest digest of each entry VM; stored by the leader only.
    std::map<VmId, placement::HomeDigest> digests;
    /// Servers that were redirected to another home, with the time of the redirect.
    std::map<ServerId, Instant> redirected;
};

} // namespace rosemarymill::node
