#include "call_handlers.hpp"

#include <algorithm>

namespace rosemarymill::node {

namespace {

/// Time after a shutdown request for which the process stays to record answers at a ledger home that does not reply.
constexpr Duration keySettleTimeout = 10s;

admission::DigestEntry describe(const State& state, const backend::Announcement& it)
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
    // Without shared slots every entry VM applies the announced limit by itself.
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

/// Reports the crash of own servers whose announcements have ended.
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
        forgetServer(state, crash.server);
        reportCrash(state, crash, effects);
    }
}

} // namespace

void serverAnnounced(State& state, const backend::Announcement& announcement, Effects& effects)
{
    auto& policy = state.policy;
    const auto known = policy.home.servers.find(announcement.id);
    const bool first = known == policy.home.servers.end();
    if (!first && known->second.bootId != announcement.bootId)
        reportCrash(state, { announcement.id, known->second.bootId }, effects);
    if (quarantine::disproves(policy.quarantine, announcement.id, announcement.bootId, state.now))
        reportSurvival(state, { announcement.id, announcement.bootId }, effects);
    const auto limitBefore = first ? 0 : known->second.limit.value();
    admission::handleAnnouncement(policy.home, announcement, state.now, localPeers(state).empty());
    locateServer(state, state.settings.vm, describe(state, announcement), state.now);
    const auto& slots = policy.home.servers.at(announcement.id);
    auto& lease = policy.leases[announcement.id];
    admission::setHome(lease, state.settings.vm, announcement.bootId, state.now);
    (void)exchangeLocally(state, announcement.id, lease);
    auto& cache = policy.caches[announcement.id];
    const auto& events = announcement.cacheEvents;
    if (events.sequence != 0)
        routing::observe(cache, events.sequence, events.added, events.removed);
    // A smaller limit and a server that leaves must reach the entry VMs before they start further calls.
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
    const bool settling = hasUnsettledKeys(state) && policy.shutdown.requestedAt
        && state.now - *policy.shutdown.requestedAt < keySettleTimeout;
    const auto open = state.calls.active.size() + (settling ? 1 : 0);
    if (lifecycle::tryExit(policy.shutdown, state.now, open))
        effects(Exit {});
}

void handle(State& state, const ShutdownRequested&, Effects& effects)
{
    state.shuttingDown = true;
    lifecycle::request(state.policy.shutdown, state.now);
    effects(WriteLog { LogLevel::Info, "lifecycle", "Shutdown requested. Finishing the calls in progress." });
    for (auto& [server, lease] : state.policy.leases) {
        if (lease.home != state.settings.vm && admission::releaseUnused(lease, state.now))
            lease.reportDue = true;
    }
    sendReports(state, effects);
}

} // namespace rosemarymill::node
