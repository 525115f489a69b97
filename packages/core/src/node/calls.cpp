#include "parts.hpp"

#include <algorithm>

namespace rosemarymill::node {

namespace {

using call::Outcome;
using call::Refusal;
using call::RefusalReason;

const configuration::ClientAccount* findAccount(const State& state, const std::string& digest)
{
    for (const auto& account : state.configuration.manifest.accounts) {
        if (std::find(account.tokenDigests.begin(), account.tokenDigests.end(), digest) != account.tokenDigests.end())
            return &account;
    }
    return nullptr;
}

bool hasModel(const State& state, const call::Request& request)
{
    const auto& models = state.configuration.manifest.models;
    return std::any_of(models.begin(), models.end(), [&](const auto& it) {
        return it.name == request.model && (request.version.empty() || request.version == it.version);
    });
}

const configuration::Route* findRoute(const configuration::ServiceSpec& service, const call::Request& request)
{
    const configuration::Route* best = nullptr;
    for (const auto& route : service.routes) {
        if (route.method != request.method || !request.path.starts_with(route.pathPrefix))
            continue;
        if (!best || route.pathPrefix.size() > best->pathPrefix.size())
            best = &route;
    }
    return best;
}

std::optional<Refusal> checkService(const State& state, const call::Request& request)
{
    const auto& services = state.configuration.manifest.services;
    const auto it = std::find_if(
        services.begin(), services.end(), [&](const auto& service) { return service.name == request.service; });
    if (it == services.end())
        return Refusal { RefusalReason::UnknownService, Outcome::NotRun, {},
            "no service '" + request.service.text() + "'" };
    const auto* route = findRoute(*it, request);
    if (!route)
        return Refusal { RefusalReason::UnknownRoute, Outcome::NotRun, {},
            "no route for " + request.method + " " + request.path };
    return std::nullopt;
}

std::optional<Refusal> check(const State& state, const call::Request& request)
{
    if (state.shuttingDown)
        return Refusal { RefusalReason::ShuttingDown, Outcome::NotRun, 1s, "the entry VM is shutting down" };
    if (request.target == call::Target::Service)
        return checkService(state, request);
    if (!hasModel(state, request))
        return Refusal { RefusalReason::UnknownModel, Outcome::NotRun, {}, "no model '" + request.model.text() + "'" };
    return std::nullopt;
}

std::uint32_t limitOf(const backend::Announcement& it) { return it.cold ? it.coldRequests : it.maxRequests; }

bool hasFreeSlot(const State& state, const backend::Announcement& it)
{
    const auto entry = state.calls.inFlight.find(it.id);
    return !it.leaving && (entry == state.calls.inFlight.end() || entry->second < limitOf(it));
}

struct Choice {
    const backend::Announcement* server { nullptr };
    GroupId group;
    FencingNumber fencing;
};

Choice chooseGroup(const State& state, const call::Request& request)
{
    for (const auto& [id, group] : state.groups) {
        if (group.phase != placement::GroupPhase::Serving || group.model != request.model)
            continue;
        const auto it = state.servers.find(group.members.front().server);
        if (it != state.servers.end() && hasFreeSlot(state, it->second.announcement))
            return { &it->second.announcement, id, group.fencing };
    }
    return {};
}

Choice chooseServiceServer(const State& state, const call::Request& request)
{
    for (const auto& [id, record] : state.servers) {
        const auto& it = record.announcement;
        if (it.kind == backend::Kind::Service && it.service == request.service && hasFreeSlot(state, it))
            return { &it, {}, {} };
    }
    return {};
}

bool dispatch(State& state, Call& call, Effects& effects)
{
    const auto choice = call.request.target == call::Target::Model ? chooseGroup(state, call.request)
                                                                   : chooseServiceServer(state, call.request);
    if (!choice.server)
        return false;
    auto& calls = state.calls;
    calls.lastAttempt = calls.lastAttempt.next();
    call.attempt = Attempt { calls.lastAttempt, choice.server->id, false, false };
    calls.attempts.emplace(calls.lastAttempt, call.id);
    ++calls.inFlight[choice.server->id];
    effects(Dispatch { calls.lastAttempt, call.id, choice.server->id, choice.server->address, choice.group,
        choice.fencing, call.nextToken });
    return true;
}

Call* findByAttempt(State& state, AttemptId attempt)
{
    const auto it = state.calls.attempts.find(attempt);
    return it == state.calls.attempts.end() ? nullptr : &state.calls.active.at(it->second);
}

void refuse(State& state, CallId id, Refusal refusal, Effects& effects)
{
    effects(RefuseCall { id, std::move(refusal) });
    if (state.calls.active.contains(id))
        endCall(state, id);
}

} // namespace

void releaseAttempt(State& state, Call& call)
{
    if (!call.attempt)
        return;
    auto& calls = state.calls;
    if (const auto it = calls.inFlight.find(call.attempt->server); it != calls.inFlight.end() && --it->second == 0)
        calls.inFlight.erase(it);
    calls.attempts.erase(call.attempt->id);
    call.attempt.reset();
}

void requeue(State& state, Call& call, Effects& effects)
{
    state.calls.waiting.push_back(call.id);
    startWaitingCalls(state, effects);
}

void endCall(State& state, CallId id)
{
    const auto it = state.calls.active.find(id);
    releaseAttempt(state, it->second);
    closeStream(state, id);
    state.calls.waiting.remove(id);
    state.calls.active.erase(it);
}

void startWaitingCalls(State& state, Effects& effects)
{
    auto& waiting = state.calls.waiting;
    for (auto it = waiting.begin(); it != waiting.end();) {
        const bool started = dispatch(state, state.calls.active.at(*it), effects);
        it = started ? waiting.erase(it) : std::next(it);
    }
}

void refuseExpiredCalls(State& state, Effects& effects)
{
    const auto waiting = state.calls.waiting;
    for (const auto id : waiting) {
        const auto& call = state.calls.active.at(id);
        if (call.deadline && !call.responseBegun && state.now >= *call.deadline)
            refuse(state, id,
                { RefusalReason::DeadlineUnreachable, Outcome::NotRun, 1s, "no slot became free before the deadline" },
                effects);
    }
}

void handle(State& state, const CallArrived& event, Effects& effects)
{
    const auto* account = findAccount(state, event.request.tokenDigest);
    if (!account) {
        refuse(state, event.call,
            { RefusalReason::Unauthenticated, Outcome::NotRun, {}, "the bearer token belongs to no client account" },
            effects);
        return;
    }
    if (auto refusal = check(state, event.request)) {
        refuse(state, event.call, std::move(*refusal), effects);
        return;
    }
    Call call { event.call, account->id, event.request, event.now, std::nullopt, std::nullopt, false, 0 };
    if (event.request.deadline > Duration::zero())
        call.deadline = event.now + event.request.deadline;
    state.calls.active.emplace(event.call, std::move(call));
    state.calls.waiting.push_back(event.call);
    startWaitingCalls(state, effects);
}

void handle(State& state, const CallerGone& event, Effects& effects)
{
    const auto it = state.calls.active.find(event.call);
    if (it == state.calls.active.end())
        return;
    if (it->second.attempt)
        effects(CancelAttempt { it->second.attempt->id, true });
    endCall(state, event.call);
    startWaitingCalls(state, effects);
}

void handle(State& state, const ResponseStarted& event, Effects& effects)
{
    auto* call = findByAttempt(state, event.attempt);
    if (!call)
        return;
    call->attempt->responseStarted = true;
    call->attempt->stream = event.stream;
    if (event.stream)
        openStream(state, *call);
    if (event.stream && !call->responseBegun) {
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
    if (call->attempt->stream) {
        completeStream(state, *call, effects);
    } else {
        effects(FinishCall { call->id, event.attempt });
        endCall(state, call->id);
    }
    startWaitingCalls(state, effects);
}

void handle(State& state, const AttemptFailed& event, Effects& effects)
{
    auto* call = findByAttempt(state, event.attempt);
    if (!call)
        return;
    const auto outcome = event.requestSent ? Outcome::Unknown : Outcome::NotRun;
    refuse(state, call->id, { RefusalReason::ServerFailed, outcome, 1s, "the backend server failed" }, effects);
    startWaitingCalls(state, effects);
}

} // namespace rosemarymill::node
