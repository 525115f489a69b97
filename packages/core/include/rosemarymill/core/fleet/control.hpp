#pragma once

#include <rosemarymill/core/base/sink.hpp>
#include <rosemarymill/core/fleet/group.hpp>
#include <rosemarymill/core/fleet/group_records.hpp>
#include <rosemarymill/core/fleet/registry.hpp>
#include <rosemarymill/core/routes/table.hpp>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

/// Decisions of the leading control VM: which servers form groups, and to which servers entry VMs may send requests.
namespace rosemarymill::fleet {

/// Timeouts and limits of the leading control VM.
struct ControlSettings {
    /// Interval at which servers send heartbeats.
    Duration heartbeat { 1200ms };
    /// Time after which a head that lost a member stops serving by itself, as the platform specifies it.
    Duration stallTime { 5s };
    /// Margin on `stallTime` for clock differences and for the head's timer.
    Duration stallMargin { 300ms };
    /// Servers without a heartbeat or probe answer for this long are probed. By then the next heartbeat is overdue by
    /// half an interval.
    Duration probeAfter { 1800ms };
    /// Time between probes of an overdue server, and between probes of a member of a suspected group.
    Duration probeInterval { 400ms };
    Duration suspectProbeInterval { 100ms };
    /// Timeouts for the answer to a probe. Members other than the head handle no requests and answer at once, so their
    /// timeout is shorter; it still covers one retransmission of a lost packet.
    Duration probeTimeout { 350ms };
    Duration memberProbeTimeout { 200ms };
    /// Time for which a group is suspected, and its members are probed, after a report of stalled requests. Members
    /// that answered are probed again on a report that comes `reprobeAfter` or later, which is the interval at which
    /// entry VMs repeat their reports.
    Duration suspectDuration { 1s };
    Duration reprobeAfter { 300ms };
    /// Consecutive unanswered probes after which a server counts as dead.
    unsigned deadProbes { 2 };
    /// Minimum interval at which servers of another fabric domain are probed to check the leader's own network
    /// connection.
    Duration referenceWindow { 500ms };
    /// Maximum age of their results. A domain is probed again at the first unanswered probe after `referenceWindow`,
    /// and its results are used until the next one.
    [[nodiscard]] Duration maxReferenceAge() const noexcept { return referenceWindow + probeInterval; }
    /// Servers of each other domain that are probed for this check.
    unsigned referenceProbes { 3 };
    /// Share of the probes of other domains that has to be answered, with the same weight for each domain. Below it,
    /// the leader's own connection is suspected and unanswered probes do not make a server dead.
    double referenceShare { 0.75 };
    /// Servers without a heartbeat or probe answer for this long are removed from the registry.
    Duration removeAfter { 30s };
    /// A new leader waits this long for the memberships in the servers' heartbeats before it closes groups as
    /// incomplete and publishes its complete targets: two heartbeat intervals.
    Duration settle { 2600ms };
    /// A new leader of a later term than the first waits this long before it forms groups: one heartbeat interval and
    /// the time to forward a heartbeat.
    Duration formationDelay { 1500ms };
    /// Time after which an order that has not taken effect is sent again.
    Duration orderRetry { 700ms };
    /// Time beyond the expected join time after which forming the group is cancelled.
    Duration joinMargin { 4s };
    /// A group counts as complete while entry VMs have received bytes from its head within this time: two intervals of
    /// their reports and the time to transmit one.
    Duration progressWindow { 500ms };
};

/// Action that a server is ordered to perform.
enum class OrderKind : std::uint8_t { Join, Open, Close, Leave, Stage };

/// Order to a server. What it does not need for its kind is empty.
struct Order {
    OrderKind kind { OrderKind::Join };
    std::string group;
    std::uint64_t epoch { 0 };
    ModelName model;
    std::vector<ServerId> members;
    /// Close: whether the head drops its queued requests.
    bool shed { false };
    /// Higher than in all earlier orders, so that a server that has received a later order rejects this one.
    FencingNumber fencing;
};

/// Events of the control VM. Only a leader acts on them.
namespace event {

struct HeartbeatReceived {
    Instant now;
    ServerRecord record;
};

/// A server announced that it ends. `Registry::departureOf` tells which of its processes.
struct ServerLeft {
    Instant now;
    Departure departure;
};

struct LeadershipChanged {
    Instant now;
    bool leads { false };
    std::uint64_t term { 0 };
    /// Groups and departures in the control log.
    GroupRecords groups {};
    DepartureTable departures {};
};

/// Outcome of `effect::StoreGroup`. When it is not committed, it may still be committed later.
struct GroupStored {
    Instant now;
    GroupRecord group;
    bool committed { false };
};

struct DocumentChanged {
    Instant now;
    std::shared_ptr<const routes::Table> table;
};

struct OutOfServiceChanged {
    Instant now;
    std::set<DataCentreId> dataCentres;
};

/// Result of an order.
enum class OrderResult : std::uint8_t {
    /// The server accepted the order and is executing it.
    InProgress,
    /// The order is complete, or the server was in the requested state already.
    Done,
    /// The order conflicts with the server's state.
    Conflict,
    /// The server has seen a higher fencing number or epoch.
    Fenced,
    /// Another server uses the address, or no process listens there.
    Gone,
    /// No answer; the order may still be executed later.
    Unknown
};

struct OrderAnswered {
    Instant now;
    ServerId server;
    Order order;
    OrderResult result { OrderResult::Unknown };
};

enum class ProbeResult : std::uint8_t { Alive, Gone, TimedOut };

struct ProbeAnswered {
    Instant now;
    ServerId server;
    ProbeResult result { ProbeResult::TimedOut };
};

/// An entry VM reported that it received bytes from the server.
struct ProgressReported {
    Instant now;
    ServerId server;
};

/// An entry VM reported that its requests at the server are stalled.
struct StallReported {
    Instant now;
    ServerId server;
};

/// Clients started to send requests.
struct TrafficStarted {
    Instant now;
};

struct Tick {
    Instant now;
};

} // namespace event

using ControlEvent = std::variant<event::HeartbeatReceived, event::ServerLeft, event::LeadershipChanged,
    event::DocumentChanged, event::OutOfServiceChanged, event::GroupStored, event::OrderAnswered, event::ProbeAnswered,
    event::ProgressReported, event::StallReported, event::TrafficStarted, event::Tick>;

/// Effects of the control VM.
namespace effect {

struct SendOrder {
    ServerId server;
    std::string address;
    Order order;
};

/// Stores a group in the control log; `event::GroupStored` has the outcome.
struct StoreGroup {
    GroupRecord group;
};

/// Removes a group from the control log.
struct EraseGroup {
    std::string name;
    std::uint64_t epoch { 0 };
};

struct ProbeServer {
    ServerId server;
    std::string address;
    /// Time to wait for an answer.
    Duration timeout {};
};

struct PublishTargets {
    TargetDelta delta;
};

/// Decision for the log: the event, its subject, and the reason with its inputs.
struct LogDecision {
    std::string decision;
    std::string subject;
    std::string reason;
};

} // namespace effect

using ControlEffect = std::variant<effect::SendOrder, effect::StoreGroup, effect::EraseGroup, effect::ProbeServer,
    effect::PublishTargets, effect::LogDecision>;

/// Reducer of the leading control VM.
class Control {
public:
    using Effects = EffectList<ControlEffect>;

    explicit Control(ControlSettings settings)
        : m_settings(settings)
    {
    }

    /// Applies one event and appends its effects.
    void reduce(const ControlEvent& event, Effects& effects);

    [[nodiscard]] bool leads() const noexcept { return m_leads; }
    [[nodiscard]] const Registry& registry() const noexcept { return m_registry; }
    [[nodiscard]] const std::map<std::string, Group>& groups() const noexcept { return m_groups; }
    /// Number of released groups that are still remembered.
    [[nodiscard]] std::size_t releasedGroups() const noexcept { return m_releasedGroups.size(); }
    /// Targets as last published, for new subscribers.
    [[nodiscard]] const std::map<ServerId, Target>& targets() const noexcept { return m_published; }
    /// Whether the targets are complete, so that they may replace those of an earlier leader: true once
    /// `ControlSettings::settle` has passed since this control VM became the leader.
    [[nodiscard]] bool targetsComplete() const noexcept { return m_targetsComplete; }
    /// Whether the server's process has ended, or `deadProbes` probes in a row were not answered.
    [[nodiscard]] bool isDead(const RegisteredServer& server) const;

private:
    void handle(const event::HeartbeatReceived& event, Effects& effects);
    void handle(const event::ServerLeft& event, Effects& effects);
    void handle(const event::LeadershipChanged& event, Effects& effects);
    void handle(const event::DocumentChanged& event, Effects& effects);
    void handle(const event::OutOfServiceChanged& event, Effects& effects);
    void handle(const event::GroupStored& event, Effects& effects);
    void handle(const event::OrderAnswered& event, Effects& effects);
    void handle(const event::ProbeAnswered& event, Effects& effects);
    void handle(const event::ProgressReported& event, Effects& effects);
    void handle(const event::StallReported& event, Effects& effects);
    void handle(const event::TrafficStarted& event, Effects& effects);
    void handle(const event::Tick& event, Effects& effects);

    // Liveness
    [[nodiscard]] bool isAlive(const RegisteredServer& server) const;
    void probe(RegisteredServer& server, Duration timeout, Effects& effects);
    void probeOverdueServers(Effects& effects);
    void probeSuspectGroups(Effects& effects);
    /// Probes some servers of each other domain whose last results are old.
    void probeReferences(const FabricDomainId& domain, Effects& effects);
    /// Whether at least `referenceShare` of the recent probes of the other domains were answered. Otherwise the
    /// leader's own connection may be congested, and a server that does not answer may be alive.
    [[nodiscard]] bool referencesAnswer(const FabricDomainId& domain) const;

    // Groups
    /// Stored group of which the server is a member; null when there is none.
    [[nodiscard]] const GroupRecord* recordOf(const ServerId& server) const;
    /// Adds the group of an earlier leader that the control log holds, with those members that have sent a heartbeat.
    void restoreGroup(const GroupRecord& record, Effects& effects);
    /// Records that a member of a restored group has sent its first heartbeat to this leader.
    static void addMember(Group& group, const GroupRecord& record, const ServerRecord& server);
    /// Adds a group that an earlier leader formed, or a member of it, from a member's heartbeat.
    void recoverGroup(const ServerRecord& record, Effects& effects);
    /// Submits the group, with the last heartbeats of its members, to the control log.
    void storeGroup(Group& group, bool mayBeOpen, Effects& effects);
    /// Removes the group from the control log. None of its members is bound by it any more.
    void eraseGroup(const Group& group, Effects& effects);
    /// Continues to form a recovered group that the earlier leader had not opened yet.
    void continueForming(Group& group);
    void reviewGroups(Effects& effects);
    void reviewJoining(Group& group, Effects& effects);
    void reviewOpening(Group& group, Effects& effects);
    void reviewOpen(Group& group, Effects& effects);
    /// Records that the members of the group may join other groups.
    void releaseGroup(const Group& group, const std::string& reason, Effects& effects);
    /// Whether the membership belongs to a released group, so that its members may join others.
    [[nodiscard]] bool isReleased(const Membership& membership) const;
    /// Whether the server has reported, later than the release of its group, that it serves as the group's head.
    [[nodiscard]] bool servesAfterRelease(const RegisteredServer& server) const;
    /// Whether this holds for the head of the server's group, so that the server must not join another one yet.
    [[nodiscard]] bool headServesAfterRelease(const RegisteredServer& server) const;
    /// Orders a head that serves after the release of its group to leave, and all such heads.
    void orderToLeave(RegisteredServer& head, Effects& effects);
    void endServiceAfterRelease(Effects& effects);
    /// Forgets released groups that no server reports any more.
    void forgetReleasedGroups();
    /// Keeps counting the loads of a cancelled group's members, which continue on their hosts.
    void trackRemainingLoads(const Group& group);
    /// Returns whether the group has ended and its members are free.
    bool reviewClosing(Group& group, Effects& effects);
    bool reviewHeadUnreachable(Group& group, Effects& effects);
    /// Whether each member's process has ended or was removed from the registry.
    [[nodiscard]] bool hasNoRegisteredMember(const Group& group) const;
    void startClosing(Group& group, bool shed, const std::string& reason, Effects& effects);
    /// Why the group cannot serve; empty when it can.
    [[nodiscard]] std::string failureOf(const Group& group) const;
    [[nodiscard]] Group* groupOf(const ServerId& server);
    void order(const ServerId& server, Order order, Effects& effects);
    void orderMember(Group& group, std::size_t rank, OrderKind kind, Effects& effects);
    /// Orders the member to join, unless the head of its last group serves; `reviewJoining` tries again.
    void joinMember(Group& group, std::size_t rank, Effects& effects);
    void leaveMembers(Group& group, Effects& effects);
    [[nodiscard]] bool orderDue(const Group& group, std::size_t rank) const;

    // Placement
    void formGroups(Effects& effects);
    /// Models in the order in which the domain should get groups of them.
    [[nodiscard]] std::vector<routes::EngineModel> modelsByNeed(
        const FabricDomainId& domain, const routes::Service& service) const;
    [[nodiscard]] bool servesIn(const FabricDomainId& domain, const ModelName& model) const;
    bool formGroup(const FabricDomainId& domain, std::vector<RegisteredServer*>& free, const routes::Service& service,
        Effects& effects);
    void startGroup(
        Group group, std::span<RegisteredServer* const> members, const routes::EngineModel& model, Effects& effects);
    [[nodiscard]] Duration joinTime(const RegisteredServer& server, const routes::EngineModel& model) const;
    [[nodiscard]] bool needsLoad(const RegisteredServer& server, const ModelName& model) const;
    void stageSpares(const FabricDomainId& domain, const std::vector<RegisteredServer*>& free,
        const routes::Service& service, Effects& effects);
    bool stage(RegisteredServer& server, const ModelName& model, const routes::Engine& engine, Effects& effects);
    /// Starts the staged model on spare servers, so that they can join a group of it as fast as a former member.
    void startSpares(const std::vector<RegisteredServer*>& free, const routes::Service& service, Effects& effects);
    [[nodiscard]] bool isFree(const RegisteredServer& server) const;
    [[nodiscard]] double need(const routes::Service& service, const routes::EngineModel& model) const;
    /// Epoch above all that this leader or an earlier one has used.
    [[nodiscard]] std::uint64_t nextEpoch() const;
    /// Fencing number above all that this leader or an earlier one has used.
    [[nodiscard]] FencingNumber nextFencingNumber();
    /// Whether an order with this number was sent in the current term, so that its answer still counts.
    [[nodiscard]] bool isOfThisTerm(const FencingNumber& fencing) const noexcept;
    /// Counts `count` new loads against the limits of the weight store. Returns false when they exceed a limit.
    [[nodiscard]] bool reserveLoads(const routes::Engine& engine, unsigned count);
    [[nodiscard]] unsigned runningLoads() const;

    // Targets
    void publish(bool full, Effects& effects);
    [[nodiscard]] std::map<ServerId, Target> currentTargets() const;
    void log(std::string decision, std::string subject, std::string reason, Effects& effects) const;

    ControlSettings m_settings;
    Instant m_now;
    bool m_leads { false };
    std::uint64_t m_term { 0 };
    Instant m_leadsSince;
    bool m_targetsComplete { false };
    bool m_traffic { false };
    std::uint64_t m_lastEpoch { 0 };
    std::uint64_t m_lastFencingNumber { 0 };
    Registry m_registry;
    std::map<std::string, Group> m_groups;
    /// Groups in the control log, by name.
    std::map<std::string, GroupRecord> m_groupRecords;
    struct ReleasedGroup {
        std::uint64_t epoch { 0 };
        Instant at;
    };
    /// Groups that this leader has released, by name.
    std::map<std::string, ReleasedGroup> m_releasedGroups;
    /// Loads outside the joins of a group: the model that each host loads, and since when.
    std::map<ServerId, std::pair<ModelName, Instant>> m_staging;
    std::shared_ptr<const routes::Table> m_table;
    std::set<DataCentreId> m_outOfService;
    std::map<ServerId, Target> m_published;
    /// Ends of the cold starts of these targets, as entry VMs know them.
    std::map<ServerId, Instant> m_publishedColdUntil;
    /// Heads of groups that were closed because of a failure, until the next heartbeat of each. They are published as
    /// lost instead of withdrawn.
    std::set<ServerId> m_lostTargets;
    /// Results of probes that are at most `ControlSettings::maxReferenceAge` old.
    struct ProbeResult {
        Instant at;
        FabricDomainId domain;
        bool answered { false };
    };
    std::deque<ProbeResult> m_probeResults;
    /// Last time that an entry VM reported bytes from a server that is not registered, such as the head of a group of
    /// which only other members have sent a heartbeat to this leader.
    Instant m_unregisteredProgressAt;
    /// Last time that unanswered probes were logged as ignored.
    Instant m_ignoredProbesLoggedAt;
    Instant m_releasedGroupsReviewedAt;
    /// Start times of the loads within the last load window, since client traffic started.
    std::deque<Instant> m_loadStarts;
};

} // namespace rosemarymill::fleet
