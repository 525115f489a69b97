#pragma once

#include <rosemarymill/core/quarantine/quarantine.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

/// Crash records in the log, which survive the end of all processes.
namespace rosemarymill::quarantine {

/// Maximum number of stored records, so that a snapshot of the log fits into one frame with the document. The least
/// recently changed ones are dropped first.
inline constexpr std::size_t maxStoredRecords = 64;

/// Maximum number of crashes stored for one request: those until its refusal, and those of its trials.
inline constexpr std::size_t maxStoredCrashes = sharedRequestCrashLimit + maxTrials;

struct StoredRecord {
    Fingerprint fingerprint;
    std::vector<Crash> crashes;

    friend bool operator==(const StoredRecord&, const StoredRecord&) = default;
};

/// Records in the order of their last change.
using StoredRecords = std::vector<StoredRecord>;

/// Maximum number of refused parts that are stored. The least recently refused ones are dropped first.
inline constexpr std::size_t maxStoredParts = 64;

/// Part of a prompt that is refused.
struct StoredPart {
    Fingerprint part;
    /// Trials that were granted since it was refused.
    std::uint32_t trials { 0 };

    friend bool operator==(const StoredPart&, const StoredPart&) = default;
};

/// Refused parts in the order of their refusal.
using StoredParts = std::vector<StoredPart>;

/// Applies a report to the refused parts. Returns whether it changed anything, and depends on nothing else.
bool reduce(StoredParts& parts, const CrashReport& report);

/// Applies a report. Returns whether it changed anything. The result depends on nothing else, so that all replicas of
/// a log agree.
bool reduce(StoredRecords& records, const CrashReport& report);

} // namespace rosemarymill::quarantine
