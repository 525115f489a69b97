#include <rosemarymill/core/quarantine/coordinator.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace rosemarymill::quarantine {

void Coordinator::start(const StoredRecords& stored, Instant now)
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
        return clear(report.fingerprints, now, outcome);
    case ReportKind::Retracted:
        return retract(report.crash, now, outcome);
    case ReportKind::TrialWanted:
        return grantTrials(report.fingerprints, now, outcome);
    case ReportKind::TrialGranted:
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
}

void Coordinator::grantTrials(const std::vector<Fingerprint>& fingerprints, Instant now, Outcome& outcome)
{
    CrashReport granted { ReportKind::TrialGranted, {}, {} };
    for (const auto& it : fingerprints) {
        const auto record = m_state.records.find(it);
        if (record == m_state.records.end() || record->second.crashes.size() < m_state.crashesUntilRefusal)
            continue;
        auto& trials = m_trials[it];
        // Trials that an earlier coordinator granted are counted by their crashes.
        const auto before = std::max(trials.granted, record->second.crashes.size() - m_state.crashesUntilRefusal);
        auto delay = firstTrialDelay;
        for (std::size_t i = 0; i < before; ++i)
            delay *= trialDelayFactor;
        if (before >= maxTrials || now < std::max(trials.lastAt, record->second.lastCrash) + delay)
            continue;
        trials = { now, before + 1 };
        granted.fingerprints.push_back(it);
    }
    if (!granted.fingerprints.empty())
        outcome.reply.push_back(std::move(granted));
}

void Coordinator::addCrash(const CrashReport& report, Instant now, Outcome& outcome)
{
    if (!reduce(m_state, report, now))
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
        return retract(crash, now, outcome);
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

void Coordinator::retract(const Crash& crash, Instant now, Outcome& outcome)
{
    const bool stored = std::any_of(m_state.records.begin(), m_state.records.end(),
        [&](const auto& it) { return it.second.crashes.contains(crash) && isPublished(it.first); });
    const CrashReport report { ReportKind::Retracted, crash, {} };
    (void)reduce(m_state, report, now);
    m_counted.erase(crash);
    // Entry VMs also hold crashes that they detected themselves, of requests that were not published.
    outcome.publish.push_back(report);
    if (stored)
        outcome.store.push_back(report);
}

void Coordinator::announced(
    const ServerId& server, const BootId& bootId, std::uint64_t sequence, Instant now, Outcome& outcome)
{
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
        retract(crash, now, outcome);
}

void Coordinator::review(const std::function<bool(const Crash&)>& hasEnded, Instant now, Outcome& outcome)
{
    for (auto it = m_unanswered.begin(); it != m_unanswered.end();) {
        const bool ended = hasEnded(it->first);
        if (ended) {
            m_counted[it->first] = true;
            addCrash({ ReportKind::Crashed, it->first, it->second.fingerprints }, now, outcome);
        }
        it = ended || now >= it->second.at + confirmationTimeout ? m_unanswered.erase(it) : std::next(it);
    }
    std::erase_if(m_announcedAfter,
        [this](const auto& it) { return !m_state.unconfirmed.contains(it.first) && !m_unanswered.contains(it.first); });
    std::erase_if(m_counted, [this](const auto& it) { return !m_state.unconfirmed.contains(it.first); });
    std::erase_if(m_trials, [this](const auto& it) { return !m_state.records.contains(it.first); });
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
    return std::move(outcome.publish);
}

std::size_t Coordinator::refused() const
{
    return static_cast<std::size_t>(std::count_if(m_state.records.begin(), m_state.records.end(),
        [this](const auto& it) { return countedCrashes(it.second) >= m_state.crashesUntilRefusal; }));
}

} // namespace rosemarymill::quarantine
