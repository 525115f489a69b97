#include "parts.hpp"

#include <algorithm>
#include <set>

namespace rosemarymill::node {

namespace {

using backend::Kind;
using placement::Group;
using placement::GroupPhase;

std::set<VmId> assignedVms(const State& state)
{
    std::set<VmId> vms;
    for (const auto& [id, group] : state.groups) {
        for (const auto& member : group.members)
            vms.insert(member.vm);
    }
    return vms;
}

bool isFree(const State& state, const backend::Announcement& it, const std::set<VmId>& assigned)
{
    (void)state;
    return it.kind == Kind::Engine && !it.leaving && !it.group && !assigned.contains(it.vm);
}

void sendJoins(State& state, const Group& group, Effects& effects)
{
    std::vector<std::string> addresses;
    for (const auto& member : group.members)
        addresses.push_back(member.address);
    for (std::uint32_t rank = 0; rank < group.members.size(); ++rank) {
        const auto& member = group.members[rank];
        backend::Order order;
        order.orderId = ++state.lastOrder;
        order.fencing = group.fencing;
        order.action = backend::OrderAction::Join;
        order.model = group.model;
        order.version = group.version;
        order.group = group.id;
        order.members = addresses;
        order.rank = rank;
        effects(SendOrder { member.server, member.address, order });
    }
}

bool formGroup(State& state, const configuration::ModelSpec& model, Effects& effects)
{
    const auto assigned = assignedVms(state);
    std::map<FabricDomainId, std::vector<placement::Member>> candidates;
    for (const auto& [id, record] : state.servers) {
        const auto& it = record.announcement;
        if (!isFree(state, it, assigned))
            continue;
        auto& members = candidates[it.fabricDomain];
        const auto sameVm = [&](const auto& member) { return member.vm == it.vm; };
        if (std::none_of(members.begin(), members.end(), sameVm))
            members.push_back({ it.id, it.vm, it.bootId, it.address });
    }
    for (auto& [domain, members] : candidates) {
        if (members.size() < model.vmsPerReplica)
            continue;
        members.resize(model.vmsPerReplica);
        state.lastGroup = state.lastGroup.next();
        Group group { state.lastGroup, FencingNumber { 1 }, model.name, model.version, domain, members,
            GroupPhase::Forming };
        sendJoins(state, group, effects);
        state.groups.emplace(group.id, std::move(group));
        return true;
    }
    return false;
}

bool memberConfirmed(const State& state, const Group& group, std::uint32_t rank)
{
    const auto& member = group.members[rank];
    const auto it = state.servers.find(member.server);
    if (it == state.servers.end() || it->second.announcement.bootId != member.bootId)
        return false;
    return it->second.announcement.group == backend::GroupMembership { group.id, group.fencing, rank };
}

bool memberPresent(const State& state, const placement::Member& member)
{
    const auto it = state.servers.find(member.server);
    return it != state.servers.end() && it->second.announcement.bootId == member.bootId;
}

void updatePhase(const State& state, Group& group)
{
    bool confirmed = true;
    for (std::uint32_t rank = 0; rank < group.members.size(); ++rank)
        confirmed = confirmed && memberConfirmed(state, group, rank);
    if (confirmed)
        group.phase = GroupPhase::Serving;
    else if (group.phase == GroupPhase::Serving)
        group.phase = GroupPhase::Degraded;
}

void dropLostServers(State& state, Effects& effects)
{
    std::erase_if(state.servers, [&](const auto& entry) {
        const bool lost = state.now - entry.second.lastSeen > backend::announcementTimeout;
        if (lost)
            effects(WriteLog { LogLevel::Warning, "placement", "Lost server " + entry.first.text() + "." });
        return lost;
    });
}

void updateExistingGroups(State& state, Effects& effects)
{
    for (auto& [id, group] : state.groups)
        updatePhase(state, group);
    std::erase_if(state.groups, [&](const auto& entry) {
        const auto& group = entry.second;
        const bool intact = std::all_of(group.members.begin(), group.members.end(),
            [&](const auto& member) { return memberPresent(state, member); });
        if (!intact)
            effects(WriteLog {
                LogLevel::Warning, "placement", "Group " + std::to_string(group.id.value) + " lost a member." });
        return !intact;
    });
}

} // namespace

void updateGroups(State& state, Effects& effects)
{
    dropLostServers(state, effects);
    updateExistingGroups(state, effects);
    for (const auto& model : state.configuration.manifest.models) {
        const auto range = model.replicas.find(state.settings.dataCentre);
        if (range == model.replicas.end())
            continue;
        auto count = static_cast<std::uint32_t>(
            std::count_if(state.groups.begin(), state.groups.end(), [&](const auto& entry) {
                return entry.second.model == model.name && entry.second.version == model.version;
            }));
        while (count < range->second.minimum && formGroup(state, model, effects))
            ++count;
    }
}

void handle(State& state, const AnnouncementReceived& event, Effects& effects)
{
    auto reason = backend::validate(event.announcement, state.settings.dataCentre);
    if (!reason.empty()) {
        effects(ReplyAnnouncement { event.request, false, std::move(reason), {}, {} });
        return;
    }
    state.servers[event.announcement.id] = { event.announcement, event.now };
    effects(
        ReplyAnnouncement { event.request, true, {}, backend::announcementInterval, state.settings.announceAddress });
    updateGroups(state, effects);
    serverAnnounced(state, event.announcement, effects);
}

void handle(State&, const OrderAnswered& event, Effects& effects)
{
    if (!event.accepted)
        effects(WriteLog { LogLevel::Warning, "placement", "Server " + event.server.text() + " refused an order." });
}

} // namespace rosemarymill::node
