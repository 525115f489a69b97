#pragma once

#include <rosemarymill/core/fleet/server.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// Groups in the control log. A leader stores a group before it orders servers to join it, and again before it orders
/// the head to open, so that the next leader knows which servers are bound and which heads may be open.
namespace rosemarymill::fleet {

/// Maximum total size of the stored groups in bytes, as estimated by `estimatedBytes`. A snapshot of the log has to fit
/// into one frame together with the largest document. It suffices for the 3,300 servers of docs/CAPACITY.md.
inline constexpr std::size_t maxGroupRecordsBytes = 192 * 1024;

/// Server process that was chosen as a member of a group.
struct GroupMember {
    ServerId server;
    /// Start of the process, as in `ServerRecord`.
    std::int64_t startedAtMs { 0 };
    /// Sequence number of its last heartbeat when the group was stored. Heartbeats up to it are older than the group's
    /// stage.
    std::uint64_t sequence { 0 };

    friend bool operator==(const GroupMember&, const GroupMember&) = default;
};

/// Group whose members may have been ordered to join it.
struct GroupRecord {
    std::string name;
    std::uint64_t epoch { 0 };
    ServiceName service;
    ModelName model;
    /// By rank; the head comes first.
    std::vector<GroupMember> members;
    /// All members were ready, and the head may have been ordered to open.
    bool mayBeOpen { false };

    [[nodiscard]] const GroupMember* find(const ServerId& server) const noexcept;

    friend bool operator==(const GroupRecord&, const GroupRecord&) = default;
};

/// Groups in the order of their epochs.
using GroupRecords = std::vector<GroupRecord>;

/// Estimated size of a stored group in bytes.
[[nodiscard]] std::size_t estimatedBytes(const GroupRecord& record) noexcept;

/// Stores a group, in place of the one with the same name. Groups of lower epochs that share a member with it are
/// removed, because a leader reuses servers only after their group was released; so are the oldest ones beyond
/// `maxGroupRecordsBytes`. Returns whether it changed anything. An epoch lower than the stored one changes nothing.
bool store(GroupRecords& records, const GroupRecord& record);

/// Removes a group up to an epoch. Returns whether it was stored.
bool erase(GroupRecords& records, const std::string& name, std::uint64_t epoch);

} // namespace rosemarymill::fleet
