#include <rosemarymill/core/quarantine/stored_record.hpp>

#include <algorithm>

namespace rosemarymill::quarantine {

namespace {

bool addCrash(StoredRecords& records, const Fingerprint& fingerprint, const Crash& crash)
{
    auto position
        = std::find_if(records.begin(), records.end(), [&](const auto& it) { return it.fingerprint == fingerprint; });
    if (position == records.end()) {
        if (records.size() >= maxStoredRecords)
            records.erase(records.begin());
        position = records.insert(records.end(), StoredRecord { fingerprint, {} });
    }
    auto& crashes = position->crashes;
    if (crashes.size() >= maxStoredCrashes || std::find(crashes.begin(), crashes.end(), crash) != crashes.end())
        return false;
    crashes.push_back(crash);
    std::rotate(position, position + 1, records.end());
    return true;
}

} // namespace

bool reduce(StoredRecords& records, const CrashReport& report)
{
    const auto before = records.size();
    bool changed = false;
    switch (report.kind) {
    case ReportKind::Crashed:
        for (const auto& it : report.fingerprints)
            changed = addCrash(records, it, report.crash) || changed;
        return changed;
    case ReportKind::Retracted:
        for (auto& it : records)
            changed = std::erase(it.crashes, report.crash) > 0 || changed;
        std::erase_if(records, [](const auto& it) { return it.crashes.empty(); });
        return changed;
    case ReportKind::Cleared:
        std::erase_if(records, [&](const auto& it) {
            return std::find(report.fingerprints.begin(), report.fingerprints.end(), it.fingerprint)
                != report.fingerprints.end();
        });
        return records.size() != before;
    case ReportKind::Unanswered:
    case ReportKind::TrialWanted:
    case ReportKind::TrialGranted:
    case ReportKind::PartSuspected:
    case ReportKind::PartRefused:
        break;
    }
    return false;
}

bool reduce(StoredParts& parts, const CrashReport& report)
{
    bool changed = false;
    for (const auto& exposure : report.parts) {
        const auto it
            = std::find_if(parts.begin(), parts.end(), [&](const auto& part) { return part.part == exposure.part; });
        const bool stored = it != parts.end();
        if (report.kind == ReportKind::PartRefused && !stored) {
            if (parts.size() >= maxStoredParts)
                parts.erase(parts.begin());
            parts.push_back({ exposure.part });
            changed = true;
        } else if (report.kind == ReportKind::TrialGranted && stored) {
            ++it->trials;
            changed = true;
        } else if (report.kind == ReportKind::Cleared && stored) {
            parts.erase(it);
            changed = true;
        }
    }
    return changed;
}

} // namespace rosemarymill::quarantine
