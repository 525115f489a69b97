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
[[nodiscard]] std::uint32_t countOtherModels(const backend::Announcement& server, const ModelSpec& model);
[[nodiscard]] bool fits(const backend::Announcement& server, const ModelSpec& model);
[[nodiscard]] bool isUsable(const Pass& pass, const ServerRecord& record);
[[nodiscard]] bool isFree(const Pass& pass, const ServerRecord& record);
/// Fills in the occupied VMs and the engines of each domain.
void indexServers(Pass& pass);
void dropStaleServers(Pass& pass);
/// Orders servers to leave groups that are missing from the leader's table.
void evictStrayServers(Pass& pass);
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
/// Advances the phase of each group according to its members' announcements, and repeats orders.
void updatePhases(Pass& pass);
/// Takes over the groups of the previous leader that all their members confirm.
void takeOverGroups(Pass& pass, const GroupTable& previousGroups);
/// Takes over complete groups that are missing from the previous leader's table, if only one model matches them.
void takeOverUnlistedGroups(Pass& pass);

// demand.cpp
[[nodiscard]] std::uint32_t replicaCount(const PlannerState& state, const ModelSpec& model);
/// Running and waiting requests for the model per replica.
[[nodiscard]] double demandPerReplica(const PlannerState& state, const ModelSpec& model);
void updateTargets(Pass& pass);
[[nodiscard]] std::uint32_t targetOf(const PlannerState& state, const ModelSpec& model);
/// Dissolves groups above the target. updatePhases() dissolves the groups whose model or version the manifest no longer
/// names.
void shrink(Pass& pass);
/// Whether the group may be dissolved in favour of another model.
[[nodiscard]] bool canPreempt(const Pass& pass, const Group& group, const ModelSpec& beneficiary);

} // namespace rosemarymill::placement
