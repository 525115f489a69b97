#include <rosemarymill/core/base/hash.hpp>

#include <algorithm>

#include "placement_handlers.hpp"

namespace rosemarymill::node {

namespace {

const char* describe(membership::Change change)
{
    switch (change) {
    case membership::Change::Joined:
        return " joined.";
    case membership::Change::Resumed:
        return " is back and kept its state.";
    case membership::Change::Restarted:
        return " was restarted.";
    case membership::Change::Suspected:
        return " does not answer.";
    case membership::Change::Died:
        return " is lost.";
    case membership::Change::Left:
        return " has left.";
    }
    return " changed.";
}

void executeEffect(State&, membership::Send& it, Effects& effects)
{
    effects(SendPeer { it.to, it.address, std::move(it.message) });
}

void executeEffect(State&, membership::Changed& it, Effects& effects)
{
    const auto level = it.change == membership::Change::Died ? LogLevel::Warning : LogLevel::Info;
    effects(WriteLog { level, "membership", "Entry VM " + it.vm.text() + describe(it.change) });
}

void executeEffect(State&, membership::SelfPaused& it, Effects& effects)
{
    const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(it.gap).count();
    effects(
        WriteLog { LogLevel::Warning, "membership", "This process was paused for " + std::to_string(gap) + " ms." });
}

void executeEffect(State&, membership::RevisionSeen& it, Effects& effects)
{
    effects(WriteLog { LogLevel::Debug, "membership",
        "Entry VM " + it.from.text() + " holds revision " + std::to_string(it.revision.value) + "." });
}

void reduceMembership(State& state, const membership::Event& event, Effects& effects)
{
    membership::Effects produced;
    membership::reduce(state.membership, event, produced);
    for (auto& effect : produced)
        std::visit([&](auto& it) { executeEffect(state, it, effects); }, effect);
}

} // namespace

membership::Settings membershipSettings(const Settings& settings)
{
    membership::Settings it { settings.vm, settings.dataCentre, settings.peerAddress, settings.announceAddress,
        settings.bootId, settings.seed, {} };
    for (const auto& peer : settings.peers) {
        if (peer.vm != settings.vm)
            it.seeds.push_back({ peer.vm, peer.dataCentre, peer.address });
    }
    return it;
}

void startMembership(State& state, Effects& effects)
{
    // The addresses are final only after the process has bound its listeners.
    state.membership.settings.address = state.settings.peerAddress;
    state.membership.settings.announceAddress = state.settings.announceAddress;
    reduceMembership(state, membership::Started { state.now }, effects);
}

void advanceMembership(State& state, Effects& effects)
{
    auto& facts = state.membership.facts;
    facts.revision = state.configuration.revision;
    facts.load = {};
    facts.load.servers = static_cast<std::uint32_t>(state.servers.size());
    for (const auto& [id, record] : state.servers) {
        const auto& load = record.announcement.load;
        facts.load.running += load.running;
        facts.load.queued += load.queued;
        facts.load.freeSlots
            += record.announcement.maxRequests - std::min(record.announcement.maxRequests, load.running);
    }
    if (state.shuttingDown && !state.membership.leaving)
        reduceMembership(state, membership::Leaving { state.now }, effects);
    else
        reduceMembership(state, membership::Tick { state.now }, effects);
}

void receive(State& state, const VmId& from, const membership::Message& message, Effects& effects)
{
    reduceMembership(state, membership::Received { state.now, from, message }, effects);
    updateLeader(state, state.membership.facts.leader, state.membership.facts.fencing);
}

std::string peerAddress(const State& state, const VmId& vm)
{
    if (auto address = membership::addressOf(state.membership, vm); !address.empty())
        return address;
    const auto& peers = state.settings.peers;
    const auto it = std::find_if(peers.begin(), peers.end(), [&](const auto& peer) { return peer.vm == vm; });
    return it == peers.end() ? std::string {} : it->address;
}

VmId homeOf(const State& state, const ServerId& server)
{
    auto home = state.settings.vm;
    auto weight = rendezvousWeight(server.text(), home.text());
    for (const auto& [vm, member] : state.membership.members) {
        const auto candidate = rendezvousWeight(server.text(), vm.text());
        if (member.claim.status != membership::Status::Alive || candidate <= weight)
            continue;
        home = vm;
        weight = candidate;
    }
    return home;
}

} // namespace rosemarymill::node
