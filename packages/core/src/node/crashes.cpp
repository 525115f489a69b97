#include "call_handlers.hpp"

#include <algorithm>
#include <set>

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
        if (runsOn(call.attempt, crash) || runsOn(call.hedge, crash))
            report.fingerprints.push_back(call.request.fingerprint);
    }
    std::sort(report.fingerprints.begin(), report.fingerprints.end());
    report.fingerprints.erase(
        std::unique(report.fingerprints.begin(), report.fingerprints.end()), report.fingerprints.end());
    if (report.fingerprints.empty() || !quarantine::reduce(state.policy.quarantine, report, state.now))
        return;
    effects(WriteLog { LogLevel::Warning, "quarantine",
        "Server " + crash.server.text() + " may have crashed with " + std::to_string(report.fingerprints.size())
            + " requests in flight." });
    broadcast(state, report, effects);
    applyVerdicts(state, report, effects);
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
    if (quarantine::reduce(state.policy.quarantine, report, state.now))
        broadcast(state, report, effects);
}

void receive(State& state, const VmId&, const CrashReport& message, Effects& effects)
{
    if (!quarantine::reduce(state.policy.quarantine, message, state.now))
        return;
    if (message.kind == ReportKind::Crashed)
        applyVerdicts(state, message, effects);
    startWaitingCalls(state, effects);
}

} // namespace rosemarymill::node
