#pragma once

#include <rosemarymill/core/placement/lease.hpp>
#include <rosemarymill/core/placement/message.hpp>
#include <rosemarymill/core/placement/planner.hpp>

#include <map>
#include <optional>
#include <set>
#include <vector>

/// Placement in one process: its part as a home of servers, and as the placement leader while it holds the lease.
namespace rosemarymill::node {

/// Placement leader as this process knows it.
struct KnownLeader {
    VmId vm;
    FencingNumber fencing;
};

/// What this process owes the leader in its next report.
struct DueReport {
    bool full { false };
    std::set<ServerId> changed;
    std::vector<ServerId> gone;
    Instant nextDigest;
};

/// What the leader owes the entry VMs in the next update.
struct DueUpdate {
    std::set<GroupId> changed;
    std::vector<GroupId> removed;
    /// When the groups last changed. Digests sent before say nothing about lost updates.
    Instant lastChange;
};

struct Placement {
    explicit Placement(placement::LeaseSettings settings)
        : lease(std::move(settings))
    {
    }

    placement::LeaseState lease;
    /// Meaningful while the lease is held.
    placement::PlannerState planner;
    bool started { false };
    /// When the lease was acquired; absent once the planner acts.
    std::optional<Instant> acquiredAt;
    KnownLeader leader;
    DueReport report;
    DueUpdate update;
    /// Newest digest of each entry VM; kept by the leader.
    std::map<VmId, placement::HomeDigest> digests;
    /// Servers that were told of another home, and when.
    std::map<ServerId, Instant> redirected;
};

} // namespace rosemarymill::node
