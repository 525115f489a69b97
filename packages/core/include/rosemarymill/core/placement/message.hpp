#pragma once

#include <rosemarymill/core/backend/announcement.hpp>
#include <rosemarymill/core/placement/group.hpp>
#include <rosemarymill/core/placement/lease.hpp>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

/// Messages of the placement module.
namespace rosemarymill::placement {

/// Calls for one model at one entry VM.
struct ModelDemand {
    ModelName model;
    std::uint32_t waiting { 0 };
    std::uint32_t running { 0 };

    friend bool operator==(const ModelDemand&, const ModelDemand&) = default;
};

/// State of one entry VM, sent once a second. By the hashes the leader detects that a message was lost.
struct HomeDigest {
    std::uint32_t servers { 0 };
    std::uint64_t serversHash { 0 };
    std::uint64_t groupsHash { 0 };
    /// Requests that the home's servers run, and how many more they could run.
    std::uint32_t running { 0 };
    std::uint32_t freeSlots { 0 };
    std::vector<ModelDemand> demand;

    friend bool operator==(const HomeDigest&, const HomeDigest&) = default;
};

/// Reports servers of one home to the placement leader: changes at once, the digest once a second.
struct ServerReport {
    /// The report lists all servers of the home.
    bool full { false };
    std::vector<backend::Announcement> changed;
    std::vector<ServerId> gone;
    std::optional<HomeDigest> digest;

    friend bool operator==(const ServerReport&, const ServerReport&) = default;
};

/// Asks a home for a full report.
struct ReportRequest {
    FencingNumber fencing;

    friend bool operator==(const ReportRequest&, const ReportRequest&) = default;
};

/// Sends groups to an entry VM. An update with a lower fencing number than one already seen is ignored.
struct GroupUpdate {
    FencingNumber fencing;
    /// The update lists all groups.
    bool full { false };
    std::vector<Group> changed;
    std::vector<GroupId> removed;

    friend bool operator==(const GroupUpdate&, const GroupUpdate&) = default;
};

using Message = std::variant<LeaseRequest, LeaseReply, LeaseRelease, ServerReport, ReportRequest, GroupUpdate>;

/// Hash of a server's ids, group, models and leaving flag, by which the leader detects a lost report.
[[nodiscard]] std::uint64_t placementHash(const backend::Announcement& server);

/// Hash of a table of groups with their phases.
[[nodiscard]] std::uint64_t groupsHash(const GroupTable& groups);

} // namespace rosemarymill::placement
