#include <algorithm>
#include <cmath>

#include "planner_pass.hpp"

namespace rosemarymill::placement {

namespace {

Demand demandOf(const PlannerState& state, const ModelSpec& model)
{
    const auto it = state.demand.find(model.name);
    return it == state.demand.end() ? Demand {} : it->second;
}

bool isReplica(const PlannedGroup& planned, const ModelSpec& model)
{
    return planned.group.model == model.name && planned.group.version == model.version
        && planned.group.phase != GroupPhase::Dissolving;
}

/// Requests that one replica runs at once, as its first member announces.
std::uint32_t requestsPerReplica(PlannerState& state, const ModelSpec& model)
{
    for (const auto& [id, planned] : state.groups) {
        if (!isReplica(planned, model) || planned.group.members.empty())
            continue;
        if (const auto* record = findServer(state, planned.group.members.front().server))
            return std::max(1U, record->announcement.maxRequests);
    }
    return 1;
}

/// Replicas that the demand needs. If requests wait although the replicas should suffice, one more is added, but not
/// while one is still being formed.
std::uint32_t requiredReplicas(PlannerState& state, const ModelSpec& model, std::uint32_t count, std::uint32_t total)
{
    const auto perReplica = requestsPerReplica(state, model);
    const bool forming = std::any_of(state.groups.begin(), state.groups.end(), [&](const auto& entry) {
        return isReplica(entry.second, model) && entry.second.group.phase != GroupPhase::Serving;
    });
    return std::max((total + perReplica - 1) / perReplica, forming ? count : count + 1);
}

void updateTarget(Pass& pass, const ModelSpec& model)
{
    const auto range = rangeOf(pass.input, model);
    const auto count = replicaCount(pass.state, model);
    const auto demand = demandOf(pass.state, model);
    const auto perReplica = requestsPerReplica(pass.state, model);
    const auto total = demand.waiting + demand.running;
    auto& target = pass.state.targets[{ model.name, model.version }];
    if (demand.waiting == 0)
        target.waitingSince.reset();
    else if (!target.waitingSince)
        target.waitingSince = pass.now;
    const bool idle = count > 0 && 2 * total < perReplica * (count - 1);
    if (!idle)
        target.idleSince.reset();
    else if (!target.idleSince)
        target.idleSince = pass.now;
    if (target.waitingSince && pass.now - *target.waitingSince >= growDelay)
        target.count = std::max(target.count, requiredReplicas(pass.state, model, count, total));
    if (target.idleSince && pass.now - *target.idleSince >= shrinkDelay) {
        target.count = count - 1;
        target.idleSince = pass.now;
    }
    target.count = std::clamp(target.count, range.minimum, std::max(range.minimum, range.maximum));
}

} // namespace

std::uint32_t replicaCount(const PlannerState& state, const ModelSpec& model)
{
    return static_cast<std::uint32_t>(std::count_if(
        state.groups.begin(), state.groups.end(), [&](const auto& entry) { return isReplica(entry.second, model); }));
}

double demandPerReplica(const PlannerState& state, const ModelSpec& model)
{
    const auto demand = demandOf(state, model);
    return static_cast<double>(demand.waiting + demand.running) / std::max(1U, replicaCount(state, model));
}

void updateTargets(Pass& pass)
{
    for (const auto& model : pass.input.manifest->models)
        updateTarget(pass, model);
}

std::uint32_t targetOf(const PlannerState& state, const ModelSpec& model)
{
    const auto it = state.targets.find({ model.name, model.version });
    return it == state.targets.end() ? 0 : it->second.count;
}

void shrink(Pass& pass)
{
    for (const auto& model : pass.input.manifest->models) {
        auto count = replicaCount(pass.state, model);
        // The newest group is dissolved first: the oldest has the warmest caches.
        for (auto it = pass.state.groups.rbegin(); it != pass.state.groups.rend(); ++it) {
            if (count <= targetOf(pass.state, model))
                break;
            if (!isReplica(it->second, model))
                continue;
            dissolve(pass, it->second, drainTimeout);
            --count;
        }
    }
}

bool canPreempt(const Pass& pass, const Group& group, const ModelSpec& beneficiary)
{
    const auto* model = findModel(pass.input, group);
    if (!model || group.phase != GroupPhase::Serving || group.model == beneficiary.name)
        return false;
    if (replicaCount(pass.state, *model) <= rangeOf(pass.input, *model).minimum)
        return false;
    const bool belowMinimum = replicaCount(pass.state, beneficiary) < rangeOf(pass.input, beneficiary).minimum;
    return belowMinimum || 2 * demandPerReplica(pass.state, *model) < demandPerReplica(pass.state, beneficiary);
}

} // namespace rosemarymill::placement
