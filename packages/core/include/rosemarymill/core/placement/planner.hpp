#pragma once

#include <rosemarymill/core/backend/announcement.hpp>
#include <rosemarymill/core/backend/order.hpp>
#include <rosemarymill/core/base/sink.hpp>
#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/core/configuration/manifest.hpp>
#include <rosemarymill/core/placement/group.hpp>
#include <rosemarymill/core/placement/policy.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Decisions of the placement leader: which servers form a group, which weights are loaded, and which groups are
/// repaired or dissolved. Only the holder of the lease runs the planner.
namespace rosemarymill::placement {

/// A server whose home is this process counts as lost after this time without a report.
inline constexpr Duration serverReportTimeout = 3s;
/// The same for servers of other homes. These report losses themselves, so a missing report means that the home has
/// failed. The server then gets the time to find another home: two unanswered announcements, the answer that names the
/// home, and an announcement there.
inline constexpr Duration homeChangeTimeout = 6s;
/// For this long after it starts to act, a leader takes over groups missing from its table once all their members have
/// reported. Only afterwards does it order servers to leave such groups.
inline constexpr Duration takeoverPeriod = 2s;
/// An order whose effect is not announced is sent again after this time.
inline constexpr Duration orderInterval = 1s;
/// Time after which an unanswered order no longer blocks the next one to the same server.
inline constexpr Duration orderTimeout = 2s;
/// Consecutive refusals after which a server is excluded from groups for avoidTime.
inline constexpr std::uint32_t maxRefusals = 3;
inline constexpr Duration avoidTime = 30s;
/// A member that holds its weights confirms the group within this time, or counts as stuck.
inline constexpr Duration confirmTimeout = 15s;
/// A load may take this much longer than the weight store's rate implies before the server counts as stuck.
inline constexpr Duration loadGrace = 60s;
/// Callers must have waited this long before a model gets more replicas.
inline constexpr Duration growDelay = 1s;
/// Demand must have been below half of the remaining capacity for this long before a replica is removed.
inline constexpr Duration shrinkDelay = 60s;
/// Longest time that a dissolving group may take to finish its requests: in general, and when it is preempted for
/// another model.
inline constexpr Duration drainTimeout = 60s;
inline constexpr Duration preemptionDrainTimeout = 5s;
/// Longest time that servers are reserved for a model. It covers draining, leaving and a report.
inline constexpr Duration reservationTimeout = 12s;

/// Server in the leader's view.
struct ServerRecord {
    backend::Announcement announcement;
    Instant lastSeen;
    /// Entry VM that reports the server.
    VmId home;
    /// Not chosen for a group before this instant, because it refused or ignored orders.
    Instant avoidUntil;
    std::uint32_t refusals { 0 };
    /// Order that awaits its answer; zero means none.
    std::uint64_t outstanding { 0 };
    Instant lastOrder;
    /// Whether the last order was answered and accepted.
    bool lastAccepted { false };
    /// Weights that the server was ordered to load and does not hold yet.
    std::optional<std::pair<ModelName, std::string>> loading;
    Instant loadDeadline;
};

/// Group with the state that only the leader keeps.
struct PlannedGroup {
    Group group;
    /// When the phase was entered.
    Instant since;
    /// Requests in flight may finish until then before the members are ordered to leave.
    Instant drainUntil;
};

/// Requests for one model over the whole data centre.
struct Demand {
    std::uint32_t waiting { 0 };
    std::uint32_t running { 0 };

    friend bool operator==(const Demand&, const Demand&) = default;
};

/// Replica count of a model that follows its demand.
struct ReplicaTarget {
    std::uint32_t count { 0 };
    std::optional<Instant> waitingSince;
    std::optional<Instant> idleSince;
};

/// Servers of one domain that are reserved for a model while other groups are preempted for it.
struct Reservation {
    FabricDomainId domain;
    ModelName model;
    Instant until;
};

/// Input of the planner.
struct PlannerInput {
    /// This process. Losses of servers whose home it is reach the planner without delay.
    VmId self;
    DataCentreId dataCentre;
    const configuration::Manifest* manifest { nullptr };
    /// The data centre is out of service: no groups are formed and all are dissolved.
    bool dataCentreOutOfService { false };
    std::set<VmId> outOfServiceVms;
};

struct PlannerState {
    /// Fencing number of the orders.
    FencingNumber fencing;
    std::uint32_t lastGroup { 0 };
    std::uint64_t lastOrder { 0 };
    std::map<ServerId, ServerRecord> servers;
    std::map<GroupId, PlannedGroup> groups;
    std::map<ModelName, Demand> demand;
    std::map<std::pair<ModelName, std::string>, ReplicaTarget> targets;
    std::optional<Reservation> reservation;
    /// When the weight store will have delivered all weights ordered so far.
    Instant storeFreeAt;
    /// The planner decides only after ActingStarted; before, it collects reports.
    bool acting { false };
    Instant actingSince;
};

/// A home reports a server that is new or has changed.
struct ServerReported {
    Instant now;
    VmId home;
    backend::Announcement announcement;
};

/// A home has lost a server.
struct ServerLost {
    Instant now;
    VmId home;
    ServerId server;
};

/// All servers that the home reported are still announcing themselves.
struct HomeServersRefreshed {
    Instant now;
    VmId home;
};

struct DemandReported {
    Instant now;
    std::map<ModelName, Demand> demand;
};

struct OrderResult {
    Instant now;
    ServerId server;
    std::uint64_t orderId { 0 };
    bool accepted { false };
};

/// The time to collect reports after the acquisition of the lease is over. Groups that all their members confirm are
/// taken over.
struct ActingStarted {
    Instant now;
    FencingNumber fencing;
    /// Groups last received from the previous leader.
    GroupTable previousGroups;
};

/// Periodic timer, every 100 ms.
struct PlannerTick {
    Instant now;
};

using PlannerEvent = std::variant<ServerReported, ServerLost, HomeServersRefreshed, DemandReported, OrderResult,
    ActingStarted, PlannerTick>;

struct GiveOrder {
    ServerId server;
    std::string address;
    backend::Order order;
};

/// A group is new or has changed.
struct GroupChanged {
    Group group;
};

struct GroupRemoved {
    GroupId group;
};

struct PlannerNote {
    std::string text;
};

using PlannerEffect = std::variant<GiveOrder, GroupChanged, GroupRemoved, PlannerNote>;
using PlannerEffects = EffectList<PlannerEffect>;

/// Applies one event. Instantiated for WarmSparePolicy and FirstFitPolicy.
template <PlacementPolicy Policy>
void reduce(PlannerState& state, const PlannerInput& input, const PlannerEvent& event, PlannerEffects& effects);

/// Whether a change between two announcements concerns placement. Load and cache events do not.
[[nodiscard]] bool differsForPlacement(const backend::Announcement& a, const backend::Announcement& b);

} // namespace rosemarymill::placement
