#include <rosemarymill/core/quarantine/quarantine.hpp>

#include <algorithm>
#include <iterator>

namespace rosemarymill::quarantine {

namespace {

void evictOne(State& state)
{
    const auto weaker = [](const auto& a, const auto& b) {
        const bool refusedA = a.second.crashes.size() >= crashesUntilRefusal;
        const bool refusedB = b.second.crashes.size() >= crashesUntilRefusal;
        return refusedA != refusedB ? refusedB : a.second.lastCrash < b.second.lastCrash;
    };
    state.records.erase(std::min_element(state.records.begin(), state.records.end(), weaker));
}

bool addCrash(State& state, const CrashReport& report, Instant now)
{
    bool changed = false;
    for (const auto& fingerprint : report.fingerprints) {
        if (!state.records.contains(fingerprint) && state.records.size() >= maxFingerprints)
            evictOne(state);
        auto& record = state.records[fingerprint];
        changed = record.crashes.insert(report.crash).second || changed;
        record.lastCrash = now;
    }
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

bool clear(State& state, const CrashReport& report)
{
    bool changed = false;
    for (const auto& fingerprint : report.fingerprints)
        changed = state.records.erase(fingerprint) > 0 || changed;
    return changed;
}

} // namespace

bool reduce(State& state, const CrashReport& report, Instant now)
{
    switch (report.kind) {
    case ReportKind::Crashed:
        return addCrash(state, report, now);
    case ReportKind::Retracted:
        return retract(state, report.crash);
    case ReportKind::Cleared:
        return clear(state, report);
    }
    return false;
}

bool disproves(const State& state, const ServerId& server, const BootId& bootId, Instant now)
{
    const auto it = state.unconfirmed.find({ server, bootId });
    return it != state.unconfirmed.end() && now - it->second >= survivalProof;
}

Verdict verdictOf(const State& state, const Fingerprint& fingerprint)
{
    const auto it = state.records.find(fingerprint);
    if (it == state.records.end())
        return Verdict::Normal;
    return it->second.crashes.size() >= crashesUntilRefusal ? Verdict::Refused : Verdict::Suspect;
}

void expire(State& state, Instant now)
{
    std::erase_if(state.records, [&](const auto& entry) { return now - entry.second.lastCrash > memoryTerm; });
    std::erase_if(state.unconfirmed, [&](const auto& entry) { return now - entry.second > memoryTerm; });
}

} // namespace rosemarymill::quarantine
