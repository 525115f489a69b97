#pragma once

#include <rosemarymill/core/quarantine/quarantine.hpp>

#include <cstddef>
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

/// Applies a report. Returns whether it changed anything. The result depends on nothing else, so that all replicas of
/// a log agree.
bool reduce(StoredRecords& records, const CrashReport& report);

} // namespace rosemarymill::quarantine
