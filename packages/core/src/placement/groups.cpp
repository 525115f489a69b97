#include <algorithm>

#include "planner_pass.hpp"

namespace rosemarymill::placement {

namespace {

bool memberConfirmed(Pass& pass, const Group& group, std::uint32_t rank)
{
    const auto& member = group.members[rank];
    const auto* record = findServer(pass.state, member.server);
    return record && record->announcement.bootId == member.bootId
        && record->announcement.group == backend::GroupMembership { group.id, group.fencing, rank };
}

bool allConfirmed(Pass& pass, const Group& group)
{
    for (std::uint32_t rank = 0; rank < group.members.size(); ++rank) {
        if (!memberConfirmed(pass, group, rank))
            return false;
    }
    return true;
}

bool allIntact(Pass& pass, const Group& group)
{
    return std::all_of(
        group.members.begin(), group.members.end(), [&](const auto& member) { return memberIntact(pass, member); });
}

void sendJoin(Pass& pass, const Group& group, std::uint32_t rank)
{
    auto* record = findServer(pass.state, group.members[rank].server);
    backend::Order order;
    order.action = backend::OrderAction::Join;
    order.model = group.model;
    order.version = group.version;
    order.group = group.id;
    for (const auto& member : group.members)
        order.members.push_back(member.address);
    order.rank = rank;
    giveOrder(pass, *record, std::move(order));
}

bool allHoldWeights(Pass& pass, const Group& group, const ModelSpec& model)
{
    return std::all_of(group.members.begin(), group.members.end(),
        [&](const auto& member) { return holds(findServer(pass.state, member.server)->announcement, model); });
}

/// A member that does not load or confirm in time is stuck. It is excluded for avoidTime, so that the repair does not
/// choose it again.
bool avoidStuckMembers(Pass& pass, PlannedGroup& planned, const ModelSpec& model)
{
    bool stuck = false;
    for (std::uint32_t rank = 0; rank < planned.group.members.size(); ++rank) {
        auto* record = findServer(pass.state, planned.group.members[rank].server);
        const bool late = planned.group.phase == GroupPhase::Forming
            ? record->loading && pass.now > record->loadDeadline && !holds(record->announcement, model)
            : pass.now - planned.since > confirmTimeout && !memberConfirmed(pass, planned.group, rank);
        if (late || record->refusals >= maxRefusals) {
            record->avoidUntil = pass.now + avoidTime;
            record->loading.reset();
            record->refusals = 0;
            stuck = true;
        }
    }
    return stuck;
}

void updateForming(Pass& pass, PlannedGroup& planned, const ModelSpec& model)
{
    auto& group = planned.group;
    if (!allIntact(pass, group) || avoidStuckMembers(pass, planned, model)) {
        setPhase(pass, planned, GroupPhase::Degraded);
        return;
    }
    if (group.phase == GroupPhase::Forming) {
        if (!allHoldWeights(pass, group, model))
            return;
        setPhase(pass, planned, GroupPhase::Confirming);
    }
    for (std::uint32_t rank = 0; rank < group.members.size(); ++rank) {
        const auto* record = findServer(pass.state, group.members[rank].server);
        const bool due = pass.now == planned.since || pass.now - record->lastOrder >= orderInterval;
        if (!memberConfirmed(pass, group, rank) && due)
            sendJoin(pass, group, rank);
    }
    if (allConfirmed(pass, group))
        setPhase(pass, planned, GroupPhase::Serving);
}

void loadAdapters(Pass& pass, const Group& group, const ModelSpec& model)
{
    for (const auto& member : group.members) {
        auto* record = findServer(pass.state, member.server);
        const auto& models = record->announcement.models;
        const auto announced = std::find_if(models.begin(), models.end(),
            [&](const auto& it) { return it.name == model.name && it.version == model.version; });
        if (announced == models.end() || pass.now - record->lastOrder < 5 * orderInterval)
            continue;
        for (const auto& adapter : model.adapters) {
            if (std::find(announced->adapters.begin(), announced->adapters.end(), adapter.name)
                != announced->adapters.end())
                continue;
            backend::Order order;
            order.action = backend::OrderAction::Load;
            order.model = model.name;
            order.version = model.version;
            order.adapter = adapter.name;
            giveOrder(pass, *record, std::move(order));
            break;
        }
    }
}

/// Whether a member shuts down or is taken out of service. The group may then finish its requests.
bool hasDepartingMember(Pass& pass, const Group& group)
{
    return std::any_of(group.members.begin(), group.members.end(), [&](const Member& member) {
        const auto* record = findServer(pass.state, member.server);
        return record && record->announcement.bootId == member.bootId && !isUsable(pass, *record);
    });
}

bool isIdle(Pass& pass, const Group& group)
{
    if (group.members.empty())
        return true;
    const auto* record = findServer(pass.state, group.members.front().server);
    return !record || record->announcement.load.running == 0;
}

/// Members are removed one by one, once they have accepted the leave order and announce no group. A new join order can
/// therefore not overtake an older one that is still in flight.
void updateDissolving(Pass& pass, PlannedGroup& planned)
{
    auto& group = planned.group;
    // Load reports are delayed, so a group counts as idle only after two heartbeats.
    const bool loadIsCurrent = pass.now - planned.since >= 2 * orderInterval;
    if (pass.now < planned.drainUntil && !(loadIsCurrent && isIdle(pass, group)))
        return;
    std::erase_if(group.members, [&](const Member& member) {
        auto* record = findServer(pass.state, member.server);
        if (!record || record->announcement.bootId != member.bootId)
            return true;
        const bool leaveOrdered = record->lastOrder > planned.since;
        if (leaveOrdered && record->lastAccepted && !record->announcement.group)
            return true;
        if (leaveOrdered && pass.now - record->lastOrder < orderInterval)
            return false;
        backend::Order order;
        order.action = backend::OrderAction::Leave;
        order.group = group.id;
        giveOrder(pass, *record, std::move(order));
        return false;
    });
}

/// The only model of the manifest with as many VMs per replica that all members hold, or none.
const ModelSpec* modelOfMembers(const PlannerInput& input, const std::vector<const backend::Announcement*>& members)
{
    const ModelSpec* found = nullptr;
    for (const auto& model : input.manifest->models) {
        const bool allHold = std::all_of(members.begin(), members.end(),
            [&](const auto* it) { return it->fabricDomain == members.front()->fabricDomain && holds(*it, model); });
        if (model.vmsPerReplica != members.size() || !allHold)
            continue;
        if (found)
            return nullptr;
        found = &model;
    }
    return found;
}

/// Whether no VM of the group belongs to a group already. While a member sent no announcements, another server on its
/// VM may have been assigned to a new group.
bool vmsAreUnassigned(const Pass& pass, const Group& group)
{
    for (const auto& [id, planned] : pass.state.groups) {
        for (const auto& assigned : planned.group.members) {
            const auto sameVm = [&](const Member& member) { return member.vm == assigned.vm; };
            if (std::any_of(group.members.begin(), group.members.end(), sameVm))
                return false;
        }
    }
    return true;
}

bool canTakeOver(Pass& pass, const Group& group)
{
    return allIntact(pass, group) && allConfirmed(pass, group) && vmsAreUnassigned(pass, group);
}

} // namespace

const ModelSpec* findModel(const PlannerInput& input, const Group& group)
{
    const auto& models = input.manifest->models;
    const auto it = std::find_if(models.begin(), models.end(),
        [&](const auto& model) { return model.name == group.model && model.version == group.version; });
    return it == models.end() ? nullptr : &*it;
}

configuration::ReplicaRange rangeOf(const PlannerInput& input, const ModelSpec& model)
{
    const auto it = model.replicas.find(input.dataCentre);
    if (it == model.replicas.end() || input.dataCentreOutOfService)
        return {};
    return it->second;
}

bool memberIntact(Pass& pass, const Member& member)
{
    const auto* record = findServer(pass.state, member.server);
    return record && record->announcement.bootId == member.bootId && isUsable(pass, *record)
        && pass.now >= record->avoidUntil;
}

Member memberOf(const backend::Announcement& server) { return { server.id, server.vm, server.bootId, server.address }; }

void setPhase(Pass& pass, PlannedGroup& planned, GroupPhase phase)
{
    if (planned.group.phase == phase)
        return;
    planned.group.phase = phase;
    planned.since = pass.now;
    pass.effects(GroupChanged { planned.group });
}

Group& createGroup(Pass& pass, const ModelSpec& model, const FabricDomainId& domain, std::vector<Member> members)
{
    // The leader's fencing number makes the id unique over all leaders, even if an earlier one's groups are missing
    // here.
    const GroupId id { (pass.state.fencing.value << 32U) | ++pass.state.lastGroup };
    auto& planned = pass.state.groups[id];
    planned.since = pass.now;
    planned.group
        = Group { id, pass.state.fencing, model.name, model.version, domain, std::move(members), GroupPhase::Forming };
    for (const auto& member : planned.group.members)
        pass.occupied.insert(member.vm);
    pass.effects(GroupChanged { planned.group });
    return planned.group;
}

void dissolve(Pass& pass, PlannedGroup& planned, Duration drain)
{
    if (planned.group.phase == GroupPhase::Dissolving)
        return;
    planned.drainUntil = pass.now + drain;
    setPhase(pass, planned, GroupPhase::Dissolving);
}

void updatePhases(Pass& pass)
{
    for (auto& [id, planned] : pass.state.groups) {
        auto& group = planned.group;
        const auto* model = findModel(pass.input, group);
        if (!model && group.phase != GroupPhase::Dissolving)
            dissolve(pass, planned, drainTimeout);
        switch (group.phase) {
        case GroupPhase::Forming:
        case GroupPhase::Confirming:
            updateForming(pass, planned, *model);
            break;
        case GroupPhase::Serving:
            if (allConfirmed(pass, group) && hasDepartingMember(pass, group))
                dissolve(pass, planned, drainTimeout);
            else if (!allIntact(pass, group) || !allConfirmed(pass, group))
                setPhase(pass, planned, GroupPhase::Degraded);
            else
                loadAdapters(pass, group, *model);
            break;
        case GroupPhase::Degraded:
            break;
        case GroupPhase::Dissolving:
            updateDissolving(pass, planned);
            break;
        }
    }
    std::erase_if(pass.state.groups, [&](const auto& entry) {
        const bool ended = entry.second.group.members.empty();
        if (ended)
            pass.effects(GroupRemoved { entry.first });
        return ended;
    });
}

void takeOverGroups(Pass& pass, const GroupTable& previousGroups)
{
    for (const auto& [id, group] : previousGroups) {
        const auto* model = findModel(pass.input, group);
        if (!model || group.members.size() != model->vmsPerReplica || !canTakeOver(pass, group))
            continue;
        auto& planned = pass.state.groups[id];
        planned = { group, pass.now, {} };
        planned.group.phase = GroupPhase::Serving;
        pass.effects(GroupChanged { planned.group });
    }
}

void takeOverUnlistedGroups(Pass& pass)
{
    if (pass.now - pass.state.actingSince >= takeoverPeriod)
        return;
    std::map<GroupId, std::vector<const backend::Announcement*>> found;
    for (const auto& [id, record] : pass.state.servers) {
        const auto& confirmed = record.announcement.group;
        if (confirmed && !pass.state.groups.contains(confirmed->id))
            found[confirmed->id].push_back(&record.announcement);
    }
    for (auto& [id, members] : found) {
        std::sort(members.begin(), members.end(),
            [](const auto* a, const auto* b) { return a->group->rank < b->group->rank; });
        const auto* model = modelOfMembers(pass.input, members);
        if (!model)
            continue;
        Group group { id, members.front()->group->fencing, model->name, model->version, members.front()->fabricDomain,
            {}, GroupPhase::Serving };
        for (const auto* member : members)
            group.members.push_back(memberOf(*member));
        if (!canTakeOver(pass, group))
            continue;
        pass.state.groups[id] = { group, pass.now, {} };
        ++pass.state.targets[{ model->name, model->version }].count;
        pass.effects(GroupChanged { std::move(group) });
    }
}

} // namespace rosemarymill::placement
