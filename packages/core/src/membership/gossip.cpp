#include <rosemarymill/core/base/hash.hpp>

#include <algorithm>
#include <bit>

#include "handlers.hpp"

namespace rosemarymill::membership {

namespace {

/// Piggy-backing a claim three times the logarithm of the member count reaches every member with high probability.
std::uint32_t sendsFor(const State& state)
{
    return 3 * static_cast<std::uint32_t>(std::bit_width(state.members.size() + 1));
}

std::uint64_t hashOf(const Update& claim)
{
    return hash64(claim.vm.text(), claim.incarnation * 4 + static_cast<std::uint64_t>(claim.status));
}

std::uint64_t viewHash(const State& state) { return state.membersHash ^ hashOf(selfClaim(state)); }

/// Replaces a claim. The hash does not depend on the order and leaves out dead members, because a new member receives
/// no claims about them.
void replaceClaim(State& state, Member& member, const Update& update)
{
    if (member.claim.status < Status::Dead && !member.claim.vm.empty())
        state.membersHash ^= hashOf(member.claim);
    member.claim = update;
    if (update.status < Status::Dead)
        state.membersHash ^= hashOf(update);
}

void recordChange(State& state, Member& member, Instant now)
{
    if (now - state.lastChange > syncDelay)
        state.changingSince = now;
    state.lastChange = now;
    member.changedAt = now;
    member.suspectedLocally = false;
    member.sendsLeft = sendsFor(state);
    state.pushDue = true;
}

void refute(State& state, const Update& update)
{
    const bool otherBoot = update.status == Status::Alive && update.bootId != state.settings.bootId;
    if (update.incarnation < state.incarnation || (update.status == Status::Alive && !otherBoot))
        return;
    state.incarnation = update.incarnation + 1;
    state.pushDue = true;
}

bool supersedes(const Update& update, const Update& current)
{
    if (update.incarnation != current.incarnation)
        return update.incarnation > current.incarnation;
    return update.status > current.status;
}

std::optional<Change> changeOf(const Update& before, const Update& after)
{
    if (after.status == Status::Suspect)
        return Change::Suspected;
    if (after.status == Status::Dead)
        return Change::Died;
    if (after.status == Status::Left)
        return Change::Left;
    if (before.bootId != after.bootId)
        return Change::Restarted;
    return before.status == Status::Alive ? std::nullopt : std::optional { Change::Resumed };
}

void mergeFacts(State& state, const Header& header, Effects& effects)
{
    const auto& facts = header.facts;
    if (facts.fencing > state.facts.fencing) {
        state.facts.fencing = facts.fencing;
        state.facts.leader = facts.leader;
    }
    if (facts.revision > state.facts.revision)
        effects(RevisionSeen { header.sender.vm, header.sender.address, facts.revision });
}

} // namespace

Update selfClaim(const State& state)
{
    return { state.settings.vm, state.settings.address, state.settings.announceAddress, state.settings.bootId,
        state.incarnation, state.leaving ? Status::Left : Status::Alive };
}

Header makeHeader(State& state, const VmId& receiver)
{
    Header header { selfClaim(state), state.settings.dataCentre, state.facts, viewHash(state), {} };
    std::vector<Member*> due;
    for (auto& [vm, member] : state.members) {
        // A receiver whose status is not Alive always gets the claim about itself, so that it can refute it.
        if (vm == receiver && member.claim.status != Status::Alive)
            header.updates.push_back(member.claim);
        else if (vm != receiver && member.sendsLeft > 0)
            due.push_back(&member);
    }
    const auto count = std::min(due.size(), maxUpdatesPerMessage - header.updates.size());
    std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(count), due.end(),
        [](const Member* a, const Member* b) { return a->sendsLeft > b->sendsLeft; });
    for (std::size_t i = 0; i < count; ++i) {
        --due[i]->sendsLeft;
        header.updates.push_back(due[i]->claim);
    }
    return header;
}

void applyUpdate(State& state, const Update& update, Instant now, Effects& effects)
{
    if (update.vm == state.settings.vm) {
        refute(state, update);
        return;
    }
    const auto it = state.members.find(update.vm);
    if (it == state.members.end()) {
        if (update.status >= Status::Dead)
            return;
        auto& member = state.members[update.vm];
        replaceClaim(state, member, update);
        recordChange(state, member, now);
        effects(Changed { update.vm, Change::Joined });
        return;
    }
    auto& member = it->second;
    if (!supersedes(update, member.claim))
        return;
    const auto change = changeOf(member.claim, update);
    const bool sameStatus = member.claim.status == update.status;
    replaceClaim(state, member, update);
    // A higher incarnation alone is piggy-backed only; pushing it, too, would double the messages.
    if (change || !sameStatus)
        recordChange(state, member, now);
    else
        member.sendsLeft = sendsFor(state);
    if (change)
        effects(Changed { update.vm, *change });
}

void applyHeader(State& state, const Header& header, Instant now, Effects& effects)
{
    mergeFacts(state, header, effects);
    if (header.dataCentre != state.settings.dataCentre)
        return;
    applyUpdate(state, header.sender, now, effects);
    if (const auto it = state.members.find(header.sender.vm); it != state.members.end())
        it->second.facts = header.facts;
    for (const auto& update : header.updates)
        applyUpdate(state, update, now, effects);
}

std::vector<VmId> randomMembers(State& state, std::size_t count, const VmId& excluded)
{
    std::vector<VmId> running;
    for (const auto& [vm, member] : state.members) {
        if (member.claim.status == Status::Alive && vm != excluded)
            running.push_back(vm);
    }
    for (std::size_t i = 0; i < std::min(count, running.size()); ++i)
        std::swap(running[i], running[i + state.random() % (running.size() - i)]);
    running.resize(std::min(count, running.size()));
    return running;
}

void syncViews(State& state, const Header& header, Instant now, Effects& effects)
{
    if (header.dataCentre != state.settings.dataCentre || state.syncsLeft == 0 || header.viewHash == viewHash(state))
        return;
    const bool spreading = now - state.lastChange < syncDelay && now - state.changingSince < 2 * syncDelay;
    const auto it = state.members.find(header.sender.vm);
    const bool newMember = it != state.members.end() && it->second.changedAt == now;
    if (spreading && !newMember)
        return;
    --state.syncsLeft;
    const auto send = [&](std::vector<Update> updates) {
        auto message = makeHeader(state, header.sender.vm);
        message.updates = std::move(updates);
        effects(Send { header.sender.vm, header.sender.address, Gossip { std::move(message) } });
    };
    std::vector<Update> updates;
    for (const auto& [vm, member] : state.members) {
        updates.push_back(member.claim);
        if (updates.size() == maxUpdatesPerSync)
            send(std::exchange(updates, {}));
    }
    send(std::move(updates));
}

void flushPush(State& state, Effects& effects)
{
    if (!state.pushDue || state.pushesLeft == 0)
        return;
    state.pushDue = false;
    // A process that receives no messages may itself be disconnected, so it does not spread its suspicions.
    if (state.lastTick - state.lastReceived > probeInterval)
        return;
    --state.pushesLeft;
    for (const auto& vm : randomMembers(state, pushFanout, {}))
        effects(Send { vm, addressOf(state, vm), Gossip { makeHeader(state, vm) } });
}

} // namespace rosemarymill::membership
