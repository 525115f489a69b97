#pragma once

#include <rosemarymill/core/agreement/message.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <cstdint>

/// State that a replica keeps about the other voters and about its own unsynced records.
namespace rosemarymill::agreement::detail {

/// Leader's view of the replication progress of another voter or learner.
struct Peer {
    Index next { 1 };
    Index match { 0 };
    std::uint64_t incarnation { 0 };
    Instant lastReceivedAt { Duration::min() };
    Instant snapshotSentAt { Duration::min() };
    /// See AppendReply::syncTime.
    Duration syncTime {};
};

/// Record that was passed to the storage and is not synced yet.
struct PendingRecord {
    std::uint64_t sequence { 0 };
    Index lastIndex { 0 };
    Index commit { 0 };
    Instant since;
};

/// Message that is sent after the records it depends on are synced.
template <typename Command, typename Snapshot> struct HeldMessage {
    std::uint64_t sequence { 0 };
    VmId to;
    Body<Command, Snapshot> body;
};

} // namespace rosemarymill::agreement::detail
