#pragma once

#include <rosemarymill/core/placement/planner.hpp>

/// Parts of the planner that do not depend on the policy.
namespace rosemarymill::placement {

using configuration::ModelSpec;
using ModelKey = std::pair<ModelName, std::string>;

/// One pass of the planner over its state.
struct Pass {
    PlannerState& state;
    const PlannerInput& input;
    Instant now;
    PlannerEffects& effects;
    /// VMs that belong to a group or whose server announces one.
    std::set<VmId> occupied;
    /// Engines of each fabric domain.
    std::map<FabricDomainId, std::vector<ServerRecord*>> byDomain;
};

// servers.cpp
[[nodiscard]] bool holds(const backend::Announcement& server, const ModelSpec& model);
[[nodiscard]] std::uint32_t otherModels(const backend::Announcement& server, const ModelSpec& model);
[[nodiscard]] bool fits(const backend::Announcement& server, const ModelSpec& model);
[[nodiscard]] bool isUsable(const Pass& pass, const ServerRecord& record);
[[nodiscard]] bool isFree(const Pass& pass, const ServerRecord& record);
/// Fills in the occupied VMs and the engines of each domain.
void indexServers(Pass& pass);
void dropStaleServers(Pass& pass);
/// Tells servers to leave groups that the leader does not know.
void dismissStrays(Pass& pass);
/// Sends an order unless another one to the same server awaits its answer. Returns whether it was sent.
bool giveOrder(Pass& pass, ServerRecord& record, backend::Order order);
[[nodiscard]] ServerRecord* findServer(PlannerState& state, const ServerId& server);

// groups.cpp
[[nodiscard]] const ModelSpec* findModel(const PlannerInput& input, const Group& group);
[[nodiscard]] configuration::ReplicaRange rangeOf(const PlannerInput& input, const ModelSpec& model);
[[nodiscard]] bool memberIntact(Pass& pass, const Member& member);
[[nodiscard]] Member memberOf(const backend::Announcement& server);
void setPhase(Pass& pass, PlannedGroup& planned, GroupPhase phase);
Group& createGroup(Pass& pass, const ModelSpec& model, const FabricDomainId& domain, std::vector<Member> members);
void dissolve(Pass& pass, PlannedGroup& planned, Duration drain);
/// Moves each group to its next phase by what its members report, and repeats orders.
void updatePhases(Pass& pass);
/// Takes over the groups whose members all confirm them.
void adoptGroups(Pass& pass, const GroupTable& known);
/// Takes over complete groups that no former leader's table names, when their model is beyond doubt.
void adoptUnknownGroups(Pass& pass);

// demand.cpp
[[nodiscard]] std::uint32_t replicaCount(const PlannerState& state, const ModelSpec& model);
/// Requests that one group of the model serves or keeps waiting.
[[nodiscard]] double costOf(const PlannerState& state, const ModelSpec& model);
void updateTargets(Pass& pass);
[[nodiscard]] std::uint32_t targetOf(const PlannerState& state, const ModelSpec& model);
/// Ends groups above the target and groups that the manifest no longer names.
void shrink(Pass& pass);
/// Whether the group may be given up for the sake of another model.
[[nodiscard]] bool canSacrifice(const Pass& pass, const Group& group, const ModelSpec& beneficiary);

} // namespace rosemarymill::placement
