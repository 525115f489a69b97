#include "call_handlers.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace rosemarymill::node {

namespace {

using quarantine::Crash;
using quarantine::CrashReport;
using quarantine::ReportKind;

/// Active calls sorted by id, because the order of an unordered map differs between library versions and effects must
/// not.
std::vector<CallId> activeCalls(const State& state)
{
    std::vector<CallId> ids;
    ids.reserve(state.calls.active.size());
    for (const auto& [id, call] : state.calls.active)
        ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    return ids;
}

bool runsOn(const std::optional<Attempt>& attempt, const Crash& crash)
{
    return attempt && attempt->server == crash.server && attempt->bootId == crash.bootId;
}

/// The leading blocks of the prompt, by which the quarantine knows its parts.
std::vector<Fingerprint> partsOf(const call::Request& request)
{
    std::vector<Fingerprint> parts;
    parts.reserve(request.prefixHashes.size());
    for (const auto hash : request.prefixHashes)
        parts.push_back({ hash, 0 });
    return parts;
}

/// Adds the parts of a call that was in flight at a crash, unless the server had been answering it for a while.
void addExposures(const State& state, const Call& call, const Attempt& attempt, CrashReport& report)
{
    const auto inFlight = state.now - attempt.dispatchedAt;
    if (attempt.responseStarted && inFlight > attempt.firstResponse + quarantine::survivalTime)
        return;
    std::uint32_t position = 0;
    for (const auto& it : partsOf(call.request)) {
        if (report.parts.size() < quarantine::maxExposuresPerReport)
            report.parts.push_back({ it, call.request.fingerprint.low, inFlight, position++ });
    }
}

/// Refuses the waiting calls with parts that crash servers, and drops the suspicion of other requests at their crashes.
void judgeParts(State& state, Effects& effects)
{
    (void)state.policy.parts.takeNewSuspects();
    (void)state.policy.parts.takeCrashesToVerify();
    for (const auto& verdict : state.policy.parts.judge()) {
        effects(WriteLog { LogLevel::Warning, "quarantine",
            "A part of prompts is refused: " + std::to_string(verdict.crashes.size()) + " servers crashed with it." });
        for (const auto& crash : verdict.crashes)
            (void)quarantine::reduce(state.policy.quarantine, { ReportKind::Retracted, crash, {} }, state.now);
        for (const auto id : activeCalls(state)) {
            const auto it = state.calls.active.find(id);
            if (it == state.calls.active.end() || it->second.attempt || it->second.keyPending
                || !hasRefusedPart(state, it->second.request))
                continue;
            const auto& call = it->second;
            const auto outcome = !call.mayHaveRun ? call::Outcome::NotRun
                : call.idempotent                 ? call::Outcome::Failed
                                                  : call::Outcome::Unknown;
            refuseCall(state, id, { call::RefusalReason::Quarantined, outcome, {}, refusedPartDetail }, effects);
        }
    }
}

/// Applies an own or received report to the evidence on parts. The crash counts until it is retracted.
void applyToParts(State& state, const CrashReport& report, Effects& effects)
{
    auto& parts = state.policy.parts;
    switch (report.kind) {
    case ReportKind::Crashed:
        parts.crashed(report.crash, report.parts, state.now - report.age);
        parts.confirm(report.crash);
        return judgeParts(state, effects);
    case ReportKind::Retracted:
        return parts.retract(report.crash);
    case ReportKind::Cleared:
        for (const auto& it : report.parts)
            (void)parts.survived(it.part, state.now - it.inFlight);
        return;
    case ReportKind::Unanswered:
    case ReportKind::TrialWanted:
    case ReportKind::TrialGranted:
    case ReportKind::PartSuspected:
    case ReportKind::PartRefused:
        return;
    }
}

void broadcast(State& state, const CrashReport& report, Effects& effects)
{
    for (const auto& peer : state.settings.peers) {
        if (peer.vm != state.settings.vm)
            sendTo(state, peer.vm, quarantine::Message { report }, effects);
    }
}

/// Cancels the attempts of a suspect request that runs beside other requests, and queues it again to run alone.
void requeueSuspect(State& state, Call& call, Effects& effects)
{
    if (!call.idempotent || !call.attempt || call.attempt->alone || !call.attempt->dataCentre.empty())
        return;
    if (call.responseBegun && !call.attempt->stream)
        return;
    call.mayHaveRun = true;
    for (auto* attempt : { &call.attempt, &call.hedge }) {
        if (*attempt) {
            effects(CancelAttempt { (*attempt)->id, true });
            releaseAttempt(state, call, *attempt);
        }
    }
    requeue(state, call);
}

/// Applies the quarantine's verdicts to calls with the reported requests: isolates those that run on other servers and
/// refuses waiting ones whose verdict is Refused.
void applyVerdicts(State& state, const CrashReport& report, Effects& effects)
{
    const auto& crash = report.crash;
    const std::set<Fingerprint> reported(report.fingerprints.begin(), report.fingerprints.end());
    for (const auto id : activeCalls(state)) {
        const auto it = state.calls.active.find(id);
        if (it == state.calls.active.end() || it->second.keyPending
            || !reported.contains(it->second.request.fingerprint))
            continue;
        auto& call = it->second;
        const auto verdict = quarantine::verdictOf(state.policy.quarantine, call.request.fingerprint);
        if (verdict == quarantine::Verdict::Normal)
            continue;
        if (call.attempt) {
            if (!runsOn(call.attempt, crash) && !runsOn(call.hedge, crash))
                requeueSuspect(state, call, effects);
            continue;
        }
        if (verdict == quarantine::Verdict::Refused) {
            const auto outcome = !call.mayHaveRun ? call::Outcome::NotRun
                : call.idempotent                 ? call::Outcome::Failed
                                                  : call::Outcome::Unknown;
            refuseCall(state, id,
                { call::RefusalReason::Quarantined, outcome, {},
                    "the request was running on two backend servers when they crashed" },
                effects);
        }
    }
}

} // namespace

void reportCrash(State& state, const Crash& crash, Effects& effects)
{
    CrashReport report { ReportKind::Crashed, crash, {} };
    for (const auto& [id, call] : state.calls.active) {
        for (const auto* attempt : { &call.attempt, &call.hedge }) {
            if (!runsOn(*attempt, crash))
                continue;
            report.fingerprints.push_back(call.request.fingerprint);
            addExposures(state, call, **attempt, report);
        }
    }
    // The order of an unordered map differs between library versions, and messages must not.
    std::sort(report.parts.begin(), report.parts.end(), [](const auto& a, const auto& b) {
        return std::tie(a.part, a.request, a.inFlight) < std::tie(b.part, b.request, b.inFlight);
    });
    std::sort(report.fingerprints.begin(), report.fingerprints.end());
    report.fingerprints.erase(
        std::unique(report.fingerprints.begin(), report.fingerprints.end()), report.fingerprints.end());
    if (report.fingerprints.empty()
        || (!quarantine::reduce(state.policy.quarantine, report, state.now) && report.parts.empty()))
        return;
    effects(WriteLog { LogLevel::Warning, "quarantine",
        "Server " + crash.server.text() + " may have crashed with " + std::to_string(report.fingerprints.size())
            + " requests in flight." });
    broadcast(state, report, effects);
    applyToParts(state, report, effects);
    applyVerdicts(state, report, effects);
}

bool hasRefusedPart(const State& state, const call::Request& request)
{
    if (state.policy.parts.size() == 0)
        return false;
    const auto parts = partsOf(request);
    return std::any_of(parts.begin(), parts.end(), [&](const auto& it) { return state.policy.parts.refuses(it); });
}

void reportSurvived(State& state, const Call& call, const Attempt& attempt, Effects& effects)
{
    if (state.policy.parts.size() == 0)
        return;
    CrashReport report { ReportKind::Cleared, {}, {} };
    const auto answering = state.now - attempt.dispatchedAt - attempt.firstResponse;
    for (const auto& it : partsOf(call.request)) {
        if (state.policy.parts.suspects(it) || state.policy.parts.refuses(it))
            report.parts.push_back({ it, call.request.fingerprint.low, answering, 0 });
    }
    if (report.parts.empty())
        return;
    broadcast(state, report, effects);
    applyToParts(state, report, effects);
}

void reportCleared(State& state, const Fingerprint& fingerprint, Effects& effects)
{
    const CrashReport report { ReportKind::Cleared, {}, { fingerprint } };
    if (quarantine::reduce(state.policy.quarantine, report, state.now))
        broadcast(state, report, effects);
}

void reportRetracted(State& state, const Crash& crash, Effects& effects)
{
    const CrashReport report { ReportKind::Retracted, crash, {} };
    applyToParts(state, report, effects);
    if (quarantine::reduce(state.policy.quarantine, report, state.now))
        broadcast(state, report, effects);
}

void receive(State& state, const VmId&, const CrashReport& message, Effects& effects)
{
    applyToParts(state, message, effects);
    if (!quarantine::reduce(state.policy.quarantine, message, state.now))
        return;
    if (message.kind == ReportKind::Crashed)
        applyVerdicts(state, message, effects);
    startWaitingCalls(state, effects);
}

} // namespace rosemarymill::node
