#include <rosemarymill/core/base/hash.hpp>

#include <algorithm>

#include "handlers.hpp"

namespace rosemarymill::membership {

namespace {

using Position = std::pair<std::uint64_t, VmId>;

Position positionOf(const VmId& vm) { return { hash64(vm.text()), vm }; }

/// First running member after a position in hash order, which wraps around.
std::optional<VmId> successorOf(const State& state, const VmId& vm)
{
    const auto start = positionOf(vm);
    std::optional<Position> first;
    std::optional<Position> next;
    for (const auto& [name, member] : state.members) {
        if (member.claim.status >= Status::Dead || name == vm)
            continue;
        auto position = positionOf(name);
        if (position > start && (!next || position < *next))
            next = position;
        if (!first || position < *first)
            first = std::move(position);
    }
    if (next)
        return next->second;
    return first ? std::optional { first->second } : std::nullopt;
}

void probeIndirectly(State& state, const PendingProbe& probe, Effects& effects)
{
    for (const auto& vm : randomMembers(state, indirectPeers, probe.target)) {
        effects(Send { vm, addressOf(state, vm),
            ProbeRequest { makeHeader(state, vm), probe.sequence, probe.target, addressOf(state, probe.target) } });
    }
}

void probeNextSuccessor(State& state, const VmId& unresponsive, Instant now, Effects& effects)
{
    const auto next = successorOf(state, unresponsive);
    if (!next || state.extraProbesLeft == 0)
        return;
    const bool probed = std::any_of(
        state.pending.begin(), state.pending.end(), [&](const auto& probe) { return probe.target == *next; });
    if (probed)
        return;
    --state.extraProbesLeft;
    startProbe(state, *next, addressOf(state, *next), now, effects);
}

void suspect(State& state, const VmId& vm, Instant now, Effects& effects)
{
    const auto it = state.members.find(vm);
    if (it == state.members.end() || it->second.claim.status != Status::Alive)
        return;
    auto claim = it->second.claim;
    claim.status = Status::Suspect;
    applyUpdate(state, claim, now, effects);
    it->second.suspectedLocally = true;
    it->second.lastProbe = now;
}

} // namespace

void startProbe(State& state, const VmId& target, const std::string& address, Instant now, Effects& effects)
{
    const auto sequence = ++state.lastSequence;
    state.pending.push_back({ sequence, target, now, false });
    effects(Send { target, address, Probe { makeHeader(state, target), sequence } });
}

void updateProbes(State& state, Instant now, Effects& effects)
{
    std::vector<PendingProbe> unresponsive;
    for (auto& probe : state.pending) {
        if (!probe.indirect && now - probe.startedAt >= directTimeout) {
            probe.indirect = true;
            unresponsive.push_back(probe);
        }
    }
    for (const auto& probe : unresponsive) {
        probeIndirectly(state, probe, effects);
        probeNextSuccessor(state, probe.target, now, effects);
    }
    std::vector<VmId> timedOut;
    std::erase_if(state.pending, [&](const auto& probe) {
        const bool expired = now - probe.startedAt >= indirectTimeout;
        if (expired)
            timedOut.push_back(probe.target);
        return expired;
    });
    for (const auto& vm : timedOut)
        suspect(state, vm, now, effects);
}

void updateSuspects(State& state, Instant now, Effects& effects)
{
    std::vector<VmId> dead;
    std::vector<VmId> repeat;
    for (auto& [vm, member] : state.members) {
        if (member.claim.status != Status::Suspect)
            continue;
        if (now - member.changedAt >= suspicionTimeout)
            dead.push_back(vm);
        else if (member.suspectedLocally && now - member.lastProbe >= suspectProbeInterval)
            repeat.push_back(vm);
    }
    for (const auto& vm : repeat) {
        state.members.at(vm).lastProbe = now;
        const PendingProbe probe { ++state.lastSequence, vm, now, true };
        effects(Send { vm, addressOf(state, vm), Probe { makeHeader(state, vm), probe.sequence } });
        probeIndirectly(state, probe, effects);
    }
    for (const auto& vm : dead) {
        auto claim = state.members.at(vm).claim;
        claim.status = Status::Dead;
        applyUpdate(state, claim, now, effects);
    }
}

void probeNext(State& state, Instant now, Effects& effects)
{
    if (const auto target = successorOf(state, state.settings.vm))
        startProbe(state, *target, addressOf(state, *target), now, effects);
}

void rejoin(State& state, Instant now, Effects& effects)
{
    if (now < state.nextRejoin)
        return;
    state.nextRejoin = now + rejoinInterval;
    std::vector<Seed> contacts;
    for (const auto& [vm, member] : state.members) {
        if (member.claim.status == Status::Dead)
            contacts.push_back({ vm, state.settings.dataCentre, member.claim.address });
    }
    for (const auto& seed : state.settings.seeds) {
        if (seed.dataCentre == state.settings.dataCentre && !state.members.contains(seed.vm)
            && seed.vm != state.settings.vm)
            contacts.push_back(seed);
    }
    // If no member or seed is missing, a random member is contacted, so that different views are reconciled.
    if (contacts.empty()) {
        for (const auto& vm : randomMembers(state, 1, {}))
            contacts.push_back({ vm, state.settings.dataCentre, addressOf(state, vm) });
    }
    if (contacts.empty())
        return;
    const auto& choice = contacts[state.random() % contacts.size()];
    effects(Send { choice.vm, choice.address, Probe { makeHeader(state, choice.vm), 0 } });
}

void handle(State& state, const Probe& message, Instant, Effects& effects)
{
    const auto& sender = message.header.sender;
    effects(
        Send { sender.vm, sender.address, Ack { makeHeader(state, sender.vm), message.sequence, state.settings.vm } });
}

void handle(State& state, const Ack& message, Instant, Effects& effects)
{
    std::erase_if(state.pending, [&](const auto& probe) { return probe.sequence == message.sequence; });
    const auto it = std::find_if(state.relayed.begin(), state.relayed.end(),
        [&](const auto& probe) { return probe.sequence == message.sequence; });
    if (it == state.relayed.end())
        return;
    auto header = makeHeader(state, it->origin);
    // The target's own claim is forwarded, too, because it may refute a suspicion.
    header.updates.push_back(message.header.sender);
    effects(Send { it->origin, it->originAddress, Ack { std::move(header), it->originSequence, message.subject } });
    state.relayed.erase(it);
}

void handle(State& state, const ProbeRequest& message, Instant, Effects& effects)
{
    if (state.relayed.size() >= maxRelayedProbes)
        state.relayed.erase(state.relayed.begin());
    const auto sequence = ++state.lastSequence;
    const auto& sender = message.header.sender;
    state.relayed.push_back({ sequence, message.target, sender.vm, sender.address, message.sequence });
    auto header = makeHeader(state, message.target);
    effects(Send { message.target, message.targetAddress, Probe { std::move(header), sequence } });
}

} // namespace rosemarymill::membership
