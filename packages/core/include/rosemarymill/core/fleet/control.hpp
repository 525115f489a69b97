#pragma once

#include <rosemarymill/core/base/sink.hpp>
#include <rosemarymill/core/fleet/group.hpp>
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

/// Decisions of the control VM that leads: which servers form groups, and which servers entry VMs may use.
namespace rosemarymill::fleet {

/// Choices and bounds of the control VM.
struct ControlSettings {
    /// Interval at which servers send heartbeats.
    Duration heartbeat { 1200ms };
    /// Time after which a head that lost a member stops serving by itself, from the platform's bounds.
    Duration stallTime { 5s };
    /// Margin on the stall time for clocks and for the head's timer.
    Duration stallMargin { 300ms };
    /// Servers that are silent for this long are probed: half a heartbeat interval over the next one due.
    Duration probeAfter { 1800ms };
    /// Time between probes of one server, and of members of a group whose requests are stuck.
    Duration probeInterval { 400ms };
    Duration suspectProbeInterval { 100ms };
    /// Time for an answer to a probe. Members other than the head do no work of their own and answer at once, even when
    /// a lost packet is sent again.
    Duration probeTimeout { 350ms };
    Duration memberProbeTimeout { 200ms };
    /// Time for which the members of a group are probed after a report of stuck requests. Those that answer are probed
    /// again after the interval at which an entry VM repeats its report.
    Duration suspicion { 1s };
    Duration suspicionRepeat { 300ms };
    /// Unanswered probes after which a server counts as dead.
    unsigned deadProbes { 2 };
    /// Answers to probes of other fabric domains are this old at most when they show that the leader itself can be
    /// reached.
    Duration referenceWindow { 500ms };
    /// Servers of each other domain that are probed for that.
    unsigned referenceProbes { 3 };
    /// Part of the probes of other domains that has to be answered, each domain counting alike.
    double referenceShare { 0.75 };
    /// Servers that are silent for this long are forgotten.
    Duration forgetAfter { 30s };
    /// A new leader waits this long for the servers' memberships before it judges groups: two heartbeat intervals.
    Duration settle { 2600ms };
    /// The same before it forms groups of the servers that it has heard of: one heartbeat interval and the way of a
    /// call that is passed on.
    Duration firstHearing { 1500ms };
    /// Orders without an answer are repeated after this time.
    Duration orderRetry { 700ms };
    /// Time beyond the expected one after which a join that is not ready is given up.
    Duration joinMargin { 4s };
    /// A group whose head moved bytes this recently is whole: two reports of entry VMs and the way.
    Duration progressWindow { 500ms };
};

/// What a server is told to do.
enum class OrderKind : std::uint8_t { Join, Open, Close, Leave, Stage };

struct Order {
    OrderKind kind { OrderKind::Join };
    std::string group;
    std::uint64_t epoch { 0 };
    ModelName model;
    std::vector<ServerId> members;
    /// Close: whether the head drops the work that waits.
    bool shed { false };
    FencingNumber fencing;
};

/// Events of the control VM. Only a leader acts on them.
namespace event {

struct HeartbeatReceived {
    Instant now;
    ServerRecord record;
};

struct ServerLeft {
    Instant now;
    ServerId server;
};

struct LeadershipChanged {
    Instant now;
    bool leads { false };
    std::uint64_t term { 0 };
};

struct DocumentChanged {
    Instant now;
    std::shared_ptr<const routes::Table> table;
};

struct OutOfServiceChanged {
    Instant now;
    std::set<DataCentreId> dataCentres;
};

/// How a server answered an order.
enum class OrderResult : std::uint8_t {
    /// The order has begun.
    InProgress,
    /// The state holds or the order is done.
    Done,
    /// The order does not fit the server's state.
    Conflict,
    /// A higher fencing number or epoch was seen.
    Fenced,
    /// Another server has the address, or none listens there.
    Gone,
    /// No answer; the order may be carried out later.
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

/// An entry VM received bytes of a server.
struct ProgressReported {
    Instant now;
    ServerId server;
};

/// Requests of an entry VM are stuck at a server.
struct StallReported {
    Instant now;
    ServerId server;
};

/// Clients have begun to send requests.
struct TrafficStarted {
    Instant now;
};

struct Tick {
    Instant now;
};

} // namespace event

using ControlEvent = std::variant<event::HeartbeatReceived, event::ServerLeft, event::LeadershipChanged,
    event::DocumentChanged, event::OutOfServiceChanged, event::OrderAnswered, event::ProbeAnswered,
    event::ProgressReported, event::StallReported, event::TrafficStarted, event::Tick>;

/// Effects of the control VM.
namespace effect {

struct SendOrder {
    ServerId server;
    std::string address;
    Order order;
};

struct ProbeServer {
    ServerId server;
    std::string address;
    /// Time for an answer.
    Duration timeout {};
};

struct PublishTargets {
    TargetDelta delta;
};

/// Decision for the log: what was decided, about what, and the inputs.
struct LogDecision {
    std::string decision;
    std::string subject;
    std::string reason;
};

} // namespace effect

using ControlEffect = std::variant<effect::SendOrder, effect::ProbeServer, effect::PublishTargets, effect::LogDecision>;

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
    /// Targets as published, for an entry VM that subscribes.
    [[nodiscard]] const std::map<ServerId, Target>& targets() const noexcept { return m_published; }
    /// Whether the targets are complete, so that they may replace those of an earlier leader.
    [[nodiscard]] bool targetsComplete() const noexcept { return m_targetsComplete; }
    /// Whether the server is known to be gone, or does not answer.
    [[nodiscard]] bool isDead(const KnownServer& server) const;

private:
    void handle(const event::HeartbeatReceived& event, Effects& effects);
    void handle(const event::ServerLeft& event, Effects& effects);
    void handle(const event::LeadershipChanged& event, Effects& effects);
    void handle(const event::DocumentChanged& event, Effects& effects);
    void handle(const event::OutOfServiceChanged& event, Effects& effects);
    void handle(const event::OrderAnswered& event, Effects& effects);
    void handle(const event::ProbeAnswered& event, Effects& effects);
    void handle(const event::ProgressReported& event, Effects& effects);
    void handle(const event::StallReported& event, Effects& effects);
    void handle(const event::TrafficStarted& event, Effects& effects);
    void handle(const event::Tick& event, Effects& effects);

    // Liveness
    [[nodiscard]] bool isAlive(const KnownServer& server) const;
    void probe(KnownServer& server, Duration timeout, Effects& effects);
    void probeSilentServers(Effects& effects);
    void probeSuspectGroups(Effects& effects);
    /// Probes some servers of each other domain whose last results are old.
    void probeReferences(const FabricDomainId& domain, Effects& effects);
    /// Whether most probes of the other domains were answered. If they were not, a server that does not answer may be
    /// alive and the leader's own connection congested.
    [[nodiscard]] bool referencesAnswer(const FabricDomainId& domain) const;

    // Groups
    void adopt(const ServerRecord& record, Effects& effects);
    /// Continues an adopted group that the earlier leader had not opened.
    void continueForming(Group& group);
    void reviewGroups(Effects& effects);
    void reviewJoining(Group& group, Effects& effects);
    void reviewOpening(Group& group, Effects& effects);
    void reviewOpen(Group& group, Effects& effects);
    void released(const Group& group, const std::string& reason, Effects& effects);
    /// Whether a membership belongs to a group that has closed; its members may join others.
    [[nodiscard]] bool isReleased(const Membership& membership) const;
    /// The members' loads go on after the group is given up.
    void keepLoads(const Group& group);
    /// Returns whether the group is finished and its members are free.
    bool reviewClosing(Group& group, Effects& effects);
    bool reviewAbandoned(Group& group, Effects& effects);
    /// Whether all members are gone or silent for long.
    [[nodiscard]] bool isForgotten(const Group& group) const;
    void startClosing(Group& group, bool shed, const std::string& reason, Effects& effects);
    [[nodiscard]] std::string damageOf(const Group& group) const;
    [[nodiscard]] Group* groupOf(const ServerId& server);
    void order(const ServerId& server, Order order, Effects& effects);
    void orderMember(Group& group, std::size_t rank, OrderKind kind, Effects& effects);
    void leaveMembers(Group& group, Effects& effects);
    [[nodiscard]] bool orderDue(const Group& group, std::size_t rank) const;

    // Placement
    void formGroups(Effects& effects);
    /// Models by the order in which a domain should get groups of them.
    [[nodiscard]] std::vector<routes::EngineModel> modelsByNeed(
        const FabricDomainId& domain, const routes::Service& service) const;
    [[nodiscard]] bool servesIn(const FabricDomainId& domain, const ModelName& model) const;
    bool formGroup(const FabricDomainId& domain, std::vector<KnownServer*>& free, const routes::Service& service,
        Effects& effects);
    void startGroup(
        Group group, std::span<KnownServer* const> members, const routes::EngineModel& model, Effects& effects);
    [[nodiscard]] Duration joinTime(const KnownServer& server, const routes::EngineModel& model) const;
    [[nodiscard]] bool needsLoad(const KnownServer& server, const ModelName& model) const;
    void stageSpares(const FabricDomainId& domain, const std::vector<KnownServer*>& free,
        const routes::Service& service, Effects& effects);
    bool stage(KnownServer& server, const ModelName& model, const routes::Engine& engine, Effects& effects);
    /// Starts the staged model on spare servers, so that they join a group of it as fast as its former members.
    void startSpares(const std::vector<KnownServer*>& free, const routes::Service& service, Effects& effects);
    [[nodiscard]] bool isFree(const KnownServer& server) const;
    [[nodiscard]] double need(const routes::Service& service, const routes::EngineModel& model) const;
    /// Above all epochs that this leader or an earlier one has used.
    [[nodiscard]] std::uint64_t nextEpoch() const;
    [[nodiscard]] bool takeLoads(const routes::Engine& engine, unsigned count);
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
    Registry m_registry;
    std::map<std::string, Group> m_groups;
    /// Epochs of the groups that this leader has released, by name.
    std::map<std::string, std::uint64_t> m_released;
    /// Model that each host loads beside a group's own joins, and since when.
    std::map<ServerId, std::pair<ModelName, Instant>> m_staging;
    std::shared_ptr<const routes::Table> m_table;
    std::set<DataCentreId> m_outOfService;
    std::map<ServerId, Target> m_published;
    std::set<ServerId> m_lost;
    /// Results of probes within the reference window.
    struct ProbeResult {
        Instant at;
        FabricDomainId domain;
        bool answered { false };
    };
    std::deque<ProbeResult> m_probeResults;
    /// Last time that an entry VM received bytes of a server that this leader has not heard of, such as the head of a
    /// group whose other members have called already.
    Instant m_unheardProgressAt;
    /// Last time that unanswered probes were logged as the leader's own fault.
    Instant m_ignoredLoggedAt;
    /// Starts of loads within the last window.
    std::deque<Instant> m_loadStarts;
};

} // namespace rosemarymill::fleet
