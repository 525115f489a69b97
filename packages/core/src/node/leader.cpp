#include <algorithm>

#include "placement_handlers.hpp"

namespace rosemarymill::node {

namespace {

/// Time from acquiring the lease to the first decisions. By then all homes have reported their servers: within one
/// announcement interval of the servers and one message of the homes.
constexpr Duration takeoverDelay = backend::announcementInterval + 100ms;
/// The same when some servers do not check fencing numbers: the previous leader's orders to them must have arrived or
/// timed out by then.
constexpr Duration unfencedTakeoverDelay = 2 * backend::announcementInterval;
/// Time after a change of the groups during which an entry VM's digest may not reflect the change yet.
constexpr Duration updateGracePeriod = 2s;

placement::PlannerInput plannerInput(const State& state)
{
    placement::PlannerInput input;
    input.self = state.settings.vm;
    input.dataCentre = state.settings.dataCentre;
    input.manifest = &state.configuration.manifest;
    const auto& out = state.policy.outOfServiceSet;
    input.dataCentreOutOfService = out.dataCentres.contains(state.settings.dataCentre);
    input.outOfServiceVms = out.vms;
    return input;
}

void sendToMembers(State& state, const placement::GroupUpdate& update, Effects& effects)
{
    for (const auto& [vm, member] : state.membership.members) {
        if (member.claim.status < membership::Status::Dead)
            effects(SendPeer { vm, member.claim.address, placement::Message { update } });
    }
}

placement::GroupUpdate fullUpdate(const State& state)
{
    placement::GroupUpdate update { state.placement.planner.fencing, true, {}, {} };
    for (const auto& [id, group] : state.groups)
        update.changed.push_back(group);
    return update;
}

void sendUpdate(State& state, Effects& effects)
{
    auto& due = state.placement.update;
    if (due.changed.empty() && due.removed.empty())
        return;
    placement::GroupUpdate update { state.placement.planner.fencing, false, {}, std::move(due.removed) };
    for (const auto id : due.changed) {
        if (const auto it = state.groups.find(id); it != state.groups.end())
            update.changed.push_back(it->second);
    }
    due = {};
    due.lastChange = state.now;
    sendToMembers(state, update, effects);
}

void executeEffect(State& state, placement::LeaseSend& it, Effects& effects)
{
    auto message = std::visit([](auto& part) { return placement::Message { std::move(part) }; }, it.message);
    if (it.to != state.settings.vm) {
        if (auto address = peerAddress(state, it.to); !address.empty())
            effects(SendPeer { it.to, std::move(address), std::move(message) });
        return;
    }
    // The process is its own acceptor.
    std::visit(
        [&](auto& part) {
            using Part = std::decay_t<decltype(part)>;
            if constexpr (std::is_constructible_v<placement::LeaseMessage, Part>)
                reduceLease(state, placement::LeaseReceived { state.now, it.to, part }, effects);
        },
        message);
}

void executeEffect(State& state, placement::LeaseAcquired& it, Effects& effects)
{
    effects(WriteLog { LogLevel::Info, "placement",
        "Holds the placement lease under number " + std::to_string(it.fencing.value) + "." });
    auto& own = state.placement;
    own.leader = { state.settings.vm, it.fencing };
    state.membership.facts.leader = state.settings.vm;
    state.membership.facts.fencing = it.fencing;
    if (own.planner.acting) {
        // The settings name no acceptors: only the fencing number rose, and the planner stays active.
        reducePlanner(state, placement::ActingStarted { state.now, it.fencing, {} }, effects);
        return;
    }
    own.planner = {};
    own.planner.fencing = it.fencing;
    own.digests.clear();
    own.acquiredAt = state.now;
    own.report.full = true;
    // An update without groups announces the new leader, which makes the homes send full reports.
    sendToMembers(state, { it.fencing, false, {}, {} }, effects);
}

void executeEffect(State& state, placement::LeaseLost&, Effects& effects)
{
    effects(WriteLog { LogLevel::Warning, "placement", "Lost the placement lease." });
    state.placement.planner = {};
    state.placement.acquiredAt.reset();
    state.placement.digests.clear();
    state.membership.dataCentreLoad.reset();
}

void executeEffect(State& state, placement::GiveOrder& it, Effects& effects)
{
    const bool withoutAcceptors = state.settings.placementAcceptors.empty();
    const auto notAfter = withoutAcceptors ? Instant::max() : state.placement.lease.candidate.validUntil;
    effects(SendOrder { it.server, it.address, std::move(it.order), notAfter });
}

void executeEffect(State& state, placement::GroupChanged& it, Effects&)
{
    state.placement.update.changed.insert(it.group.id);
    state.groups.insert_or_assign(it.group.id, std::move(it.group));
}

void executeEffect(State& state, placement::GroupRemoved& it, Effects&)
{
    state.placement.update.removed.push_back(it.group);
    state.groups.erase(it.group);
}

void executeEffect(State&, placement::PlannerNote& it, Effects& effects)
{
    effects(WriteLog { LogLevel::Info, "placement", std::move(it.text) });
}

/// Whether all reports that the planner needs have had time to arrive. Without acceptors there is no other home, so the
/// planner starts at once.
bool hasTakeoverDelayPassed(const State& state)
{
    if (state.settings.placementAcceptors.empty())
        return true;
    const auto waited = state.now - *state.placement.acquiredAt;
    const auto& servers = state.placement.planner.servers;
    const bool allCheck = std::all_of(
        servers.begin(), servers.end(), [](const auto& it) { return it.second.announcement.checksFencing; });
    return waited >= (allCheck ? takeoverDelay : unfencedTakeoverDelay);
}

void activatePlanner(State& state, Effects& effects)
{
    auto& own = state.placement;
    own.acquiredAt.reset();
    const auto previous = std::exchange(state.groups, {});
    reducePlanner(state, placement::ActingStarted { state.now, own.planner.fencing, previous }, effects);
    own.update = {};
    own.update.lastChange = state.now;
    sendToMembers(state, fullUpdate(state), effects);
}

void sumDigests(State& state, Effects& effects)
{
    std::map<ModelName, placement::Demand> demand;
    membership::LoadDigest load;
    for (const auto& [vm, digest] : state.placement.digests) {
        load.servers += digest.servers;
        load.running += digest.running;
        load.freeSlots += digest.freeSlots;
        for (const auto& it : digest.demand) {
            demand[it.model].waiting += it.waiting;
            demand[it.model].running += it.running;
            load.queued += it.waiting;
        }
    }
    state.membership.dataCentreLoad = load;
    reducePlanner(state, placement::DemandReported { state.now, std::move(demand) }, effects);
}

void compareDigest(State& state, const VmId& home, const placement::HomeDigest& digest, Effects& effects)
{
    std::uint64_t hash = 0;
    std::uint32_t servers = 0;
    for (const auto& [id, record] : state.placement.planner.servers) {
        if (record.home != home)
            continue;
        hash ^= placement::placementHash(record.announcement);
        ++servers;
    }
    if (servers == digest.servers && hash == digest.serversHash) {
        reducePlanner(state, placement::HomeServersRefreshed { state.now, home }, effects);
    } else if (home != state.settings.vm) {
        effects(SendPeer { home, peerAddress(state, home),
            placement::Message { placement::ReportRequest { state.placement.planner.fencing } } });
    }
    const auto& own = state.placement;
    const bool updateLost = own.planner.acting && home != state.settings.vm
        && state.now - own.update.lastChange > updateGracePeriod
        && digest.groupsHash != placement::groupsHash(state.groups);
    if (updateLost)
        effects(SendPeer { home, peerAddress(state, home), placement::Message { fullUpdate(state) } });
}

} // namespace

placement::LeaseSettings leaseSettings(const Settings& settings)
{
    placement::LeaseSettings it { settings.vm, settings.bootId, settings.seed, settings.placementAcceptors, false };
    const auto& acceptors = it.acceptors;
    // An acceptor in another data centre votes but is not a candidate.
    it.candidate = std::find(acceptors.begin(), acceptors.end(), settings.vm) != acceptors.end()
        && std::none_of(settings.peers.begin(), settings.peers.end(),
            [&](const auto& peer) { return peer.vm == settings.vm && peer.dataCentre != settings.dataCentre; });
    return it;
}

bool isLeader(const State& state) { return placement::holdsLease(state.placement.lease, state.now); }

void reduceLease(State& state, const placement::LeaseEvent& event, Effects& effects)
{
    placement::LeaseEffects produced;
    placement::reduce(state.placement.lease, event, produced);
    for (auto& effect : produced)
        std::visit([&](auto& it) { executeEffect(state, it, effects); }, effect);
}

void reducePlanner(State& state, const placement::PlannerEvent& event, Effects& effects)
{
    if (!isLeader(state))
        return;
    placement::PlannerEffects produced;
    placement::reduce<placement::WarmSparePolicy>(state.placement.planner, plannerInput(state), event, produced);
    for (auto& effect : produced)
        std::visit([&](auto& it) { executeEffect(state, it, effects); }, effect);
}

void applyReport(State& state, const VmId& home, const placement::ServerReport& report, Effects& effects)
{
    if (report.full) {
        // Servers missing from a full report have moved to another home or are lost.
        std::set<ServerId> named;
        for (const auto& it : report.changed)
            named.insert(it.id);
        std::vector<ServerId> unlisted;
        for (const auto& [id, record] : state.placement.planner.servers) {
            if (record.home == home && !named.contains(id))
                unlisted.push_back(id);
        }
        for (const auto& id : unlisted)
            reducePlanner(state, placement::ServerLost { state.now, home, id }, effects);
    }
    for (const auto& it : report.changed) {
        reduceLease(state, placement::FencingSeen { state.now, it.fencingSeen }, effects);
        reducePlanner(state, placement::ServerReported { state.now, home, it }, effects);
    }
    for (const auto& it : report.gone)
        reducePlanner(state, placement::ServerLost { state.now, home, it }, effects);
    if (report.digest && isLeader(state)) {
        state.placement.digests.insert_or_assign(home, *report.digest);
        compareDigest(state, home, *report.digest, effects);
        if (home == state.settings.vm)
            sumDigests(state, effects);
    }
    sendUpdate(state, effects);
}

void advanceLeader(State& state, Effects& effects)
{
    auto& own = state.placement;
    if (!own.started) {
        own.started = true;
        reduceLease(state, placement::LeaseStarted { state.now }, effects);
    }
    if (state.shuttingDown && own.lease.settings.candidate)
        reduceLease(state, placement::LeaseReleaseRequested { state.now }, effects);
    reduceLease(state, placement::FencingSeen { state.now, own.leader.fencing }, effects);
    reduceLease(state, placement::LeaseTick { state.now }, effects);
    if (!isLeader(state))
        return;
    std::erase_if(
        own.digests, [&](const auto& entry) { return !membership::isRunning(state.membership, entry.first); });
    sendReport(state, effects);
    if (own.acquiredAt && hasTakeoverDelayPassed(state))
        activatePlanner(state, effects);
    reducePlanner(state, placement::PlannerTick { state.now }, effects);
    sendUpdate(state, effects);
}

void receive(State& state, const VmId& from, const placement::LeaseRequest& message, Effects& effects)
{
    reduceLease(state, placement::LeaseReceived { state.now, from, message }, effects);
}

void receive(State& state, const VmId& from, const placement::LeaseReply& message, Effects& effects)
{
    reduceLease(state, placement::LeaseReceived { state.now, from, message }, effects);
}

void receive(State& state, const VmId& from, const placement::LeaseRelease& message, Effects& effects)
{
    reduceLease(state, placement::LeaseReceived { state.now, from, message }, effects);
}

} // namespace rosemarymill::node
