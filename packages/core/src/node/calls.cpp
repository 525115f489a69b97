#include "call_parts.hpp"

#include <utility>

namespace rosemarymill::node {

namespace {

using call::Outcome;
using call::RefusalReason;

KeyId keyOf(const Call& call) { return { call.account, call.request.idempotencyKey }; }

bool ownsKey(const Call& call) { return !call.idempotent && !call.resend; }

/// Ends the resends that waited for a call's answer.
template <typename Answer> void answerResends(State& state, const std::vector<CallId>& resends, const Answer& answer)
{
    for (const auto id : resends) {
        answer(id);
        state.calls.active.erase(id);
    }
}

/// Starts a call under its key, or answers it from the key's state. Returns whether the call runs.
bool beginKey(State& state, Call& call, Effects& effects)
{
    const auto key = keyOf(call);
    const auto id = call.id;
    const auto refuse = [&](RefusalReason reason, Outcome outcome, const char* detail) {
        state.calls.active.erase(id);
        effects(RefuseCall { id, { reason, outcome, {}, detail } });
        return false;
    };
    switch (state.calls.keys.begin(key, call.request.fingerprint, id)) {
    case KeyDecision::Run:
        return true;
    case KeyDecision::Wait:
        call.resend = true;
        return false;
    case KeyDecision::Answered:
        effects(FinishCall { id, state.calls.keys.find(key)->answer });
        state.calls.active.erase(id);
        return false;
    case KeyDecision::Unknown:
        return refuse(RefusalReason::AnswerLost, Outcome::Unknown, "the first call under this key may have run");
    case KeyDecision::Reused:
        return refuse(RefusalReason::KeyReused, Outcome::NotRun, "the idempotency key was used for another request");
    }
    return false;
}

Call makeCall(const CallArrived& event, const CallTerms& terms)
{
    Call call;
    call.id = event.call;
    call.account = terms.account;
    call.request = event.request;
    call.arrivedAt = event.now;
    if (terms.deadline > Duration::zero())
        call.deadline = event.now + terms.deadline;
    call.pool = poolKey(poolTarget(event.request));
    call.idempotent = terms.idempotent;
    call.weight = terms.weight;
    call.worth = terms.worth;
    return call;
}

} // namespace

void endCall(State& state, CallId id)
{
    const auto it = state.calls.active.find(id);
    auto& call = it->second;
    releaseAttempt(state, call, call.attempt);
    releaseAttempt(state, call, call.hedge);
    (void)removeWaiting(state, call);
    closeStream(state, id);
    state.calls.active.erase(it);
}

void refuseCall(State& state, CallId id, call::Refusal refusal, Effects& effects)
{
    const auto& call = state.calls.active.at(id);
    ++state.policy.counters.refusals[refusal.reason];
    std::vector<CallId> resends;
    if (ownsKey(call)) {
        const auto key = keyOf(call);
        resends = refusal.outcome == Outcome::NotRun ? state.calls.keys.abort(key) : state.calls.keys.lose(key);
    }
    answerResends(state, resends, [&](CallId resend) { effects(RefuseCall { resend, refusal }); });
    if (!call.callerGone)
        effects(RefuseCall { id, std::move(refusal) });
    endCall(state, id);
}

void finishCall(State& state, CallId id, AttemptId attempt, Effects& effects)
{
    const auto& call = state.calls.active.at(id);
    if (ownsKey(call)) {
        answerResends(state, state.calls.keys.answer(keyOf(call), attempt), [&](CallId resend) {
            effects(FinishCall { resend, attempt });
        });
    }
    if (call.callerGone)
        effects(CancelAttempt { attempt, false });
    else
        effects(FinishCall { id, attempt });
    endCall(state, id);
}

void requeue(State& state, Call& call) { enqueue(state, call); }

void handle(State& state, const CallArrived& event, Effects& effects)
{
    auto checked = checkCall(state, event.request);
    if (auto* refusal = std::get_if<call::Refusal>(&checked)) {
        ++state.policy.counters.refusals[refusal->reason];
        effects(RefuseCall { event.call, std::move(*refusal) });
        return;
    }
    auto& call = state.calls.active[event.call];
    call = makeCall(event, std::get<CallTerms>(checked));
    if (!call.idempotent && !beginKey(state, call, effects))
        return;
    if (auto refusal = checkQueue(state, call)) {
        refuseCall(state, event.call, std::move(*refusal), effects);
        return;
    }
    state.policy.budget.earn();
    ++state.calls.arrivals;
    enqueue(state, call);
    servePool(state, std::string(call.pool), effects);
}

void handle(State& state, const CallerGone& event, Effects& effects)
{
    const auto it = state.calls.active.find(event.call);
    if (it == state.calls.active.end())
        return;
    auto& call = it->second;
    if (call.resend) {
        state.calls.keys.forgetResend(keyOf(call), call.id);
        state.calls.active.erase(it);
        return;
    }
    if (ownsKey(call)) {
        const auto* key = state.calls.keys.find(keyOf(call));
        // A call that can have run is followed to its end, so that a resend under its key gets the answer.
        if (call.attempt || call.mayHaveRun || !key->resends.empty()) {
            call.callerGone = true;
            return;
        }
        (void)state.calls.keys.abort(keyOf(call));
    }
    for (const auto* attempt : { &call.attempt, &call.hedge }) {
        if (*attempt)
            effects(CancelAttempt { (*attempt)->id, true });
    }
    const auto pool = call.pool;
    endCall(state, event.call);
    servePool(state, pool, effects);
}

} // namespace rosemarymill::node
