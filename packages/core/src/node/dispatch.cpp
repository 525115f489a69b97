#include "call_handlers.hpp"

#include <algorithm>

namespace rosemarymill::node {

namespace {

/// Least delay before a lookup is hedged; shorter ones are within scheduling jitter.
constexpr Duration minimumHedgeDelay = 5ms;

Attempt startAttempt(State& state, Call& call)
{
    auto& calls = state.calls;
    calls.lastAttempt = calls.lastAttempt.next();
    calls.attempts.emplace(calls.lastAttempt, call.id);
    ++call.attemptCount;
    Attempt attempt;
    attempt.id = calls.lastAttempt;
    attempt.dispatchedAt = state.now;
    return attempt;
}

Attempt startOnServer(State& state, Call& call, const PoolServer& server, bool alone, Effects& effects)
{
    auto attempt = startAttempt(state, call);
    attempt.server = server.server;
    attempt.bootId = server.located->entry.bootId;
    attempt.tokens = tokenNeed(call);
    attempt.alone = alone;
    admission::acquireSlot(*server.lease, call.account, attempt.tokens);
    effects(Dispatch { attempt.id, call.id, server.server, server.located->entry.address, server.group, server.fencing,
        call.nextToken, ownsKey(call) });
    return attempt;
}

bool isLate(const State& state, const Call& call)
{
    const bool lookup = call.request.target == call::Target::Service && call.idempotent;
    if (!lookup || !call.attempt || call.hedge || call.attempt->responseStarted || !call.attempt->dataCentre.empty())
        return false;
    const auto it = state.policy.times.find(call.pool);
    if (it == state.policy.times.end())
        return false;
    const auto delay = it->second.hedgeDelay.delay();
    return delay && state.now - call.attempt->dispatchedAt > std::max(*delay, minimumHedgeDelay);
}

} // namespace

void dispatchCall(State& state, Call& call, const PoolServer& server, bool alone, Effects& effects)
{
    call.attempt = startOnServer(state, call, server, alone, effects);
}

bool dispatchHedge(State& state, Call& call, Effects& effects)
{
    for (const auto& it : poolServers(state, poolTarget(call.request))) {
        if (it.server == call.attempt->server)
            continue;
        if (it.local)
            (void)renewLocalLease(state, it.server, *it.lease);
        if (!admission::canStart(*it.lease, tokenNeed(call), false, state.now) || !state.policy.budget.tryWithdraw())
            continue;
        call.hedge = startOnServer(state, call, it, false, effects);
        ++state.policy.counters.hedges;
        return true;
    }
    return false;
}

void hedgeLateCalls(State& state, Effects& effects)
{
    std::vector<CallId> late;
    for (const auto& [id, call] : state.calls.active) {
        if (isLate(state, call))
            late.push_back(id);
    }
    // Sorted, because the order of an unordered map differs between library versions and effects must not.
    std::sort(late.begin(), late.end());
    for (const auto id : late)
        (void)dispatchHedge(state, state.calls.active.at(id), effects);
}

void forwardCall(State& state, Call& call, const DataCentreId& dataCentre, Effects& effects)
{
    auto& remote = state.policy.remotes.dataCentres.at(dataCentre);
    const auto& peers = state.settings.peers;
    const auto peer = std::find_if(peers.begin(), peers.end(), [&](const auto& it) { return it.vm == remote.vm; });
    if (peer == peers.end())
        return;
    auto attempt = startAttempt(state, call);
    attempt.dataCentre = dataCentre;
    effects(ForwardCall { attempt.id, call.id, remote.vm, peer->address, call.nextToken, ownsKey(call) });
    routing::countSent(state.policy.remotes, dataCentre, call.pool);
    ++state.policy.counters.forwards;
    call.attempt = std::move(attempt);
}

void releaseAttempt(State& state, const Call& call, std::optional<Attempt>& attempt)
{
    if (!attempt)
        return;
    state.calls.attempts.erase(attempt->id);
    if (attempt->dataCentre.empty()) {
        auto& lease = state.policy.leases.at(attempt->server);
        admission::releaseSlot(lease, call.account, attempt->tokens);
        // No other entry VM can use the slot until a report returns it to its home.
        const bool idle = lease.waiting.empty() && lease.free == 0;
        if (idle && lease.home != state.settings.vm && admission::releaseUnused(lease, state.now))
            lease.reportDue = true;
    }
    attempt.reset();
}

} // namespace rosemarymill::node
