#include <rosemarymill/core/quarantine/coordinator.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace rosemarymill::quarantine {

void Coordinator::start(const StoredRecords& stored, const StoredParts& parts, Instant now)
{
    m_state = State { .crashesUntilRefusal = m_state.crashesUntilRefusal };
    m_unanswered.clear();
    m_announcedAfter.clear();
    m_trials.clear();
    m_crashesToProbe.clear();
    m_counted.clear();
    for (const auto& record : stored) {
        for (const auto& crash : record.crashes) {
            (void)reduce(m_state, { ReportKind::Crashed, crash, { record.fingerprint } }, now);
            m_counted[crash] = true;
        }
    }
    m_parts = {};
    m_isolation = CrashIsolation { m_announcementInterval };
    for (const auto& it : parts) {
        m_parts.refuse(it.part, now);
        m_trials[it.part] = { now, it.trials };
    }
}

bool Coordinator::counts(const Crash& crash) const
{
    const auto it = m_counted.find(crash);
    return it != m_counted.end() && it->second;
}

std::size_t Coordinator::countedCrashes(const Record& record) const
{
    return static_cast<std::size_t>(
        std::count_if(record.crashes.begin(), record.crashes.end(), [this](const auto& it) { return counts(it); }));
}

bool Coordinator::isPublished(const Fingerprint& fingerprint) const
{
    const auto it = m_state.records.find(fingerprint);
    return it != m_state.records.end() && countedCrashes(it->second) + 1 >= m_state.crashesUntilRefusal;
}

void Coordinator::publish(std::span<const Fingerprint> fingerprints, Outcome& outcome) const
{
    std::vector<Fingerprint> published;
    std::copy_if(fingerprints.begin(), fingerprints.end(), std::back_inserter(published),
        [this](const auto& it) { return isPublished(it); });
    for (auto& it : reportsOf(m_state, published)) {
        if (!counts(it.crash))
            continue;
        outcome.publish.push_back(it);
        outcome.store.push_back(std::move(it));
    }
}

void Coordinator::report(const CrashReport& report, Instant now, Outcome& outcome)
{
    switch (report.kind) {
    case ReportKind::Crashed:
        return addCrash(report, now, outcome);
    case ReportKind::Cleared:
        clear(report.fingerprints, now, outcome);
        return survived(report.parts, now, outcome);
    case ReportKind::Retracted:
        return retract(report.crash, outcome);
    case ReportKind::TrialWanted:
        return grantTrials(report.fingerprints, now, outcome);
    case ReportKind::TrialGranted:
    case ReportKind::PartSuspected:
    case ReportKind::PartRefused:
        return;
    case ReportKind::Unanswered:
        break;
    }
    if (!m_unanswered.contains(report.crash) && m_unanswered.size() >= maxUnansweredServers)
        return;
    auto& unanswered = m_unanswered[report.crash];
    unanswered.at = now;
    for (const auto& it : report.fingerprints) {
        auto& all = unanswered.fingerprints;
        if (all.size() < maxFingerprints && std::find(all.begin(), all.end(), it) == all.end())
            all.push_back(it);
    }
    auto& parts = unanswered.parts;
    const auto n = std::min(report.parts.size(), maxExposuresPerReport - std::min(parts.size(), maxExposuresPerReport));
    parts.insert(parts.end(), report.parts.begin(), report.parts.begin() + static_cast<std::ptrdiff_t>(n));
}

bool Coordinator::grantTrial(const Fingerprint& fingerprint, std::size_t before, Instant lastCrash, Instant now)
{
    auto& trials = m_trials[fingerprint];
    before = std::max(before, trials.granted);
    auto delay = firstTrialDelay;
    for (std::size_t i = 0; i < before; ++i)
        delay *= trialDelayFactor;
    if (before >= maxTrials || now < std::max(trials.lastAt, lastCrash) + delay)
        return false;
    trials = { now, before + 1 };
    return true;
}

void Coordinator::grantTrials(const std::vector<Fingerprint>& fingerprints, Instant now, Outcome& outcome)
{
    CrashReport granted { ReportKind::TrialGranted, {}, {} };
    std::vector<Fingerprint> grantedParts;
    for (const auto& it : fingerprints) {
        if (m_parts.refuses(it)) {
            if (grantTrial(it, 0, m_parts.lastCrashOf(it), now))
                grantedParts.push_back(it);
            continue;
        }
        const auto record = m_state.records.find(it);
        if (record == m_state.records.end() || record->second.crashes.size() < m_state.crashesUntilRefusal)
            continue;
        // Trials that an earlier coordinator granted are counted by their crashes.
        if (grantTrial(it, record->second.crashes.size() - m_state.crashesUntilRefusal, record->second.lastCrash, now))
            granted.fingerprints.push_back(it);
    }
    if (!grantedParts.empty())
        outcome.store.push_back(partReport(ReportKind::TrialGranted, grantedParts));
    granted.fingerprints.insert(granted.fingerprints.end(), grantedParts.begin(), grantedParts.end());
    if (!granted.fingerprints.empty())
        outcome.reply.push_back(std::move(granted));
}

void Coordinator::survived(std::span<const Exposure> parts, Instant now, Outcome& outcome)
{
    std::vector<Fingerprint> cleared;
    for (const auto& it : parts) {
        if (!m_parts.survived(it.part, now - it.inFlight))
            continue;
        m_trials.erase(it.part);
        cleared.push_back(it.part);
        ++m_counters.partsCleared;
    }
    publishClearedSuspects(outcome);
    if (cleared.empty())
        return;
    outcome.publish.push_back(partReport(ReportKind::Cleared, cleared));
    outcome.store.push_back(partReport(ReportKind::Cleared, cleared));
}

void Coordinator::publishClearedSuspects(Outcome& outcome)
{
    if (const auto cleared = m_parts.takeClearedSuspects(); !cleared.empty())
        outcome.publish.push_back(partReport(ReportKind::Cleared, cleared));
}

void Coordinator::judgeParts(Instant now, Outcome& outcome)
{
    for (const auto& it : m_parts.takeCrashesToVerify()) {
        if (counts(it))
            m_parts.confirm(it);
        else if (m_counted.try_emplace(it, false).second)
            m_crashesToProbe.push_back(it);
    }
    if (const auto suspects = m_parts.takeNewSuspects(); !suspects.empty()) {
        m_counters.partsSuspected += suspects.size();
        outcome.publish.push_back(partReport(ReportKind::PartSuspected, suspects));
    }
    publishClearedSuspects(outcome);
    auto verdicts = m_parts.judge();
    for (const auto& verdict : verdicts) {
        ++m_counters.partsRefused;
        m_trials[verdict.part] = { now, 0 };
        auto report = partReport(ReportKind::PartRefused, { &verdict.part, 1 });
        outcome.publish.push_back(report);
        outcome.store.push_back(std::move(report));
        // Other requests that were in flight at these crashes have not caused them.
        for (const auto& crash : verdict.crashes)
            retractForRequests(crash, outcome);
    }
    outcome.verdicts.insert(
        outcome.verdicts.end(), std::make_move_iterator(verdicts.begin()), std::make_move_iterator(verdicts.end()));
}

void Coordinator::addCrash(const CrashReport& report, Instant now, Outcome& outcome)
{
    m_parts.crashed(report.crash, report.parts, now - report.age);
    if (!report.parts.empty())
        m_isolation.crashed(report.crash, now - report.age);
    if (counts(report.crash))
        m_parts.confirm(report.crash);
    judgeParts(now, outcome);
    if (m_parts.isExplained(report.crash) || !reduce(m_state, report, now))
        return;
    for (const auto& it : report.fingerprints) {
        const auto record = m_state.records.find(it);
        if (record == m_state.records.end() || record->second.crashes.size() + 1 < m_state.crashesUntilRefusal)
            continue;
        for (const auto& crash : record->second.crashes) {
            if (m_counted.try_emplace(crash, false).second)
                m_crashesToProbe.push_back(crash);
        }
    }
    publish(report.fingerprints, outcome);
}

void Coordinator::applyProbeResult(const Crash& crash, bool alive, Instant now, Outcome& outcome)
{
    if (alive)
        return retract(crash, outcome);
    m_parts.confirm(crash);
    judgeParts(now, outcome);
    const auto it = m_counted.find(crash);
    if (it == m_counted.end() || std::exchange(it->second, true))
        return;
    std::vector<Fingerprint> affected;
    for (const auto& [fingerprint, record] : m_state.records) {
        if (record.crashes.contains(crash))
            affected.push_back(fingerprint);
    }
    publish(affected, outcome);
}

void Coordinator::clear(const std::vector<Fingerprint>& fingerprints, Instant now, Outcome& outcome)
{
    CrashReport published { ReportKind::Cleared, {}, {} };
    std::copy_if(fingerprints.begin(), fingerprints.end(), std::back_inserter(published.fingerprints),
        [this](const auto& it) { return isPublished(it); });
    (void)reduce(m_state, { ReportKind::Cleared, {}, fingerprints }, now);
    for (auto& [crash, unanswered] : m_unanswered) {
        std::erase_if(unanswered.fingerprints, [&](const auto& it) {
            return std::find(fingerprints.begin(), fingerprints.end(), it) != fingerprints.end();
        });
    }
    if (published.fingerprints.empty())
        return;
    outcome.publish.push_back(published);
    outcome.store.push_back(std::move(published));
}

void Coordinator::retract(const Crash& crash, Outcome& outcome)
{
    m_parts.retract(crash);
    publishClearedSuspects(outcome);
    m_counted.erase(crash);
    retractForRequests(crash, outcome);
}

void Coordinator::retractForRequests(const Crash& crash, Outcome& outcome)
{
    const bool stored = std::any_of(m_state.records.begin(), m_state.records.end(),
        [&](const auto& it) { return it.second.crashes.contains(crash) && isPublished(it.first); });
    const CrashReport report { ReportKind::Retracted, crash, {} };
    (void)reduce(m_state, report, {});
    // Entry VMs also hold crashes that they detected themselves, of requests that were not published.
    outcome.publish.push_back(report);
    if (stored)
        outcome.store.push_back(report);
}

void Coordinator::announced(const ServerId& server, const BootId& bootId, const FabricDomainId& domain,
    std::uint64_t sequence, Instant now, Outcome& outcome)
{
    m_isolation.announced(server, bootId, domain, now);
    const Crash crash { server, bootId };
    const bool suspected = m_state.unconfirmed.contains(crash);
    if (!suspected && !m_unanswered.contains(crash))
        return;
    const auto [first, inserted] = m_announcedAfter.try_emplace(crash, sequence);
    if (inserted || sequence <= first->second || (suspected && !disproves(m_state, server, bootId, now)))
        return;
    m_announcedAfter.erase(first);
    m_unanswered.erase(crash);
    if (suspected)
        retract(crash, outcome);
}

void Coordinator::review(const std::function<bool(const Crash&)>& hasEnded, Instant now, Outcome& outcome)
{
    for (auto it = m_unanswered.begin(); it != m_unanswered.end();) {
        const bool ended = hasEnded(it->first);
        if (ended) {
            m_counted[it->first] = true;
            addCrash({ ReportKind::Crashed, it->first, it->second.fingerprints, it->second.parts, now - it->second.at },
                now, outcome);
        }
        it = ended || now >= it->second.at + confirmationTimeout ? m_unanswered.erase(it) : std::next(it);
    }
    if (const auto isolated = m_isolation.takeIsolated(now); !isolated.empty()) {
        for (const auto& it : isolated)
            m_parts.isolate(it);
        judgeParts(now, outcome);
    }
    m_isolation.expire(now);
    std::erase_if(m_announcedAfter,
        [this](const auto& it) { return !m_state.unconfirmed.contains(it.first) && !m_unanswered.contains(it.first); });
    std::erase_if(m_counted,
        [this](const auto& it) { return !m_state.unconfirmed.contains(it.first) && !m_parts.contains(it.first); });
    std::erase_if(
        m_trials, [this](const auto& it) { return !m_state.records.contains(it.first) && !m_parts.refuses(it.first); });
    if (const auto parts = m_parts.expire(now); !parts.empty()) {
        outcome.publish.push_back(partReport(ReportKind::Cleared, parts));
        outcome.store.push_back(partReport(ReportKind::Cleared, parts));
    }
    publishClearedSuspects(outcome);
    if (auto expired = expire(m_state, now); !expired.empty())
        outcome.store.push_back({ ReportKind::Cleared, {}, std::move(expired) });
}

std::vector<Crash> Coordinator::takeCrashesToProbe() { return std::exchange(m_crashesToProbe, {}); }

std::vector<CrashReport> Coordinator::published() const
{
    std::vector<Fingerprint> all;
    for (const auto& [fingerprint, record] : m_state.records)
        all.push_back(fingerprint);
    Outcome outcome;
    publish(all, outcome);
    if (const auto suspects = m_parts.suspects(); !suspects.empty())
        outcome.publish.push_back(partReport(ReportKind::PartSuspected, suspects));
    if (const auto refused = m_parts.refused(); !refused.empty())
        outcome.publish.push_back(partReport(ReportKind::PartRefused, refused));
    return std::move(outcome.publish);
}

std::size_t Coordinator::refused() const
{
    return static_cast<std::size_t>(std::count_if(m_state.records.begin(), m_state.records.end(),
        [this](const auto& it) { return countedCrashes(it.second) >= m_state.crashesUntilRefusal; }));
}

} // namespace rosemarymill::quarantine
