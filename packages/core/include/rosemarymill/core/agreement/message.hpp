#pragma once

#include <rosemarymill/core/agreement/record.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <variant>
#include <vector>

/// Messages between the voters of one log.
namespace rosemarymill::agreement {

/// Asks for a vote. A preliminary request changes no state and shows whether an election could succeed.
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

/// Carries entries from the leader, or none as a heartbeat.
template <typename Command> struct Append {
    Term term { 0 };
    Index previousIndex { 0 };
    Term previousTerm { 0 };
    Index commit { 0 };
    /// Incarnation of the receiver as the leader last saw it.
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
    /// Longest time that one of the voter's last records took to be synced.
    Duration syncTime {};

    friend bool operator==(const AppendReply&, const AppendReply&) = default;
};

/// Carries a snapshot to a voter whose next entry the leader no longer holds.
template <typename Snapshot> struct InstallSnapshot {
    Term term { 0 };
    LogSnapshot<Snapshot> snapshot;

    friend bool operator==(const InstallSnapshot&, const InstallSnapshot&) = default;
};

/// Tells a voter that a later incarnation of it was seen, so its data folder is an old copy.
struct OutdatedIncarnation {
    std::uint64_t seen { 0 };

    friend bool operator==(const OutdatedIncarnation&, const OutdatedIncarnation&) = default;
};

/// Asks a voter that holds the leader's whole log to stand for election at once.
struct TakeLead {
    /// Term of the leader that asks.
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
