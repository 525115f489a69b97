#include <rosemarymill/core/quarantine/crash_tracker.hpp>

#include <algorithm>
#include <utility>

namespace rosemarymill::quarantine {

CrashReport& CrashTracker::reportOf(ReportKind kind, const Crash& crash)
{
    const auto same = std::find_if(
        m_reports.begin(), m_reports.end(), [&](const auto& it) { return it.kind == kind && it.crash == crash; });
    return same != m_reports.end() ? *same : m_reports.emplace_back(CrashReport { kind, crash, {} });
}

void CrashTracker::report(ReportKind kind, const Crash& crash, const Fingerprint& fingerprint)
{
    auto& fingerprints = reportOf(kind, crash).fingerprints;
    if (std::find(fingerprints.begin(), fingerprints.end(), fingerprint) == fingerprints.end())
        fingerprints.push_back(fingerprint);
}

void CrashTracker::ended(ReportKind kind, const Ended& attempt, const Traits& traits, Instant now)
{
    const auto& fingerprint = traits.request;
    CrashReport own { kind, attempt.crash, {} };
    if (!m_state.completions.contains(fingerprint)
        && (kind != ReportKind::Crashed || reduce(m_state, { kind, attempt.crash, { fingerprint } }, now))) {
        ++(kind == ReportKind::Crashed ? m_counters.crashes : m_counters.unanswered);
        own.fingerprints.push_back(fingerprint);
        report(kind, attempt.crash, fingerprint);
    }
    if (!attempt.survived) {
        std::uint32_t position = 0;
        for (const auto& it : traits.parts)
            own.parts.push_back({ it, fingerprint.low, attempt.inFlight, position++ });
        m_counters.partExposures += own.parts.size();
        auto& parts = reportOf(kind, attempt.crash).parts;
        const auto n
            = std::min(own.parts.size(), maxExposuresPerReport - std::min(parts.size(), maxExposuresPerReport));
        parts.insert(parts.end(), own.parts.begin(), own.parts.begin() + static_cast<std::ptrdiff_t>(n));
    }
    if (own.fingerprints.empty() && own.parts.empty())
        return;
    m_sent.push_back({ now, std::move(own) });
    if (m_sent.size() > maxReports)
        m_sent.pop_front();
}

void CrashTracker::survived(std::span<const Fingerprint> parts, Instant since, Instant now)
{
    for (const auto& it : parts) {
        auto& last = m_survivals[it];
        last = std::max(last, since);
        if (const auto watched = m_watched.find(it); watched != m_watched.end())
            reportSurvival(it, watched->second, since, now);
    }
    if (m_survivals.size() >= maxFingerprints)
        m_earlierSurvivals = std::exchange(m_survivals, {});
}

void CrashTracker::reportSurvival(const Fingerprint& part, Watched& watched, Instant since, Instant now)
{
    if (watched.reportedAt != Instant {} && now < watched.reportedAt + survivalReportInterval && !watched.refused)
        return;
    watched.reportedAt = now;
    ++m_counters.partSurvivals;
    reportOf(ReportKind::Cleared, {}).parts.push_back({ part, 0, now - since, 0 });
}

const Instant* CrashTracker::lastSurvival(const Fingerprint& part) const
{
    for (const auto* survivals : { &m_survivals, &m_earlierSurvivals }) {
        if (const auto it = survivals->find(part); it != survivals->end())
            return &it->second;
    }
    return nullptr;
}

void CrashTracker::watch(const Fingerprint& part, bool refused, Instant now)
{
    if (m_watched.size() >= maxFingerprints && !m_watched.contains(part)) {
        const auto oldest = std::min_element(m_watched.begin(), m_watched.end(), [](const auto& a, const auto& b) {
            return std::pair(a.second.refused, a.second.since) < std::pair(b.second.refused, b.second.since);
        });
        unwatch(oldest->first);
    }
    auto& watched = m_watched[part];
    watched.since = now;
    watched.reportedAt = {};
    if (refused && !std::exchange(watched.refused, true))
        ++m_refusedParts;
    if (const auto* since = lastSurvival(part))
        reportSurvival(part, watched, *since, now);
}

void CrashTracker::unwatch(const Fingerprint& part)
{
    const auto it = m_watched.find(part);
    if (it == m_watched.end())
        return;
    m_refusedParts -= it->second.refused ? 1 : 0;
    m_watched.erase(it);
}

const Fingerprint* CrashTracker::refusedPart(const Traits& traits) const
{
    if (m_refusedParts == 0)
        return nullptr;
    const auto it = std::find_if(traits.parts.begin(), traits.parts.end(), [this](const auto& part) {
        const auto watched = m_watched.find(part);
        return watched != m_watched.end() && watched->second.refused;
    });
    return it == traits.parts.end() ? nullptr : &*it;
}

bool CrashTracker::holdsSuspectedPart(const Traits& traits) const
{
    return std::any_of(traits.parts.begin(), traits.parts.end(),
        [this](const auto& it) { return m_watched.contains(it) && !lastSurvival(it); });
}

void CrashTracker::completed(const Fingerprint& fingerprint, Instant now)
{
    if (reduce(m_state, { ReportKind::Cleared, {}, { fingerprint } }, now)) {
        ++m_counters.cleared;
        report(ReportKind::Cleared, {}, fingerprint);
    }
}

void CrashTracker::receive(const CrashReport& received, Instant now)
{
    if (reduce(m_state, received, now) && received.kind == ReportKind::Retracted)
        ++m_counters.survived;
    if (received.kind == ReportKind::TrialGranted) {
        for (const auto& it : received.fingerprints)
            m_trials[it] = now + trialTimeout;
    }
    for (const auto& it : received.parts) {
        if (received.kind == ReportKind::PartSuspected || received.kind == ReportKind::PartRefused)
            watch(it.part, received.kind == ReportKind::PartRefused, now);
        else if (received.kind == ReportKind::Cleared)
            unwatch(it.part);
    }
    if (received.kind != ReportKind::Crashed)
        return;
    for (const auto& it : received.fingerprints) {
        if (m_state.completions.contains(it))
            report(ReportKind::Cleared, {}, it);
    }
}

bool CrashTracker::takeTrial(const Fingerprint& fingerprint, Instant now)
{
    if (const auto it = m_trials.find(fingerprint); it != m_trials.end()) {
        const bool valid = now < it->second;
        m_trials.erase(it);
        if (valid)
            return true;
    }
    const auto [request, inserted] = m_trialRequests.try_emplace(fingerprint, now);
    if (inserted || now >= request->second + trialRequestInterval) {
        request->second = now;
        report(ReportKind::TrialWanted, {}, fingerprint);
    }
    return false;
}

const Record* CrashTracker::find(const Fingerprint& fingerprint) const
{
    const auto it = m_state.records.find(fingerprint);
    return it == m_state.records.end() ? nullptr : &it->second;
}

std::vector<CrashReport> CrashTracker::takeReports() { return std::exchange(m_reports, {}); }

std::vector<CrashReport> CrashTracker::recentReports(Instant now) const
{
    std::vector<CrashReport> reports;
    for (const auto& it : m_sent) {
        if (now >= it.at + reportRepeatPeriod)
            continue;
        auto report = it.report;
        report.age = now - it.at;
        std::erase_if(report.fingerprints, [&](const auto& fingerprint) {
            const auto* record = find(fingerprint);
            const bool stillValid = report.kind == ReportKind::Unanswered
                ? !m_state.completions.contains(fingerprint)
                : record && record->crashes.contains(report.crash);
            return !stillValid;
        });
        if (!report.fingerprints.empty() || !report.parts.empty())
            reports.push_back(std::move(report));
    }
    return reports;
}

void CrashTracker::expire(Instant now)
{
    (void)quarantine::expire(m_state, now);
    while (!m_sent.empty() && now >= m_sent.front().at + reportRepeatPeriod)
        m_sent.pop_front();
    std::erase_if(m_trialRequests, [&](const auto& it) { return now >= it.second + trialRequestInterval; });
    std::erase_if(m_trials, [&](const auto& it) { return now >= it.second; });
    std::erase_if(
        m_watched, [&](const auto& it) { return !it.second.refused && now >= it.second.since + watchPeriod; });
}

std::size_t CrashTracker::refused() const
{
    return static_cast<std::size_t>(std::count_if(m_state.records.begin(), m_state.records.end(),
        [&](const auto& it) { return it.second.crashes.size() >= m_state.crashesUntilRefusal; }));
}

} // namespace rosemarymill::quarantine
