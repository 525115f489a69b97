#pragma once

#include <rosemarymill/core/agreement/record.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <variant>
#include <vector>

/// Messages between the voters of one log.
namespace rosemarymill::agreement {

/// Requests a vote. A preliminary request (pre-vote) changes no state and tests whether an election could succeed.
struct VoteRequest {
    Term term { 0 };
    Index lastIndex { 0 };
    Term lastTerm { 0 };
    bool preliminary { false };

    friend bool operator==(const VoteRequest&, const VoteRequest&) = default;
};

/// Answers a VoteRequest.
struct VoteReply {
    /// Term of the request when granted, otherwise the voter's term.
    Term term { 0 };
    bool granted { false };
    bool preliminary { false };
    /// Whether the voter holds the whole log (HardState::joined).
    bool joined { false };

    friend bool operator==(const VoteReply&, const VoteReply&) = default;
};

/// Replicates entries of the leader; without entries it is a heartbeat.
template <typename Command> struct Append {
    Term term { 0 };
    Index previousIndex { 0 };
    Term previousTerm { 0 };
    Index commit { 0 };
    /// Receiver's incarnation in the last message that the leader received from it.
    std::uint64_t receiverIncarnation { 0 };
    std::vector<Entry<Command>> entries;

    friend bool operator==(const Append&, const Append&) = default;
};

/// Answers an Append or InstallSnapshot.
struct AppendReply {
    Term term { 0 };
    bool accepted { false };
    /// Accepted: the log matches the leader's up to here. Otherwise: the last index that may match.
    Index match { 0 };
    /// Longer one of the sync times of the voter's last two records.
    Duration syncTime {};

    friend bool operator==(const AppendReply&, const AppendReply&) = default;
};

/// Sends a snapshot to a voter whose next entry the leader's log no longer holds.
template <typename Snapshot> struct InstallSnapshot {
    Term term { 0 };
    LogSnapshot<Snapshot> snapshot;

    friend bool operator==(const InstallSnapshot&, const InstallSnapshot&) = default;
};

/// Notifies a voter that a later incarnation of it was seen, so its data folder is an old copy.
struct OutdatedIncarnation {
    std::uint64_t seen { 0 };

    friend bool operator==(const OutdatedIncarnation&, const OutdatedIncarnation&) = default;
};

/// Leadership transfer: asks a voter that holds the leader's whole log to start an election at once.
struct TakeLead {
    /// Term of the requesting leader.
    Term term { 0 };

    friend bool operator==(const TakeLead&, const TakeLead&) = default;
};

template <typename Command, typename Snapshot>
using Body = std::variant<VoteRequest, VoteReply, Append<Command>, AppendReply, InstallSnapshot<Snapshot>,
    OutdatedIncarnation, TakeLead>;

/// Message with its sender's incarnation.
template <typename Command, typename Snapshot> struct Message {
    std::uint64_t incarnation { 0 };
    Body<Command, Snapshot> body;

    friend bool operator==(const Message&, const Message&) = default;
};

} // namespace rosemarymill::agreement
