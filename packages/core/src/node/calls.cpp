#include "call_handlers.hpp"

#include <utility>

namespace rosemarymill::node {

namespace {

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
    const auto outcome = refusal.outcome;
    if (!call.callerDisconnected)
        effects(RefuseCall { id, std::move(refusal) });
    endReservation(state, call, outcome, effects);
    endCall(state, id);
}

void finishCall(
    State& state, CallId id, AttemptId attempt, const std::optional<ledger::Answer>& answer, Effects& effects)
{
    const auto& call = state.calls.active.at(id);
    if (call.callerDisconnected)
        effects(CancelAttempt { attempt, false });
    else
        effects(FinishCall { id, attempt });
    recordAnswer(state, call, answer, effects);
    endCall(state, id);
}

void admitCall(State& state, Call& call, Effects& effects)
{
    if (auto refusal = checkQueue(state, call)) {
        refuseCall(state, call.id, std::move(*refusal), effects);
        return;
    }
    state.policy.budget.deposit();
    ++state.calls.arrivals;
    enqueue(state, call);
    servePool(state, std::string(call.pool), effects);
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
    if (ownsKey(call))
        reserveKey(state, call, effects);
    else
        admitCall(state, call, effects);
}

void handle(State& state, const CallerGone& event, Effects& effects)
{
    const auto it = state.calls.active.find(event.call);
    if (it == state.calls.active.end())
        return;
    auto& call = it->second;
    if (ownsKey(call)) {
        // A call that may have run continues to its end, so that a resend under its key gets the answer.
        if (call.attempt || call.mayHaveRun) {
            call.callerDisconnected = true;
            return;
        }
        endReservation(state, call, call::Outcome::NotRun, effects);
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
