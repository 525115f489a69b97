#include "call_handlers.hpp"

#include <algorithm>

namespace rosemarymill::node {

namespace {

/// Maximum time after a shutdown request that the process waits for ledger homes to commit answers and released keys.
constexpr Duration keyCommitTimeout = 10s;

admission::DigestEntry makeDigestEntry(const State& state, const backend::Announcement& it)
{
    admission::DigestEntry entry;
    entry.server = it.id;
    entry.bootId = it.bootId;
    entry.vm = it.vm;
    entry.address = it.address;
    entry.kind = it.kind;
    entry.service = it.service;
    entry.tokenMemory = it.tokenMemory;
    entry.leaving = it.leaving;
    // Without shared slots (baseline policy) each entry VM applies the announced limit on its own.
    entry.limit = it.cold ? it.coldRequests : it.maxRequests;
    if (state.settings.policy == PolicyChoice::Shipped)
        entry.limit = state.policy.home.servers.at(it.id).limit.value();
    return entry;
}

void drainStragglers(State& state)
{
    const auto mark = [&](const PoolTarget& target) {
        std::vector<ServerId> ids;
        for (const auto& it : poolServers(state, target))
            ids.push_back(it.server);
        routing::drainStragglers(state.policy.latency, ids, state.now);
    };
    for (const auto& model : state.configuration.manifest.models) {
        PoolTarget target;
        target.model = model.name;
        mark(target);
    }
    for (const auto& service : state.configuration.manifest.services) {
        PoolTarget target;
        target.target = call::Target::Service;
        target.service = service.name;
        mark(target);
    }
}

/// Reports a crash of each of this home's servers whose announcements timed out.
void reportLostServers(State& state, Effects& effects)
{
    std::vector<quarantine::Crash> lost;
    for (const auto& [id, slots] : state.policy.home.servers) {
        const auto it = state.policy.directory.find(id);
        const bool located = it != state.policy.directory.end() && it->second.home == state.settings.vm;
        if (located && state.now - slots.lastReceived >= admission::authorityTerm) {
            lost.push_back({ id, slots.bootId });
        }
    }
    for (const auto& crash : lost) {
        removeServer(state, crash.server);
        reportCrash(state, crash, effects);
    }
}

} // namespace

void serverAnnounced(State& state, const backend::Announcement& announcement, Effects& effects)
{
    auto& policy = state.policy;
    const auto existing = policy.home.servers.find(announcement.id);
    const bool first = existing == policy.home.servers.end();
    if (!first && existing->second.bootId != announcement.bootId)
        reportCrash(state, { announcement.id, existing->second.bootId }, effects);
    if (quarantine::disproves(policy.quarantine, announcement.id, announcement.bootId, state.now))
        reportRetracted(state, { announcement.id, announcement.bootId }, effects);
    const auto limitBefore = first ? 0 : existing->second.limit.value();
    admission::handleAnnouncement(policy.home, announcement, state.now, localPeers(state).empty());
    updateServerLocation(state, state.settings.vm, makeDigestEntry(state, announcement), state.now);
    const auto& slots = policy.home.servers.at(announcement.id);
    auto& lease = policy.leases[announcement.id];
    admission::setHome(lease, state.settings.vm, announcement.bootId, state.now);
    (void)renewLocalLease(state, announcement.id, lease);
    auto& cache = policy.caches[announcement.id];
    const auto& events = announcement.cacheEvents;
    if (events.sequence != 0)
        routing::observe(cache, events.sequence, events.added, events.removed);
    // Entry VMs must receive a lower limit or a server's shutdown before they start further calls.
    const bool urgent = announcement.leaving || slots.limit.value() < limitBefore;
    sendGrants(state, urgent, effects);
    sendHomeDigest(state, effects);
    startWaitingCalls(state, effects);
}

void advancePolicy(State& state, Effects& effects)
{
    auto& policy = state.policy;
    policy.budget.advance(state.now);
    quarantine::expire(policy.quarantine, state.now);
    (void)policy.parts.expire(state.now);
    reportLostServers(state, effects);
    admission::advance(policy.home, state.now, [&state](const AccountId& account) { return weightOf(state, account); });
    drainStragglers(state);
    refuseExpiredCalls(state, effects);
    startWaitingCalls(state, effects);
    hedgeLateCalls(state, effects);
    advanceLedger(state, effects);
    sendReports(state, effects);
    sendGrants(state, false, effects);
    sendHomeDigest(state, effects);
    sendCapacityDigests(state, effects);
    const bool committingKeys = hasUncommittedKeys(state) && policy.shutdown.requestedAt
        && state.now - *policy.shutdown.requestedAt < keyCommitTimeout;
    const auto open = state.calls.active.size() + (committingKeys ? 1 : 0);
    if (lifecycle::tryExit(policy.shutdown, state.now, open))
        effects(Exit {});
}

void handle(State& state, const ShutdownRequested&, Effects& effects)
{
    state.shuttingDown = true;
    lifecycle::requestShutdown(state.policy.shutdown, state.now);
    effects(WriteLog { LogLevel::Info, "lifecycle", "Shutdown requested. Finishing the calls in progress." });
    for (auto& [server, lease] : state.policy.leases) {
        if (lease.home != state.settings.vm && admission::releaseUnused(lease, state.now))
            lease.reportDue = true;
    }
    sendReports(state, effects);
}

} // namespace rosemarymill::node
