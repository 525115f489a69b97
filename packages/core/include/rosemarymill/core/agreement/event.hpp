#pragma once

#include <rosemarymill/core/agreement/message.hpp>
#include <rosemarymill/core/base/sink.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <concepts>
#include <cstddef>
#include <string>
#include <variant>
#include <vector>

/// Events and effects of a replica.
namespace rosemarymill::agreement {

/// Application state driven by the log. `apply` must be deterministic: it depends on the state and the command only.
/// `estimatedBytes` estimates the encoded size of a command in bytes.
template <typename T>
concept StateMachine
    = requires(T machine, const T& constMachine, const typename T::Command& command, typename T::Snapshot snapshot)
{
    typename T::Answer;
    {
        machine.apply(Index {}, command)
        } -> std::same_as<typename T::Answer>;
    {
        constMachine.snapshot()
        } -> std::same_as<typename T::Snapshot>;
    machine.restore(std::move(snapshot));
    {
        T::estimatedBytes(command)
        } -> std::convertible_to<std::size_t>;
};

enum class Role { Follower, Candidate, Leader };

/// Settings of one replica.
struct Settings {
    VmId self;
    /// Founding voters, which bootstrap the log. Entries of the log replace them later. Empty for a process that has to
    /// receive the log first.
    std::vector<VmId> voters;
    std::uint64_t seed { 0 };
    /// Differs at each start of the process.
    std::uint64_t bootNonce { 0 };
    Duration heartbeat { 150ms };
    /// A follower that receives nothing from a leader for a random time between these limits starts an election. A
    /// leader that receives no replies from a majority for the lower limit steps down.
    Duration electionMin { 1s };
    Duration electionMax { 2s };
    /// Shortest time after which a candidate that was refused a vote tries again; the longest is `electionMin`. A split
    /// vote must not cost a whole election timeout.
    Duration retryMin { 250ms };
    /// Longest time from a start to the first election. The other voters refuse preliminary votes while they have a
    /// live leader, so this may be shorter than the election timeout. Zero means the election timeout.
    Duration firstElectionMax {};
    /// Time from the start of the voter that bootstraps the log to its first election, so that a new system need not
    /// wait for an election timeout. Zero means that this voter does not bootstrap the log.
    Duration bootstrapDelay {};
    /// Applied entries after which a snapshot is taken.
    std::uint64_t snapshotInterval { 256 };
    /// Estimated size in bytes of the applied commands after which a snapshot is taken. The log, a snapshot and its
    /// replacement have to fit several times into a disk of 128 MB and half the memory of a control VM.
    std::size_t snapshotBytes { 8 * 1024 * 1024 };
    /// Entries before a snapshot that are kept, so that a voter that missed few entries needs no snapshot.
    std::uint64_t trailingEntries { 64 };
    /// Estimated size in bytes of these entries: about that of the largest snapshot, which would be sent instead.
    std::size_t trailingBytes { 2 * 1024 * 1024 };
    /// Largest total weight of the entries in one Append, in bytes. A frame holds at most 1.375 MiB.
    std::size_t appendWeight { 256 * 1024 };
};

/// First event of a replica.
struct Started {
    Instant now;
};

/// Periodic timer, every 100 ms or more often.
struct Tick {
    Instant now;
};

template <typename Command, typename Snapshot> struct Received {
    Instant now;
    VmId from;
    Message<Command, Snapshot> message;
};

/// A command to replicate. Only the leader accepts it.
template <typename Command> struct Proposed {
    Instant now;
    Command command;
};

/// Sets the processes that the leader replicates to without counting them for the quorum.
struct SetLearners {
    Instant now;
    std::vector<VmId> learners;
};

/// Adds or removes one voter. Only a leader accepts it, once it has committed an entry of its term and while no earlier
/// change of the voters is uncommitted.
struct ChangeVoters {
    Instant now;
    std::vector<VmId> voters;
};

/// The leader asks another voter to take over and accepts no commands meanwhile. It continues to lead when no voter is
/// suitable or the chosen one does not take over in time.
struct TransferLeadership {
    Instant now;
};

/// All records up to this sequence number are synced.
struct Persisted {
    Instant now;
    std::uint64_t sequence { 0 };
};

/// The disk became full or writable again. Records that are not yet reported as persisted stay queued in the storage.
struct StorageChanged {
    Instant now;
    bool writable { true };
};

template <typename Command, typename Snapshot>
using Event = std::variant<Started, Tick, Received<Command, Snapshot>, Proposed<Command>, SetLearners, ChangeVoters,
    TransferLeadership, Persisted, StorageChanged>;

/// Sends a message to another voter. Delivery is not guaranteed.
template <typename Command, typename Snapshot> struct Send {
    VmId to;
    Message<Command, Snapshot> message;
};

/// Writes and syncs a record, in order of the sequence numbers.
template <typename Command, typename Snapshot> struct Persist {
    std::uint64_t sequence { 0 };
    Record<Command, Snapshot> record;
};

/// A committed command was applied; its entry is durable here.
template <typename Command, typename Answer> struct Applied {
    Index index { 0 };
    Term term { 0 };
    Command command;
    Answer answer;
};

/// The state machine was replaced by a snapshot of the leader.
struct Restored {
    Index index { 0 };
};

/// Role, leader or term changed.
struct RoleChanged {
    Role role { Role::Follower };
    Term term { 0 };
    /// Empty when the replica has no leader.
    VmId leader;
};

/// The voters in effect changed.
struct VotersChanged {
    std::vector<VmId> voters;
};

enum class ProposalError { NotLeader, StorageFull };

/// A proposed command was not accepted and was not appended to the log.
template <typename Command> struct Refused {
    ProposalError error { ProposalError::NotLeader };
    Command command;
};

/// Another voter has seen a later incarnation, so the data folder is an old copy. Unless a leader has confirmed the
/// current start, the voter must catch up before its votes count towards a majority again.
struct FolderOutdated {
    std::uint64_t seenIncarnation { 0 };
};

/// A committed entry differs from the leader's. The voter no longer votes or acknowledges, as with a damaged log.
struct Diverged {
    Index commit { 0 };
};

template <typename Command, typename Snapshot, typename Answer>
using Effect = std::variant<Send<Command, Snapshot>, Persist<Command, Snapshot>, Applied<Command, Answer>, Restored,
    RoleChanged, VotersChanged, Refused<Command>, FolderOutdated, Diverged>;

} // namespace rosemarymill::agreement
