#include <rosemarymill/core/quarantine/crash_tracker.hpp>

#include <algorithm>
#include <utility>

namespace rosemarymill::quarantine {

void CrashTracker::report(ReportKind kind, const Crash& crash, const Fingerprint& fingerprint)
{
    const auto same = std::find_if(
        m_reports.begin(), m_reports.end(), [&](const auto& it) { return it.kind == kind && it.crash == crash; });
    if (same == m_reports.end())
        m_reports.push_back({ kind, crash, { fingerprint } });
    else if (std::find(same->fingerprints.begin(), same->fingerprints.end(), fingerprint) == same->fingerprints.end())
        same->fingerprints.push_back(fingerprint);
}

void CrashTracker::ended(ReportKind kind, const Crash& crash, const Fingerprint& fingerprint, Instant now)
{
    if (m_state.completions.contains(fingerprint))
        return;
    const CrashReport report { kind, crash, { fingerprint } };
    if (kind == ReportKind::Crashed && !reduce(m_state, report, now))
        return;
    ++(kind == ReportKind::Crashed ? m_counters.crashes : m_counters.unanswered);
    m_sent.push_back({ now, report });
    if (m_sent.size() > maxReports)
        m_sent.pop_front();
    this->report(kind, crash, fingerprint);
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
        const auto* record = find(it.report.fingerprints.front());
        const bool stillValid = it.report.kind == ReportKind::Unanswered
            ? !m_state.completions.contains(it.report.fingerprints.front())
            : record && record->crashes.contains(it.report.crash);
        if (stillValid && now < it.at + reportRepeatPeriod)
            reports.push_back(it.report);
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
}

std::size_t CrashTracker::refused() const
{
    return static_cast<std::size_t>(std::count_if(m_state.records.begin(), m_state.records.end(),
        [&](const auto& it) { return it.second.crashes.size() >= m_state.crashesUntilRefusal; }));
}

} // namespace rosemarymill::quarantine
