#include "call_handlers.hpp"

namespace rosemarymill::node {

namespace {

Call* findCall(State& state, CallId id)
{
    const auto it = state.calls.active.find(id);
    return it == state.calls.active.end() ? nullptr : &it->second;
}

void executeEffect(State& state, const stream::Forward& effect, Effects& effects)
{
    auto& call = *findCall(state, effect.call);
    ++call.nextToken;
    effects(ForwardToken { call.id, call.attempt->id });
}

void executeEffect(State& state, const stream::SetFlow& effect, Effects& effects)
{
    const auto* call = findCall(state, effect.call);
    if (call && call->attempt)
        effects(SetReading { call->attempt->id, effect.enabled });
}

void executeEffect(State& state, const stream::Suspend& effect, Effects& effects)
{
    auto* call = findCall(state, effect.call);
    if (!call)
        return;
    call->nextToken = effect.next;
    effects(ParkStream { call->id });
    if (!call->attempt)
        return;
    effects(CancelAttempt { call->attempt->id, true });
    releaseAttempt(state, *call, call->attempt);
}

void executeEffect(State& state, const stream::Resume& effect, Effects& effects)
{
    auto* call = findCall(state, effect.call);
    if (!call)
        return;
    const auto pool = call->pool;
    requeue(state, *call);
    servePool(state, pool, effects);
}

void executeEffect(State& state, const stream::Finish& effect, Effects& effects)
{
    finishCall(state, effect.call, {}, std::nullopt, effects);
}

void executeEffect(State& state, const stream::Broken& effect, Effects& effects)
{
    const auto attempt = findCall(state, effect.call)->attempt->id;
    effects(CancelAttempt { attempt, true });
    handle(state, AttemptFailed { state.now, attempt, AttemptError::MalformedResponse, true }, effects);
}

void apply(State& state, const stream::Event& event, Effects& effects)
{
    // Executing an effect can apply a further event to the module, so the list is moved out of the state meanwhile.
    auto decided = std::move(state.streamEffects);
    decided.clear();
    stream::reduce(state.streams, event, decided);
    for (const auto& effect : decided)
        std::visit([&](const auto& it) { executeEffect(state, it, effects); }, effect);
    state.streamEffects = std::move(decided);
}

} // namespace

void handle(State& state, const CallerBacklogChanged& event, Effects& effects)
{
    apply(state, stream::Delivered { event.now, event.call, event.firstUnsentToken, event.bytes }, effects);
}

void openStream(State& state, const Call& call)
{
    if (!call.callerDisconnected)
        stream::reduce(state.streams, stream::Opened { state.now, call.id, call.nextToken }, state.streamEffects);
}

void receiveToken(State& state, const Call& call, const TokenReceived& event, Effects& effects)
{
    apply(state, stream::Received { event.now, call.id, event.index, event.bytes }, effects);
}

void completeStream(State& state, Call& call, Effects& effects)
{
    if (call.callerDisconnected) {
        finishCall(state, call.id, call.attempt->id, std::nullopt, effects);
        return;
    }
    releaseAttempt(state, call, call.attempt);
    apply(state, stream::Completed { state.now, call.id }, effects);
}

void closeStream(State& state, CallId call)
{
    stream::reduce(state.streams, stream::Closed { state.now, call }, state.streamEffects);
}

void suspendStalledStreams(State& state, Effects& effects) { apply(state, stream::TimePassed { state.now }, effects); }

} // namespace rosemarymill::node
