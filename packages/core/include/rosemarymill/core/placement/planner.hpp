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

/// Information about a server that is older than this counts as lost.
inline constexpr Duration serverReportTimeout = 3s;
/// Homes report losses themselves, so silence about a server means that its home is lost. The server is then given the
/// time to find another home: two unanswered announcements, the answer that names the home, and an announcement there.
inline constexpr Duration homeChangeTimeout = 6s;
/// After taking over, a leader leaves unknown groups alone for this long, until all their members have reported.
inline constexpr Duration adoptionTime = 2s;
/// An order without visible effect is sent again after this time.
inline constexpr Duration orderInterval = 1s;
/// Time after which an unanswered order no longer blocks the next one to the same server.
inline constexpr Duration orderTimeout = 2s;
/// Refusals in a row after which a server is left alone for avoidTime.
inline constexpr std::uint32_t maxRefusals = 3;
inline constexpr Duration avoidTime = 30s;
/// A member that holds its weights confirms the group within this time, or counts as stuck.
inline constexpr Duration confirmTimeout = 15s;
/// A load may take this much longer than the weight store's rate implies before the server counts as stuck.
inline constexpr Duration loadGrace = 60s;
/// Callers must have waited this long before a model gets more replicas.
inline constexpr Duration growDelay = 1s;
/// Demand must have been below half of the remaining capacity for this long before a replica is given up.
inline constexpr Duration shrinkDelay = 60s;
/// Longest time that a stopped group may take to finish its requests, by reason of the stop.
inline constexpr Duration drainTimeout = 60s;
inline constexpr Duration sacrificeDrainTimeout = 5s;
/// Longest time that servers are reserved: draining, leaving and a report.
inline constexpr Duration reservationTimeout = 12s;

/// Server as the leader knows it.
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
    /// Weights that the server was told to load and does not hold yet.
    std::optional<std::pair<ModelName, std::string>> loading;
    Instant loadDeadline;
};

/// Group with the leader's own notes.
struct PlannedGroup {
    Group group;
    /// When the phase was entered.
    Instant since;
    /// Requests in flight may finish until then before the members are told to leave.
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

/// Servers of one domain that are kept for a model while other groups make room for it.
struct Reservation {
    FabricDomainId domain;
    ModelName model;
    Instant until;
};

/// What the leader plans for.
struct PlannerInput {
    /// This process. It is told at once of losses among the servers whose home it is.
    VmId self;
    DataCentreId dataCentre;
    const configuration::Manifest* manifest { nullptr };
    /// The data centre is out of service: nothing is formed and all groups end.
    bool dataCentreOutOfService { false };
    std::set<VmId> outOfServiceVms;
};

struct PlannerState {
    /// Number under which orders are given.
    FencingNumber fencing;
    std::uint32_t lastGroup { 0 };
    std::uint64_t lastOrder { 0 };
    std::map<ServerId, ServerRecord> servers;
    std::map<GroupId, PlannedGroup> groups;
    std::map<ModelName, Demand> demand;
    std::map<std::pair<ModelName, std::string>, ReplicaTarget> targets;
    std::optional<Reservation> reservation;
    /// When the weight store has handed out all weights ordered so far.
    Instant storeFreeAt;
    /// The planner decides only while the leader acts; before, it collects reports.
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

/// Reports have settled after the lease was acquired. Groups whose members all confirm them are taken over.
struct ActingStarted {
    Instant now;
    FencingNumber fencing;
    /// Groups as this process knew them from the previous leader.
    GroupTable known;
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
