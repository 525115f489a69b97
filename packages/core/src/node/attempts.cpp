#include "call_handlers.hpp"

#include <rosemarymill/core/retry/decision.hpp>

#include <algorithm>

namespace rosemarymill::node {

namespace {

using call::RefusalReason;

/// Lower bound on the weight of a new sample in the mean times of a pool.
constexpr double minimumSampleWeight = 0.05;

Call* findByAttempt(State& state, AttemptId attempt)
{
    const auto it = state.calls.attempts.find(attempt);
    return it == state.calls.attempts.end() ? nullptr : &state.calls.active.at(it->second);
}

/// The call's attempt with this id: the hedge or the primary attempt.
std::optional<Attempt>& attemptOf(Call& call, AttemptId id)
{
    return call.hedge && call.hedge->id == id ? call.hedge : call.attempt;
}

/// Makes this attempt of a hedged call the only one and cancels the other.
void resolveHedge(State& state, Call& call, AttemptId id, Effects& effects)
{
    if (!call.hedge)
        return;
    if (call.hedge->id == id)
        std::swap(call.attempt, call.hedge);
    effects(CancelAttempt { call.hedge->id, true });
    releaseAttempt(state, call, call.hedge);
}

void updateMean(double& mean, double sample, std::uint64_t samples)
{
    mean += std::max(minimumSampleWeight, 1.0 / static_cast<double>(samples + 1)) * (sample - mean);
}

void observeAnswer(State& state, const Call& call, const Attempt& attempt)
{
    auto& times = state.policy.times[call.pool];
    const auto finish = state.now - attempt.dispatchedAt;
    const auto first = attempt.responseStarted ? attempt.firstResponse : finish;
    if (call.idempotent)
        times.hedgeDelay.observe(finish);
    if (!attempt.dataCentre.empty())
        return;
    updateMean(times.firstResponse, static_cast<double>(first.count()), times.samples);
    updateMean(times.finish, static_cast<double>(finish.count()), times.samples);
    if (attempt.stream)
        updateMean(times.outputTokens, static_cast<double>(call.nextToken), times.samples);
    ++times.samples;
    routing::observe(state.policy.latency, attempt.server, first, finish);
    ++state.policy.leases.at(attempt.server).completed;
}

/// Retracts a reported crash of the server that has answered, and clears a suspect request that completed alone.
void clearSuspicion(State& state, const Call& call, const Attempt& attempt, Effects& effects)
{
    auto& records = state.policy.quarantine;
    if (!attempt.dataCentre.empty())
        return;
    reportSurvived(state, call, attempt, effects);
    if (records.records.empty())
        return;
    const quarantine::Crash crash { attempt.server, attempt.bootId };
    if (records.unconfirmed.contains(crash))
        reportRetracted(state, crash, effects);
    if (attempt.alone)
        reportCleared(state, call.request.fingerprint, effects);
}

/// After a failed connection: revokes the server's lease and sends it no calls for 1 s. After a lost connection:
/// reports a crash of the server.
void recordServerFailure(State& state, const Attempt& attempt, const AttemptFailed& event, Effects& effects)
{
    if (!attempt.dataCentre.empty())
        return;
    if (event.error == AttemptError::ConnectFailed) {
        auto& lease = state.policy.leases.at(attempt.server);
        admission::revoke(lease, state.now);
        lease.blockedUntil = state.now + admission::connectFailureBlock;
        lease.wantsExclusive = false;
    }
    if (event.error == AttemptError::ConnectionLost && event.requestSent)
        reportCrash(state, { attempt.server, attempt.bootId }, effects);
}

/// Refuses a call that will not be retried, with the reason and outcome for the caller.
void refuseFailedCall(State& state, const Call& call, const retry::Failure& failure, bool quarantined, Effects& effects)
{
    call::Refusal refusal { RefusalReason::ServerFailed, retry::outcomeOf(failure), 1s, "the backend server failed" };
    if (quarantined) {
        refusal.reason = RefusalReason::Quarantined;
        refusal.retryAfter = Duration::zero();
        refusal.detail = hasRefusedPart(state, call.request)
            ? refusedPartDetail
            : "the request was running on two backend servers when they crashed";
    } else if (refusal.outcome == call::Outcome::Unknown) {
        refusal.reason = RefusalReason::AnswerLost;
        refusal.retryAfter = Duration::zero();
        refusal.detail = "the answer was lost and the call may have run";
    }
    refuseCall(state, call.id, std::move(refusal), effects);
}

void retryOrRefuse(State& state, Call& call, const Attempt& failed, Effects& effects)
{
    retry::Failure failure;
    failure.idempotent = call.idempotent;
    failure.mayHaveRun = call.mayHaveRun;
    failure.answerBegun = call.responseBegun;
    // Only a stream is sent to the caller before the answer is complete.
    failure.stream = failed.stream || call.responseBegun;
    failure.attempts = call.attemptCount;
    failure.deadlinePassed = call.deadline && state.now >= *call.deadline;
    const bool quarantined
        = quarantine::verdictOf(state.policy.quarantine, call.request.fingerprint) == quarantine::Verdict::Refused;
    const auto decision = retry::decide(failure);
    const bool refusedPart = hasRefusedPart(state, call.request);
    if (quarantined || refusedPart || decision == retry::Decision::GiveUp) {
        refuseFailedCall(state, call, failure, quarantined || refusedPart, effects);
        return;
    }
    if (decision == retry::Decision::Retry) {
        if (!state.policy.budget.tryWithdraw()) {
            refuseFailedCall(state, call, failure, false, effects);
            return;
        }
        auto& counters = state.policy.counters;
        ++(call.responseBegun ? counters.resumes : counters.retries);
    }
    requeue(state, call);
}

} // namespace

void handle(State& state, const ResponseStarted& event, Effects& effects)
{
    auto* call = findByAttempt(state, event.attempt);
    if (!call)
        return;
    constexpr int statusOk = 200;
    if (call->responseBegun && (!event.stream || event.status != statusOk)) {
        effects(CancelAttempt { event.attempt, false });
        handle(state, AttemptFailed { event.now, event.attempt, AttemptError::MalformedResponse, true }, effects);
        return;
    }
    resolveHedge(state, *call, event.attempt, effects);
    auto& attempt = *call->attempt;
    attempt.responseStarted = true;
    attempt.firstResponse = event.now - attempt.dispatchedAt;
    attempt.stream = event.stream;
    call->mayHaveRun = true;
    if (attempt.dataCentre.empty()) {
        auto& lease = state.policy.leases.at(attempt.server);
        ++lease.started;
        lease.responseTime += attempt.firstResponse;
    }
    if (event.stream)
        openStream(state, *call);
    if (event.stream && !call->responseBegun && !call->callerDisconnected) {
        call->responseBegun = true;
        effects(BeginResponse { call->id, event.attempt, event.status, true });
    }
}

void handle(State& state, const TokenReceived& event, Effects& effects)
{
    auto* call = findByAttempt(state, event.attempt);
    if (call)
        receiveToken(state, *call, event, effects);
}

void handle(State& state, const ResponseFinished& event, Effects& effects)
{
    auto* call = findByAttempt(state, event.attempt);
    if (!call)
        return;
    resolveHedge(state, *call, event.attempt, effects);
    const auto id = call->id;
    const auto pool = call->pool;
    const auto& attempt = *call->attempt;
    observeAnswer(state, *call, attempt);
    clearSuspicion(state, *call, attempt, effects);
    if (attempt.stream)
        correctCost(state, *call, static_cast<double>(call->request.promptTokens + call->nextToken));
    if (attempt.stream)
        completeStream(state, *call, effects);
    else
        finishCall(state, id, event.attempt, event.answer, effects);
    servePool(state, pool, effects);
}

void handle(State& state, const AttemptFailed& event, Effects& effects)
{
    auto* call = findByAttempt(state, event.attempt);
    if (!call)
        return;
    call->mayHaveRun = call->mayHaveRun || event.requestSent || attemptOf(*call, event.attempt)->responseStarted;
    const auto pool = call->pool;
    const auto failed = *attemptOf(*call, event.attempt);
    // An attempt that never reached a server does not count towards the limit of attempts; the block after a failed
    // connection delays the next one.
    if (!event.requestSent && !failed.responseStarted)
        --call->attemptCount;
    recordServerFailure(state, failed, event, effects);
    releaseAttempt(state, *call, attemptOf(*call, event.attempt));
    if (!call->attempt && call->hedge)
        std::swap(call->attempt, call->hedge);
    if (!call->attempt)
        retryOrRefuse(state, *call, failed, effects);
    servePool(state, pool, effects);
}

} // namespace rosemarymill::node
