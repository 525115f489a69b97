#pragma once

#include <rosemarymill/core/agreement/message.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <cstdint>

/// What a replica remembers of the other voters and of its own unsynced records.
namespace rosemarymill::agreement::detail {

/// Progress of another voter as the leader sees it.
struct Peer {
    Index next { 1 };
    Index match { 0 };
    std::uint64_t incarnation { 0 };
    Instant lastReceivedAt { Duration::min() };
    Instant snapshotSentAt { Duration::min() };
    /// See AppendReply::syncTime.
    Duration syncTime {};
};

/// Record that was handed to the storage and is not synced yet.
struct PendingRecord {
    std::uint64_t sequence { 0 };
    Index lastIndex { 0 };
    Index commit { 0 };
    Instant since;
};

/// Message that waits until the records it rests on are synced.
template <typename Command, typename Snapshot> struct HeldMessage {
    std::uint64_t sequence { 0 };
    VmId to;
    Body<Command, Snapshot> body;
};

} // namespace rosemarymill::agreement::detail
