#include <algorithm>
#include <unordered_set>

#include "planner_pass.hpp"

namespace rosemarymill::placement {

bool holds(const backend::Announcement& server, const ModelSpec& model)
{
    if (model.weightBytes == 0)
        return true;
    return std::any_of(server.models.begin(), server.models.end(),
        [&](const auto& it) { return it.name == model.name && it.version == model.version; });
}

std::uint32_t countOtherModels(const backend::Announcement& server, const ModelSpec& model)
{
    return static_cast<std::uint32_t>(std::count_if(server.models.begin(), server.models.end(),
        [&](const auto& it) { return it.name != model.name || it.version != model.version; }));
}

bool fits(const backend::Announcement& server, const ModelSpec& model)
{
    return server.memoryBytes == 0 || server.memoryBytes >= model.weightBytes;
}

bool isUsable(const Pass& pass, const ServerRecord& record)
{
    const auto& it = record.announcement;
    return it.kind == backend::Kind::Engine && !it.leaving && !pass.input.dataCentreOutOfService
        && !pass.input.outOfServiceVms.contains(it.vm);
}

bool isFree(const Pass& pass, const ServerRecord& record)
{
    return isUsable(pass, record) && record.outstanding == 0 && pass.now >= record.avoidUntil
        && !pass.occupied.contains(record.announcement.vm);
}

void indexServers(Pass& pass)
{
    pass.occupied.clear();
    for (const auto& [id, planned] : pass.state.groups) {
        for (const auto& member : planned.group.members)
            pass.occupied.insert(member.vm);
    }
    for (auto& [id, record] : pass.state.servers) {
        const auto& it = record.announcement;
        if (it.group)
            pass.occupied.insert(it.vm);
        if (it.kind == backend::Kind::Engine)
            pass.byDomain[it.fabricDomain].push_back(&record);
    }
}

void dropStaleServers(Pass& pass)
{
    std::erase_if(pass.state.servers, [&](const auto& entry) {
        const bool own = entry.second.home == pass.input.self;
        const bool stale = pass.now - entry.second.lastSeen > (own ? serverReportTimeout : homeChangeTimeout);
        if (stale)
            pass.effects(PlannerNote { "Lost server " + entry.first.text() + "." });
        return stale;
    });
}

void evictStrayServers(Pass& pass)
{
    if (pass.now - pass.state.actingSince < takeoverPeriod)
        return;
    std::unordered_set<ServerId> members;
    for (const auto& [group, planned] : pass.state.groups) {
        for (const auto& it : planned.group.members)
            members.insert(it.server);
    }
    for (auto& [id, record] : pass.state.servers) {
        const auto& confirmed = record.announcement.group;
        if (!confirmed || members.contains(id) || record.announcement.leaving
            || pass.now - record.lastOrder < orderInterval)
            continue;
        backend::Order order;
        order.action = backend::OrderAction::Leave;
        order.group = confirmed->id;
        giveOrder(pass, record, std::move(order));
    }
}

bool giveOrder(Pass& pass, ServerRecord& record, backend::Order order)
{
    if (record.outstanding != 0 && pass.now - record.lastOrder < orderTimeout)
        return false;
    order.orderId = ++pass.state.lastOrder;
    order.fencing = pass.state.fencing;
    record.outstanding = order.orderId;
    record.lastOrder = pass.now;
    record.lastAccepted = false;
    pass.effects(GiveOrder { record.announcement.id, record.announcement.address, std::move(order) });
    return true;
}

ServerRecord* findServer(PlannerState& state, const ServerId& server)
{
    const auto it = state.servers.find(server);
    return it == state.servers.end() ? nullptr : &it->second;
}

bool differsForPlacement(const backend::Announcement& a, const backend::Announcement& b)
{
    const auto key = [](const backend::Announcement& it) {
        return std::tie(it.bootId, it.vm, it.fabricDomain, it.address, it.models, it.memoryBytes, it.maxRequests,
            it.cold, it.leaving, it.group, it.fencingSeen, it.checksFencing);
    };
    // Of the load only this matters: an idle group may be dissolved at once, a busy one is drained.
    return key(a) != key(b) || (a.load.running == 0) != (b.load.running == 0);
}

} // namespace rosemarymill::placement
