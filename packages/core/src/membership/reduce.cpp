#include <rosemarymill/core/base/hash.hpp>

#include "handlers.hpp"

namespace rosemarymill::membership {

namespace {

void handle(State&, const Gossip&, Instant, Effects&) { }

/// Answers missed during a pause of this process do not indicate a failure of the others: pending probes are dropped,
/// and the suspicion timeouts are extended by the pause.
void detectPause(State& state, Instant now, Effects& effects)
{
    const auto gap = now - state.lastTick;
    if (gap <= pauseThreshold)
        return;
    state.pending.clear();
    state.relayed.clear();
    for (auto& [vm, member] : state.members) {
        if (member.claim.status == Status::Suspect)
            member.changedAt += gap;
    }
    ++state.incarnation;
    state.pushDue = true;
    state.nextProbe = now;
    effects(SelfPaused { gap });
}

void oncePerSecond(State& state, Instant now, Effects& effects)
{
    if (now < state.nextProbe)
        return;
    state.nextProbe += probeInterval;
    if (state.nextProbe <= now)
        state.nextProbe = now + probeInterval;
    state.pushesLeft = pushesPerSecond;
    state.extraProbesLeft = extraProbesPerSecond;
    state.syncsLeft = syncsPerSecond;
    probeNext(state, now, effects);
    exchangeDigests(state, effects);
    std::erase_if(state.members, [&](const auto& entry) {
        return entry.second.claim.status >= Status::Dead && now - entry.second.changedAt > removedMemberRetention;
    });
}

void handle(State& state, const Started& event, Effects& effects)
{
    state.lastTick = event.now;
    state.lastReceived = event.now;
    state.nextRejoin = event.now + rejoinInterval;
    // The first probes of processes that start together are spread over the interval.
    state.nextProbe = event.now + Duration { state.random() % probeInterval.count() };
    for (const auto& seed : state.settings.seeds) {
        if (seed.dataCentre == state.settings.dataCentre)
            effects(Send { seed.vm, seed.address, Probe { makeHeader(state, seed.vm), 0 } });
    }
}

void handle(State& state, const Tick& event, Effects& effects)
{
    detectPause(state, event.now, effects);
    state.lastTick = event.now;
    if (state.leaving)
        return;
    updateProbes(state, event.now, effects);
    updateSuspects(state, event.now, effects);
    oncePerSecond(state, event.now, effects);
    rejoin(state, event.now, effects);
}

void handle(State& state, const Received& event, Effects& effects)
{
    if (state.leaving)
        return;
    state.lastReceived = event.now;
    applyHeader(state, headerOf(event.message), event.now, effects);
    std::visit([&](const auto& message) { handle(state, message, event.now, effects); }, event.message);
    syncViews(state, headerOf(event.message), event.now, effects);
}

void handle(State& state, const Leaving&, Effects& effects)
{
    state.leaving = true;
    for (const auto& vm : randomMembers(state, pushFanout, {}))
        effects(Send { vm, addressOf(state, vm), Gossip { makeHeader(state, vm) } });
}

} // namespace

State::State(Settings fixed)
    : settings(std::move(fixed))
    , random(static_cast<std::minstd_rand::result_type>(hash64(settings.vm.text(), settings.seed)))
{
}

const Header& headerOf(const Message& message) noexcept
{
    return *std::visit([](const auto& it) { return &it.header; }, message);
}

void reduce(State& state, const Event& event, Effects& effects)
{
    std::visit([&](const auto& it) { handle(state, it, effects); }, event);
    flushPush(state, effects);
}

bool isRunning(const State& state, const VmId& vm)
{
    if (vm == state.settings.vm)
        return !state.leaving;
    const auto it = state.members.find(vm);
    return it != state.members.end() && it->second.claim.status < Status::Dead;
}

std::vector<VmId> runningMembers(const State& state)
{
    std::vector<VmId> running;
    bool selfAdded = false;
    const auto addSelf = [&] {
        if (!selfAdded && !state.leaving)
            running.push_back(state.settings.vm);
        selfAdded = true;
    };
    for (const auto& [vm, member] : state.members) {
        if (vm > state.settings.vm)
            addSelf();
        if (member.claim.status < Status::Dead)
            running.push_back(vm);
    }
    addSelf();
    return running;
}

std::string addressOf(const State& state, const VmId& vm)
{
    if (vm == state.settings.vm)
        return state.settings.address;
    const auto it = state.members.find(vm);
    return it == state.members.end() ? std::string {} : it->second.claim.address;
}

} // namespace rosemarymill::membership
