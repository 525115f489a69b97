#pragma once

#include <rosemarymill/core/quarantine/quarantine.hpp>

#include <cstddef>
#include <vector>

/// Records of crashes that outlive every process.
namespace rosemarymill::quarantine {

/// Records that are stored at most, so that a snapshot of the log fits into one frame with the document. The ones that
/// changed longest ago are dropped first.
inline constexpr std::size_t maxStored = 64;

/// Crashes that are stored of one request at most: those until its refusal, and those of its trials.
inline constexpr std::size_t maxStoredCrashes = sharedRequestCrashLimit + maxTrials;

struct StoredRecord {
    Fingerprint fingerprint;
    std::vector<Crash> crashes;

    friend bool operator==(const StoredRecord&, const StoredRecord&) = default;
};

/// Records in the order of their last change.
using StoredRecords = std::vector<StoredRecord>;

/// Takes in a report. Returns whether it changed anything. The result depends on nothing else, so that all replicas of
/// a log agree.
bool reduce(StoredRecords& records, const CrashReport& report);

} // namespace rosemarymill::quarantine
