#include <rosemarymill/core/placement/stop_groups.hpp>

#include <algorithm>

#include "placement_handlers.hpp"

namespace rosemarymill::node {

namespace {

constexpr Duration digestInterval = 1s;
/// A redirected server that announces itself here again within this time cannot reach its other home.
constexpr Duration redirectTimeout = 5s;
/// One tick (100 ms) less than the announcement timeout, so that the loss is detected within that timeout.
constexpr Duration lossTimeout = backend::announcementTimeout - 100ms;

placement::HomeDigest makeDigest(const State& state)
{
    placement::HomeDigest digest;
    digest.groupsHash = placement::groupsHash(state.groups);
    for (const auto& [id, record] : state.servers) {
        const auto& it = record.announcement;
        if (it.kind != backend::Kind::Engine)
            continue;
        ++digest.servers;
        digest.serversHash ^= placement::placementHash(it);
        digest.running += it.load.running;
        digest.freeSlots += it.maxRequests - std::min(it.maxRequests, it.load.running);
    }
    std::map<ModelName, placement::ModelDemand> demand;
    for (const auto& [id, call] : state.calls.active) {
        // A call whose key is not reserved yet adds no load, and one forwarded to another data centre is counted there.
        const bool remote = call.attempt && !call.attempt->dataCentre.empty();
        if (call.request.target != call::Target::Model || call.keyPending || remote)
            continue;
        auto& it = demand[call.request.model];
        ++(call.attempt ? it.running : it.waiting);
    }
    for (auto& [model, it] : demand) {
        it.model = model;
        digest.demand.push_back(std::move(it));
    }
    return digest;
}

/// Without a reachable placement leader, each entry VM itself stops serving groups that a report contradicts or that
/// have lost a member.
void stopWithoutLeader(State& state, const placement::ServerReport& report, bool forward, Effects& effects)
{
    std::vector<GroupId> stopped;
    for (const auto& it : report.changed) {
        const auto groups = placement::stopContradictedGroups(state.groups, it);
        stopped.insert(stopped.end(), groups.begin(), groups.end());
    }
    for (const auto& it : report.gone) {
        const auto groups = placement::stopGroupsOfLostServer(state.groups, it);
        stopped.insert(stopped.end(), groups.begin(), groups.end());
    }
    if (stopped.empty() || !forward)
        return;
    for (const auto& [vm, member] : state.membership.members)
        effects(SendPeer { vm, member.claim.address, placement::Message { report } });
}

backend::Announcement withoutCacheEvents(const backend::Announcement& announcement)
{
    auto it = announcement;
    it.cacheEvents = {};
    return it;
}

void dropLostServers(State& state, Effects& effects)
{
    std::erase_if(state.servers, [&](const auto& entry) {
        const bool lost = state.now - entry.second.lastSeen >= lossTimeout;
        if (!lost)
            return false;
        effects(WriteLog { LogLevel::Warning, "backends", "Lost server " + entry.first.text() + "." });
        if (entry.second.announcement.kind == backend::Kind::Engine)
            state.placement.report.gone.push_back(entry.first);
        return true;
    });
    std::erase_if(
        state.placement.redirected, [&](const auto& entry) { return state.now - entry.second > redirectTimeout; });
}

/// Whether this process serves as the server's home although another one is chosen, because the server was redirected
/// and came back: it cannot reach the chosen one. Records the time of the first redirect.
bool isFallbackHome(State& state, const ServerId& server)
{
    const auto [it, added] = state.placement.redirected.emplace(server, state.now);
    return !added && state.now - it->second >= backend::announcementInterval / 2;
}

void registerServer(State& state, const backend::Announcement& announcement)
{
    const auto it = state.servers.find(announcement.id);
    const bool changed
        = it == state.servers.end() || placement::differsForPlacement(it->second.announcement, announcement);
    state.servers[announcement.id] = { announcement, state.now };
    if (changed && announcement.kind == backend::Kind::Engine)
        state.placement.report.changed.insert(announcement.id);
}

} // namespace

void updateLeader(State& state, const VmId& leader, FencingNumber fencing)
{
    auto& cached = state.placement.leader;
    if (fencing <= cached.fencing)
        return;
    cached = { leader, fencing };
    state.placement.report.full = true;
}

void sendReport(State& state, Effects& effects)
{
    auto& due = state.placement.report;
    const bool digestDue = state.now >= due.nextDigest;
    if (due.changed.empty() && due.gone.empty() && !due.full && !digestDue)
        return;
    placement::ServerReport report;
    report.full = due.full;
    for (const auto& [id, record] : state.servers) {
        if ((due.full || due.changed.contains(id)) && record.announcement.kind == backend::Kind::Engine)
            report.changed.push_back(withoutCacheEvents(record.announcement));
    }
    report.gone = std::move(due.gone);
    if (digestDue || due.full) {
        report.digest = makeDigest(state);
        due.nextDigest = state.now + digestInterval;
    }
    due.gone.clear();
    due.changed.clear();
    due.full = false;
    const auto& leader = state.placement.leader.vm;
    if (isLeader(state)) {
        applyReport(state, state.settings.vm, report, effects);
    } else if (!leader.empty() && leader != state.settings.vm && membership::isRunning(state.membership, leader)) {
        effects(SendPeer { leader, peerAddress(state, leader), placement::Message { std::move(report) } });
    } else {
        stopWithoutLeader(state, report, true, effects);
        // Nothing stays pending: a new leader makes each home send a full report.
        due.full = false;
    }
}

void receive(State& state, const VmId& from, const placement::ServerReport& report, Effects& effects)
{
    if (isLeader(state))
        applyReport(state, from, report, effects);
    else
        stopWithoutLeader(state, report, false, effects);
}

void receive(State& state, const VmId& from, const placement::ReportRequest& request, Effects& effects)
{
    updateLeader(state, from, request.fencing);
    if (request.fencing < state.placement.leader.fencing)
        return;
    state.placement.report.full = true;
    sendReport(state, effects);
}

void receive(State& state, const VmId& from, const placement::GroupUpdate& update, Effects& effects)
{
    updateLeader(state, from, update.fencing);
    if (update.fencing < state.placement.leader.fencing)
        return;
    if (update.full)
        state.groups.clear();
    for (const auto& group : update.changed)
        state.groups.insert_or_assign(group.id, group);
    for (const auto& id : update.removed)
        state.groups.erase(id);
    if (state.placement.report.full)
        sendReport(state, effects);
    startWaitingCalls(state, effects);
}

void updateGroups(State& state, Effects& effects)
{
    dropLostServers(state, effects);
    advanceLeader(state, effects);
    sendReport(state, effects);
}

void handle(State& state, const AnnouncementReceived& event, Effects& effects)
{
    const auto& announcement = event.announcement;
    auto reason = backend::validate(announcement, state.settings.dataCentre);
    if (!reason.empty()) {
        effects(ReplyAnnouncement { event.request, false, std::move(reason), {}, {} });
        return;
    }
    const auto home = homeOf(state, announcement.id);
    if (home != state.settings.vm && !isFallbackHome(state, announcement.id)) {
        const auto& address = state.membership.members.at(home).claim.announceAddress;
        effects(ReplyAnnouncement { event.request, true, {}, backend::announcementInterval, address });
        return;
    }
    registerServer(state, announcement);
    effects(
        ReplyAnnouncement { event.request, true, {}, backend::announcementInterval, state.settings.announceAddress });
    reduceLease(state, placement::FencingSeen { state.now, announcement.fencingSeen }, effects);
    if (!state.placement.report.changed.empty())
        updateGroups(state, effects);
    serverAnnounced(state, announcement, effects);
}

void handle(State& state, const OrderAnswered& event, Effects& effects)
{
    if (!event.accepted)
        effects(WriteLog { LogLevel::Warning, "placement", "Server " + event.server.text() + " refused an order." });
    if (isLeader(state))
        reducePlanner(
            state, placement::OrderResult { state.now, event.server, event.orderId, event.accepted }, effects);
}

} // namespace rosemarymill::node
