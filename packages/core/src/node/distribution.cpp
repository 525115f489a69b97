#include "configuration.hpp"

#include <rosemarymill/core/base/hash.hpp>

#include <algorithm>
#include <set>

namespace rosemarymill::node {

namespace {

using configuration::Push;
using configuration::SenderReadiness;

/// Time between two requests for missing changes; a lost push is made up for within this time.
constexpr Duration pullInterval = 1s;

/// Processes per data centre that relay changes. The second one covers the failure of the first.
constexpr std::size_t relaysPerDataCentre = 2;

SenderReadiness senderReadinessOf(const State& state)
{
    const auto& log = state.configurationLog;
    if (leadsConfiguration(state) && log.replica->caughtUp())
        return SenderReadiness::Quorum;
    return log.readiness && log.readiness->ready() ? SenderReadiness::Ready : SenderReadiness::NotReady;
}

Push changesSince(const State& state, Revision from)
{
    const auto& table = state.configurationLog.table;
    return { from, table.revision(), table.changesSince(from), senderReadinessOf(state), false };
}

std::vector<VmId> relays(const State& state, const DataCentreId& dataCentre)
{
    std::vector<std::pair<std::uint64_t, VmId>> weighted;
    const auto add = [&](const VmId& vm) { weighted.emplace_back(rendezvousWeight(dataCentre.text(), vm.text()), vm); };
    if (state.settings.dataCentre == dataCentre)
        add(state.settings.vm);
    for (const auto& peer : state.settings.peers) {
        if (peer.dataCentre == dataCentre && peer.vm != state.settings.vm)
            add(peer.vm);
    }
    std::sort(weighted.begin(), weighted.end(), std::greater<> {});
    std::vector<VmId> chosen;
    for (std::size_t i = 0; i < std::min(relaysPerDataCentre, weighted.size()); ++i)
        chosen.push_back(weighted[i].second);
    return chosen;
}

void sendInDataCentre(State& state, const Push& push, Effects& effects)
{
    for (const auto& peer : state.settings.peers) {
        if (peer.dataCentre == state.settings.dataCentre && peer.vm != state.settings.vm)
            sendTo(state, peer.vm, configuration::Message { push }, effects);
    }
}

/// Processes to request changes from: those of the same data centre, and the voters.
std::vector<VmId> pullTargets(const State& state)
{
    std::set<VmId> targets(state.settings.configurationVoters.begin(), state.settings.configurationVoters.end());
    for (const auto& peer : state.settings.peers) {
        if (peer.dataCentre == state.settings.dataCentre)
            targets.insert(peer.vm);
    }
    targets.erase(state.settings.vm);
    return { targets.begin(), targets.end() };
}

} // namespace

void sendTo(const State& state, const VmId& to, PeerMessage message, Effects& effects)
{
    const auto& peers = state.settings.peers;
    const auto it = std::find_if(peers.begin(), peers.end(), [&](const auto& peer) { return peer.vm == to; });
    if (it != peers.end())
        effects(SendPeer { to, it->address, std::move(message) });
}

namespace {

/// Updates the set of data centres and VMs out of service that dispatch and placement use.
void applyTakeOuts(State& state)
{
    auto& outOfServiceSet = state.policy.outOfServiceSet;
    outOfServiceSet = {};
    for (const auto& it : state.configuration.takeOuts) {
        if (it.unit == configuration::TakeOutUnit::DataCentre)
            outOfServiceSet.dataCentres.insert(DataCentreId { it.name });
        else
            outOfServiceSet.vms.insert(VmId { it.name });
    }
}

} // namespace

void putInForce(State& state, Effects& effects)
{
    const auto& table = state.configurationLog.table;
    auto& active = state.configuration;
    if (table.revision() <= active.revision)
        return;
    const auto& general = table.general();
    active = { table.revision(), general.submissionId, general.digest, table.manifest(), table.takeOuts() };
    applyTakeOuts(state);
    effects(WriteLog {
        LogLevel::Info, "configuration", "Revision " + std::to_string(active.revision.value) + " in force." });
    updateGroups(state, effects);
}

void distribute(State& state, Revision from, Effects& effects)
{
    if (!leadsConfiguration(state))
        return;
    auto push = changesSince(state, from);
    push.relay = true;
    std::set<DataCentreId> dataCentres { state.settings.dataCentre };
    for (const auto& peer : state.settings.peers)
        dataCentres.insert(peer.dataCentre);
    for (const auto& dataCentre : dataCentres) {
        for (const auto& vm : relays(state, dataCentre)) {
            if (vm == state.settings.vm)
                sendInDataCentre(state, changesSince(state, from), effects);
            else
                sendTo(state, vm, configuration::Message { push }, effects);
        }
    }
}

void advancePulls(State& state, Effects& effects)
{
    auto& log = state.configurationLog;
    const bool hasReplica = log.replica && !log.replica->damaged();
    if (state.now < log.nextPull || (hasReplica && log.readiness->ready()))
        return;
    log.nextPull = state.now + pullInterval;
    const auto targets = pullTargets(state);
    const configuration::Message pull { configuration::Pull { log.table.revision() } };
    if (log.readiness->ready() && !targets.empty()) {
        sendTo(state, targets[log.pullTarget++ % targets.size()], pull, effects);
        return;
    }
    for (const auto& vm : targets)
        sendTo(state, vm, pull, effects);
}

void receive(State& state, const VmId& from, const Push& message, Effects& effects)
{
    auto& log = state.configurationLog;
    const bool hasReplica = log.replica && !log.replica->damaged();
    if (!log.readiness)
        return;
    if (!hasReplica && log.table.apply(message.from, message.to, message.changes))
        putInForce(state, effects);
    if (message.relay) {
        auto copy = message;
        copy.relay = false;
        copy.senderReadiness = senderReadinessOf(state);
        sendInDataCentre(state, copy, effects);
    }
    if (log.table.revision() < message.to) {
        if (!hasReplica)
            sendTo(state, from, configuration::Message { configuration::Pull { log.table.revision() } }, effects);
        return;
    }
    const auto& peers = state.settings.peers;
    const bool sameDataCentre = std::any_of(peers.begin(), peers.end(),
        [&](const auto& it) { return it.vm == from && it.dataCentre == state.settings.dataCentre; });
    if (!hasReplica)
        log.readiness->peerReported(from, sameDataCentre, message.senderReadiness);
}

void receive(State& state, const VmId& from, const configuration::Pull& message, Effects& effects)
{
    if (message.have <= state.configurationLog.table.revision())
        sendTo(state, from, configuration::Message { changesSince(state, message.have) }, effects);
}

} // namespace rosemarymill::node
