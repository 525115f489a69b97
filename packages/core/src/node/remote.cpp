#include "call_handlers.hpp"

#include <rosemarymill/core/base/hash.hpp>

#include <algorithm>

namespace rosemarymill::node {

namespace {

/// Slots of one pool, summed over its servers. Servers of other homes count with the state last received.
routing::PoolCapacity capacityOf(State& state, const PoolTarget& target)
{
    routing::PoolCapacity capacity;
    capacity.pool = poolKey(target);
    for (const auto& it : poolServers(state, target)) {
        const auto slots = state.policy.home.servers.find(it.server);
        const bool own = it.local && slots != state.policy.home.servers.end();
        capacity.limit += own ? slots->second.limit.value() : it.located->entry.limit;
        capacity.free += own ? admission::freeSlots(slots->second, state.now) : it.lease->free;
        capacity.free += it.lease->slots - std::min(it.lease->slots, it.lease->inUse);
    }
    return capacity;
}

routing::CapacityDigest makeDigest(State& state)
{
    routing::CapacityDigest digest;
    digest.dataCentre = state.settings.dataCentre;
    digest.accepting = !state.policy.outOfServiceSet.dataCentres.contains(state.settings.dataCentre)
        && !state.policy.shutdown.requestedAt;
    const auto& manifest = state.configuration.manifest;
    for (const auto& model : manifest.models) {
        PoolTarget target;
        target.model = model.name;
        digest.pools.push_back(capacityOf(state, target));
        target.version = model.version;
        digest.pools.push_back(capacityOf(state, target));
    }
    for (const auto& service : manifest.services) {
        PoolTarget target;
        target.target = call::Target::Service;
        target.service = service.name;
        digest.pools.push_back(capacityOf(state, target));
    }
    return digest;
}

} // namespace

void receive(State& state, const VmId& from, const routing::CapacityDigest& message, Effects& effects)
{
    routing::receive(state.policy.remotes, message, from, state.now);
    startWaitingCalls(state, effects);
}

void sendCapacityDigests(State& state, Effects& effects)
{
    auto& policy = state.policy;
    if (state.now - policy.capacitySentAt < routing::digestInterval)
        return;
    std::map<DataCentreId, std::vector<VmId>> others;
    for (const auto& peer : state.settings.peers) {
        if (peer.dataCentre != state.settings.dataCentre)
            others[peer.dataCentre].push_back(peer.vm);
    }
    policy.capacitySentAt = state.now;
    ++policy.capacityRounds;
    if (others.empty())
        return;
    // Each round sends to one entry VM per data centre, in turn, so that the cost does not depend on their number.
    const auto digest = makeDigest(state);
    const auto offset = hash64(state.settings.vm.text());
    for (const auto& [dataCentre, vms] : others)
        sendTo(state, vms[(policy.capacityRounds + offset) % vms.size()], admission::Message { digest }, effects);
}

} // namespace rosemarymill::node
