#include <algorithm>

#include "planner_pass.hpp"

namespace rosemarymill::placement {

namespace {

/// Free servers of one domain for a model, best first.
template <PlacementPolicy Policy>
std::vector<ServerRecord*> spares(Pass& pass, const ModelSpec& model, const FabricDomainId& domain)
{
    std::vector<ServerRecord*> found;
    const auto& reserved = pass.state.reservation;
    if (reserved && reserved->domain == domain && reserved->model != model.name && pass.now < reserved->until)
        return found;
    std::set<VmId> vms;
    for (auto* record : pass.byDomain[domain]) {
        const auto& it = record->announcement;
        if (isFree(pass, *record) && fits(it, model) && vms.insert(it.vm).second)
            found.push_back(record);
    }
    std::stable_sort(found.begin(), found.end(), [&](const auto* a, const auto* b) {
        const Spare spareA { holds(a->announcement, model), countOtherModels(a->announcement, model) };
        const Spare spareB { holds(b->announcement, model), countOtherModels(b->announcement, model) };
        return Policy::prefers(spareA, spareB);
    });
    return found;
}

template <PlacementPolicy Policy> bool formGroup(Pass& pass, const ModelSpec& model)
{
    std::vector<DomainOption> options;
    std::vector<FabricDomainId> domains;
    std::vector<std::vector<ServerRecord*>> candidates;
    for (const auto& [domain, records] : pass.byDomain) {
        if (records.size() < model.vmsPerReplica)
            continue;
        auto found = spares<Policy>(pass, model, domain);
        if (found.size() < model.vmsPerReplica)
            continue;
        const auto warm
            = std::count_if(found.begin(), found.end(), [&](const auto* it) { return holds(it->announcement, model); });
        options.push_back(
            { static_cast<std::uint32_t>(found.size()), static_cast<std::uint32_t>(warm), model.vmsPerReplica });
        domains.push_back(domain);
        candidates.push_back(std::move(found));
    }
    const auto choice = Policy::chooseDomain(options);
    if (!choice)
        return false;
    std::vector<Member> members;
    for (std::size_t i = 0; i < model.vmsPerReplica; ++i)
        members.push_back(memberOf(candidates[*choice][i]->announcement));
    createGroup(pass, model, domains[*choice], std::move(members));
    if (pass.state.reservation && pass.state.reservation->model == model.name)
        pass.state.reservation.reset();
    return true;
}

/// Groups of one domain that can be preempted for a model.
struct Preemption {
    double cost { 0 };
    std::size_t vms { 0 };
    std::vector<PlannedGroup*> groups;
};

std::map<FabricDomainId, Preemption> findPreemptions(Pass& pass, const ModelSpec& beneficiary, std::size_t missing)
{
    std::map<FabricDomainId, Preemption> preemptions;
    std::map<std::pair<FabricDomainId, const ModelSpec*>, std::uint32_t> given;
    for (auto& [id, planned] : pass.state.groups) {
        const auto& group = planned.group;
        auto& preemption = preemptions[group.fabricDomain];
        if (preemption.vms >= missing || !canPreempt(pass, group, beneficiary))
            continue;
        const auto* model = findModel(pass.input, group);
        auto& count = given[{ group.fabricDomain, model }];
        if (replicaCount(pass.state, *model) - count <= rangeOf(pass.input, *model).minimum)
            continue;
        ++count;
        preemption.cost += demandPerReplica(pass.state, *model);
        preemption.vms += group.members.size();
        preemption.groups.push_back(&planned);
    }
    return preemptions;
}

std::size_t freeVms(const Pass& pass, const FabricDomainId& domain)
{
    std::set<VmId> vms;
    for (const auto& [id, record] : pass.state.servers) {
        if (record.announcement.fabricDomain == domain && isFree(pass, record))
            vms.insert(record.announcement.vm);
    }
    return vms.size();
}

/// Dissolves the groups in least demand of one domain until enough VMs for the model will be free, and reserves these.
/// Returns whether VMs are reserved for the model. There is one reservation at a time.
bool preemptGroups(Pass& pass, const ModelSpec& model, const std::optional<FabricDomainId>& only, std::size_t needed)
{
    auto& reservation = pass.state.reservation;
    if (reservation && pass.now < reservation->until)
        return reservation->model == model.name && (!only || reservation->domain == *only);
    auto preemptions = findPreemptions(pass, model, needed);
    const Preemption* best = nullptr;
    for (auto& [domain, preemption] : preemptions) {
        if ((only && domain != *only) || preemption.vms + freeVms(pass, domain) < needed || preemption.groups.empty())
            continue;
        if (best && preemption.cost >= best->cost)
            continue;
        best = &preemption;
        reservation = Reservation { domain, model.name, pass.now + reservationTimeout };
    }
    if (!best)
        return false;
    auto vms = freeVms(pass, reservation->domain);
    for (auto* planned : best->groups) {
        if (vms >= needed)
            break;
        vms += planned->group.members.size();
        dissolve(pass, *planned, preemptionDrainTimeout);
    }
    return true;
}

/// Replaces the lost members of a group. The others keep their ranks and weights, and loads in progress continue.
template <PlacementPolicy Policy> bool repair(Pass& pass, PlannedGroup& planned, const ModelSpec& model)
{
    auto members = planned.group.members;
    auto found = spares<Policy>(pass, model, planned.group.fabricDomain);
    auto next = found.begin();
    std::size_t lost = 0;
    for (auto& member : members) {
        if (memberIntact(pass, member))
            continue;
        ++lost;
        if (next != found.end())
            member = memberOf((*next++)->announcement);
    }
    if (lost > found.size()) {
        const bool mayPreempt = lost < members.size() && Policy::preparesSpares;
        return mayPreempt && preemptGroups(pass, model, planned.group.fabricDomain, lost);
    }
    if (pass.state.reservation && pass.state.reservation->domain == planned.group.fabricDomain
        && pass.state.reservation->model == model.name)
        pass.state.reservation.reset();
    const auto old = planned.group.id;
    createGroup(pass, model, planned.group.fabricDomain, std::move(members));
    pass.state.groups.erase(old);
    pass.effects(GroupRemoved { old });
    return true;
}

template <PlacementPolicy Policy> void repairGroups(Pass& pass)
{
    std::vector<GroupId> degraded;
    for (const auto& [id, planned] : pass.state.groups) {
        if (planned.group.phase == GroupPhase::Degraded)
            degraded.push_back(id);
    }
    for (const auto id : degraded) {
        auto& planned = pass.state.groups.at(id);
        const auto* model = findModel(pass.input, planned.group);
        const bool withinTarget = model && replicaCount(pass.state, *model) <= targetOf(pass.state, *model);
        if (!Policy::repairs || !withinTarget || !repair<Policy>(pass, planned, *model))
            dissolve(pass, planned, Duration { 0 });
    }
}

/// Models in the order in which they get servers: below the minimum first, then by demand per replica.
std::vector<const ModelSpec*> modelsByNeed(const Pass& pass)
{
    std::vector<const ModelSpec*> models;
    for (const auto& model : pass.input.manifest->models)
        models.push_back(&model);
    const auto belowMinimum
        = [&](const ModelSpec& model) { return replicaCount(pass.state, model) < rangeOf(pass.input, model).minimum; };
    std::stable_sort(models.begin(), models.end(), [&](const auto* a, const auto* b) {
        if (belowMinimum(*a) != belowMinimum(*b))
            return belowMinimum(*a);
        return demandPerReplica(pass.state, *a) > demandPerReplica(pass.state, *b);
    });
    return models;
}

template <PlacementPolicy Policy> void grow(Pass& pass)
{
    for (const auto* model : modelsByNeed(pass)) {
        auto count = replicaCount(pass.state, *model);
        const auto target = targetOf(pass.state, *model);
        while (count < target && formGroup<Policy>(pass, *model))
            ++count;
        const bool urgent = count < rangeOf(pass.input, *model).minimum || demandPerReplica(pass.state, *model) > 0;
        if (Policy::preparesSpares && count < target && urgent)
            preemptGroups(pass, *model, std::nullopt, model->vmsPerReplica);
    }
}

/// Weights that one server has to load.
struct PendingLoad {
    ServerRecord* record { nullptr };
    const ModelSpec* model { nullptr };
    LoadOption option;
};

std::vector<PendingLoad> loadsOfGroups(Pass& pass)
{
    std::vector<PendingLoad> pending;
    for (auto& [id, planned] : pass.state.groups) {
        const auto& group = planned.group;
        const auto* model = findModel(pass.input, group);
        if (group.phase != GroupPhase::Forming || !model)
            continue;
        std::vector<ServerRecord*> cold;
        for (const auto& member : group.members) {
            auto* record = findServer(pass.state, member.server);
            if (record && !holds(record->announcement, *model))
                cold.push_back(record);
        }
        const auto it = pass.state.demand.find(model->name);
        const std::uint32_t waiting = it == pass.state.demand.end() ? 0 : it->second.waiting;
        const LoadOption option { waiting, model->weightBytes * cold.size(), id.value };
        for (auto* record : cold) {
            if (!record->loading || *record->loading != ModelKey { model->name, model->version })
                pending.push_back({ record, model, option });
        }
    }
    return pending;
}

/// Whether the server's memory suffices for the models it holds and one more.
bool hasRoomFor(const Pass& pass, const backend::Announcement& server, const ModelSpec& model)
{
    std::uint64_t bytes = model.weightBytes;
    for (const auto& announced : server.models) {
        for (const auto& it : pass.input.manifest->models) {
            if (it.name == announced.name && it.version == announced.version)
                bytes += it.weightBytes;
        }
    }
    return server.memoryBytes == 0 || bytes <= server.memoryBytes;
}

bool unloadOther(Pass& pass, ServerRecord& record, const ModelSpec& model)
{
    for (const auto& announced : record.announcement.models) {
        if (announced.name == model.name && announced.version == model.version)
            continue;
        backend::Order order;
        order.action = backend::OrderAction::Unload;
        order.model = announced.name;
        order.version = announced.version;
        return giveOrder(pass, record, std::move(order));
    }
    return false;
}

Duration loadTime(const PlannerInput& input, const ModelSpec& model)
{
    const auto rate = input.manifest->weightStoreBytesPerSecond;
    if (rate == 0)
        return Duration { 0 };
    const auto seconds = static_cast<double>(model.weightBytes) / static_cast<double>(rate);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void startLoad(Pass& pass, ServerRecord& record, const ModelSpec& model)
{
    if (!hasRoomFor(pass, record.announcement, model) && !record.announcement.models.empty()) {
        if (pass.now - record.lastOrder >= orderInterval)
            unloadOther(pass, record, model);
        return;
    }
    backend::Order order;
    order.action = backend::OrderAction::Load;
    order.model = model.name;
    order.version = model.version;
    if (!giveOrder(pass, record, std::move(order)))
        return;
    const auto time = loadTime(pass.input, model);
    pass.state.storeFreeAt = std::max(pass.state.storeFreeAt, pass.now) + time;
    record.loading = ModelKey { model.name, model.version };
    record.loadDeadline = pass.state.storeFreeAt + time + loadGrace;
}

/// Orders loads one after the other at the weight store's rate, so that each group is complete as early as possible.
template <PlacementPolicy Policy> void loadWeights(Pass& pass)
{
    auto pending = loadsOfGroups(pass);
    std::stable_sort(pending.begin(), pending.end(),
        [](const auto& a, const auto& b) { return Policy::loadsBefore(a.option, b.option); });
    for (const auto& it : pending) {
        if (pass.state.storeFreeAt > pass.now)
            return;
        startLoad(pass, *it.record, *it.model);
    }
}

/// Orders free servers that hold no weights to load the model of their domain for which the loss of a member would
/// affect most requests.
void warmSpares(Pass& pass)
{
    std::map<FabricDomainId, std::map<ModelKey, std::uint32_t>> groups;
    for (const auto& [id, planned] : pass.state.groups) {
        const auto& group = planned.group;
        if (group.phase == GroupPhase::Serving && group.members.size() > 1)
            ++groups[group.fabricDomain][{ group.model, group.version }];
    }
    for (auto& [id, record] : pass.state.servers) {
        const auto& server = record.announcement;
        if (pass.state.storeFreeAt > pass.now)
            return;
        if (!isFree(pass, record) || record.loading || !server.models.empty())
            continue;
        const ModelSpec* best = nullptr;
        double bestValue = 0;
        for (const auto& model : pass.input.manifest->models) {
            const auto count = groups[server.fabricDomain][{ model.name, model.version }];
            const auto value = count * (1 + demandPerReplica(pass.state, model));
            if (model.weightBytes > 0 && fits(server, model) && value > bestValue) {
                best = &model;
                bestValue = value;
            }
        }
        if (best)
            startLoad(pass, record, *best);
    }
}

template <PlacementPolicy Policy> void plan(Pass& pass)
{
    if (!pass.state.acting)
        return;
    dropStaleServers(pass);
    takeOverUnlistedGroups(pass);
    updatePhases(pass);
    updateTargets(pass);
    indexServers(pass);
    repairGroups<Policy>(pass);
    shrink(pass);
    grow<Policy>(pass);
    evictStrayServers(pass);
    loadWeights<Policy>(pass);
    if (Policy::preparesSpares)
        warmSpares(pass);
    // A group whose members already hold the weights gets its join orders in the same pass.
    updatePhases(pass);
}

bool applyReport(PlannerState& state, const ServerReported& event)
{
    const auto it = state.servers.find(event.announcement.id);
    const bool reportedBefore = it != state.servers.end();
    const bool changed = !reportedBefore || differsForPlacement(it->second.announcement, event.announcement);
    auto& record = state.servers[event.announcement.id];
    if (reportedBefore && record.announcement.bootId != event.announcement.bootId) {
        // The server has restarted and lost all earlier orders.
        record.outstanding = 0;
        record.lastAccepted = false;
        record.loading.reset();
    }
    record.announcement = event.announcement;
    record.announcement.cacheEvents = {};
    record.home = event.home;
    record.lastSeen = event.now;
    if (record.loading) {
        const auto loading = *record.loading;
        const auto& models = record.announcement.models;
        if (std::any_of(models.begin(), models.end(),
                [&](const auto& model) { return model.name == loading.first && model.version == loading.second; }))
            record.loading.reset();
    }
    return changed;
}

/// Applies the event and returns whether the planner has to run.
bool apply(Pass& pass, const ServerReported& event) { return applyReport(pass.state, event); }

bool apply(Pass& pass, const ServerLost& event)
{
    const auto* record = findServer(pass.state, event.server);
    // A former home has no record that the server now announces itself elsewhere.
    if (!record || record->home != event.home)
        return false;
    pass.state.servers.erase(event.server);
    pass.effects(PlannerNote { "Lost server " + event.server.text() + "." });
    return true;
}

bool apply(Pass& pass, const HomeServersRefreshed& event)
{
    for (auto& [id, record] : pass.state.servers) {
        if (record.home == event.home)
            record.lastSeen = event.now;
    }
    return false;
}

bool apply(Pass& pass, const DemandReported& event)
{
    pass.state.demand = event.demand;
    return false;
}

bool apply(Pass& pass, const OrderResult& event)
{
    auto* record = findServer(pass.state, event.server);
    if (!record || record->outstanding != event.orderId)
        return false;
    record->outstanding = 0;
    record->lastAccepted = event.accepted;
    record->refusals = event.accepted ? 0 : record->refusals + 1;
    if (!event.accepted)
        record->loading.reset();
    return false;
}

bool apply(Pass& pass, const ActingStarted& event)
{
    pass.state.fencing = event.fencing;
    if (pass.state.acting)
        return true;
    pass.state.acting = true;
    pass.state.actingSince = pass.now;
    takeOverGroups(pass, event.previousGroups);
    for (const auto& model : pass.input.manifest->models)
        pass.state.targets[{ model.name, model.version }].count = replicaCount(pass.state, model);
    return true;
}

bool apply(Pass&, const PlannerTick&) { return true; }

} // namespace

template <PlacementPolicy Policy>
void reduce(PlannerState& state, const PlannerInput& input, const PlannerEvent& event, PlannerEffects& effects)
{
    std::visit(
        [&](const auto& it) {
            Pass pass { state, input, it.now, effects, {}, {} };
            if (apply(pass, it))
                plan<Policy>(pass);
        },
        event);
}

template void reduce<WarmSparePolicy>(PlannerState&, const PlannerInput&, const PlannerEvent&, PlannerEffects&);
template void reduce<FirstFitPolicy>(PlannerState&, const PlannerInput&, const PlannerEvent&, PlannerEffects&);

} // namespace rosemarymill::placement
