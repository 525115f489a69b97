#include <rosemarymill/core/quarantine/quarantine.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace rosemarymill::quarantine {

namespace {

void evictOne(State& state)
{
    const auto evictedBefore = [&](const auto& a, const auto& b) {
        const bool refusedA = a.second.crashes.size() >= state.crashesUntilRefusal;
        const bool refusedB = b.second.crashes.size() >= state.crashesUntilRefusal;
        return refusedA != refusedB ? refusedB : a.second.lastCrash < b.second.lastCrash;
    };
    state.records.erase(std::min_element(state.records.begin(), state.records.end(), evictedBefore));
}

bool addCrash(State& state, const CrashReport& report, Instant now)
{
    bool changed = false;
    for (const auto& fingerprint : report.fingerprints) {
        if (state.completions.contains(fingerprint))
            continue;
        if (!state.records.contains(fingerprint) && state.records.size() >= maxFingerprints)
            evictOne(state);
        auto& record = state.records[fingerprint];
        if (record.crashes.size() < maxCrashes)
            changed = record.crashes.insert(report.crash).second || changed;
        record.lastCrash = now;
    }
    if (changed)
        state.unconfirmed.try_emplace(report.crash, now);
    return changed;
}

bool retract(State& state, const Crash& crash)
{
    bool changed = state.unconfirmed.erase(crash) > 0;
    for (auto it = state.records.begin(); it != state.records.end();) {
        changed = it->second.crashes.erase(crash) > 0 || changed;
        it = it->second.crashes.empty() ? state.records.erase(it) : std::next(it);
    }
    return changed;
}

void rotateCompletions(Completions& completions, Instant now)
{
    if (now < completions.currentSince + completionWindow && completions.current.size() < maxFingerprints)
        return;
    completions.previous = std::exchange(completions.current, {});
    if (now >= completions.currentSince + 2 * completionWindow)
        completions.previous.clear();
    completions.currentSince = now;
}

bool clear(State& state, const CrashReport& report, Instant now)
{
    rotateCompletions(state.completions, now);
    bool changed = false;
    for (const auto& fingerprint : report.fingerprints) {
        state.completions.current.insert(fingerprint);
        changed = state.records.erase(fingerprint) > 0 || changed;
    }
    return changed;
}

} // namespace

std::string_view nameOf(ReportKind kind) noexcept
{
    switch (kind) {
    case ReportKind::Crashed:
        return "crashed";
    case ReportKind::Retracted:
        return "survived";
    case ReportKind::Cleared:
        return "cleared";
    case ReportKind::Unanswered:
        return "unanswered";
    case ReportKind::TrialWanted:
        return "trial wanted";
    case ReportKind::TrialGranted:
        return "trial granted";
    case ReportKind::PartSuspected:
        return "part suspected";
    case ReportKind::PartRefused:
        break;
    }
    return "part refused";
}

CrashReport partReport(ReportKind kind, std::span<const Fingerprint> parts)
{
    CrashReport report { kind, {}, {} };
    report.parts.reserve(parts.size());
    for (const auto& it : parts)
        report.parts.push_back({ it });
    return report;
}

bool reduce(State& state, const CrashReport& report, Instant now)
{
    switch (report.kind) {
    case ReportKind::Crashed:
        return addCrash(state, report, now);
    case ReportKind::Retracted:
        return retract(state, report.crash);
    case ReportKind::Cleared:
        return clear(state, report, now);
    case ReportKind::Unanswered:
    case ReportKind::TrialWanted:
    case ReportKind::TrialGranted:
    case ReportKind::PartSuspected:
    case ReportKind::PartRefused:
        break;
    }
    return false;
}

bool disproves(const State& state, const ServerId& server, const BootId& bootId, Instant now)
{
    const auto it = state.unconfirmed.find({ server, bootId });
    return it != state.unconfirmed.end() && now - it->second >= survivalDelay;
}

Verdict verdictOf(const State& state, const Fingerprint& fingerprint)
{
    const auto it = state.records.find(fingerprint);
    if (it == state.records.end())
        return Verdict::Normal;
    return it->second.crashes.size() >= state.crashesUntilRefusal ? Verdict::Refused : Verdict::Suspect;
}

std::vector<CrashReport> reportsOf(const State& state, std::span<const Fingerprint> fingerprints)
{
    std::map<Crash, std::vector<Fingerprint>> crashes;
    for (const auto& it : fingerprints) {
        const auto record = state.records.find(it);
        if (record == state.records.end())
            continue;
        for (const auto& crash : record->second.crashes)
            crashes[crash].push_back(it);
    }
    std::vector<CrashReport> reports;
    reports.reserve(crashes.size());
    for (auto& [crash, names] : crashes)
        reports.push_back({ ReportKind::Crashed, crash, std::move(names) });
    return reports;
}

std::vector<Fingerprint> expire(State& state, Instant now)
{
    std::vector<Fingerprint> expired;
    for (const auto& [fingerprint, record] : state.records) {
        if (now - record.lastCrash > recordRetention)
            expired.push_back(fingerprint);
    }
    for (const auto& it : expired)
        state.records.erase(it);
    std::erase_if(state.unconfirmed, [&](const auto& entry) { return now - entry.second > recordRetention; });
    rotateCompletions(state.completions, now);
    return expired;
}

} // namespace rosemarymill::quarantine
