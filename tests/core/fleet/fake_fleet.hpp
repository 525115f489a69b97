#pragma once

#include <rosemarymill/core/fleet/control.hpp>
#include <rosemarymill/core/fleet/machine.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Simulated model servers in virtual time that execute the orders of a control VM. They check these invariants: a
/// group opens only after all its members were ready, no server joins another group while the head of its group is
/// open, and no target drains or is out of service.
namespace rosemarymill::tests {

struct FleetOptions {
    std::uint64_t seed { 1 };
    unsigned domains { 2 };
    unsigned serversPerDomain { 11 };
    /// Servers of a plain service.
    unsigned plainServers { 0 };
    /// Probability that the answer to an order is lost, and that an order is executed late.
    double lostAnswers { 0 };
    double lateOrders { 0 };
    Duration maxOrderDelay { 4500ms };
    /// Servers reject orders with a lower fencing number than one that they have seen.
    bool checksFencing { true };
    /// Probability that a heartbeat is delayed, by at most this time, and that a delayed one arrives twice.
    double lateHeartbeats { 0.05 };
    Duration maxHeartbeatDelay { 3s };
    double repeatedHeartbeats { 0 };
    /// A new leader does not get the stored groups, or departures.
    bool losesGroups { false };
    bool losesDepartures { false };
    /// Servers report that they are ready before they are.
    bool reportsTooEarly { false };
    /// Heartbeats of draining servers do not report it, and the leader is not notified of data centres taken out of
    /// service.
    bool hidesDrains { false };
    fleet::ControlSettings settings;
};

class FakeFleet {
public:
    struct Server {
        fleet::ServerRecord record;
        bool alive { true };
        /// Partitioned from the control VM, but still running.
        bool partitioned { false };
        /// Has sent a leave notice and sends no more heartbeats.
        bool left { false };
        std::vector<ServerId> members;
        ModelName model;
        ModelName lastModel;
        std::uint64_t highestEpoch { 0 };
        std::uint64_t highestFencing { 0 };
        Instant readyAt;
        std::optional<Instant> openAt;
        /// Last group that the server left; its head is stalled until it breaks.
        std::optional<fleet::Membership> leftGroup;
        Instant nextHeartbeat;
        /// Head: since when a member is missing.
        std::optional<Instant> missingSince;
        /// End of the server's cold start.
        Instant coldUntil;
    };

    explicit FakeFleet(const FleetOptions& options)
        : m_options(options)
        , m_random(static_cast<std::minstd_rand::result_type>(m_options.seed))
        , control(m_options.settings)
    {
        for (unsigned domain = 0; domain < m_options.domains; ++domain) {
            for (unsigned i = 0; i < m_options.serversPerDomain; ++i)
                addServer("domain-" + std::to_string(domain));
        }
        for (unsigned i = 0; i < m_options.plainServers; ++i) {
            auto& record = servers.at(addServer({})).record;
            record.service = ServiceName { "desk" };
            record.dataCentre = DataCentreId { "centre" };
        }
    }

    ServerId addServer(const std::string& domain)
    {
        ServerId id { "server-" + std::to_string(++m_created) };
        auto& server = servers[id];
        server.record.id = id;
        server.record.startedAtMs = nowMs();
        server.record.service = ServiceName { "llm" };
        server.record.address = id.text();
        server.record.dataCentre = DataCentreId { "centre-of-" + domain };
        server.record.domain = FabricDomainId { domain };
        server.nextHeartbeat = now + randomUpTo(1200ms);
        return id;
    }

    void lead(std::uint64_t term)
    {
        m_drainsOfLeader.clear();
        electWithout(m_uncommitted.size());
        decide(fleet::event::LeadershipChanged { now, true, term,
            m_options.losesGroups ? fleet::GroupRecords {} : machine.state().groups,
            m_options.losesDepartures ? fleet::DepartureTable {} : machine.state().departures });
        decide(fleet::event::DocumentChanged { now, table() });
        if (!m_options.hidesDrains)
            decide(fleet::event::OutOfServiceChanged { now, outOfService });
    }

    /// The leader is lost. Of the commands that it had not committed, the log keeps some of the first.
    void stepDown()
    {
        electWithout(std::uniform_int_distribution<std::size_t>(0, m_uncommitted.size())(m_random));
        decide(fleet::event::LeadershipChanged { now, false, 0 });
    }

    void run(Duration time)
    {
        for (const auto end = now + time; now < end; now += step)
            advance();
    }

    void kill(const ServerId& id) { servers.at(id).alive = false; }

    /// The server is cold for `time`, and reports it at once.
    void makeCold(const ServerId& id, Duration time)
    {
        auto& server = servers.at(id);
        server.coldUntil = now + time;
        server.nextHeartbeat = now;
    }

    /// The server's process starts again under the same id. Its host keeps the staged weights.
    void restart(const ServerId& id)
    {
        auto& server = servers.at(id);
        auto record = server.record;
        server = {};
        // A server that has just left is not back within the same millisecond.
        record.startedAtMs = nowMs() + 1;
        record.sequence = 0;
        record.draining = false;
        record.group.reset();
        record.loaded.clear();
        server.record = std::move(record);
        server.nextHeartbeat = now;
    }

    /// The server announces that it drains, and the leader acknowledges.
    void drain(const ServerId& id)
    {
        auto& server = servers.at(id);
        server.record.draining = true;
        ++server.record.sequence;
        auto record = server.record;
        record.draining = !m_options.hidesDrains;
        decide(fleet::event::HeartbeatReceived { now, record });
        const fleet::Departure departure { id, record.startedAtMs };
        acknowledgeOnceStored(departure, departure);
    }

    /// The server announces that it ends, and the leader acknowledges. It serves on and sends no more heartbeats.
    void leave(const ServerId& id)
    {
        servers.at(id).left = true;
        if (!control.leads())
            return;
        const auto departure = control.registry().departureOf(id, nowMs());
        decide(fleet::event::ServerLeft { now, departure });
        acknowledgeOnceStored({ id, servers.at(id).record.startedAtMs }, departure);
    }

    /// Whether the server runs, and has not announced that it drains or ends.
    [[nodiscard]] bool stays(const ServerId& id) const
    {
        const auto& server = servers.at(id);
        return server.alive && !server.left && !server.record.draining;
    }

    void setOutOfService(std::set<DataCentreId> dataCentres)
    {
        outOfService = std::move(dataCentres);
        if (!m_options.hidesDrains)
            decide(fleet::event::OutOfServiceChanged { now, outOfService });
    }

    /// Open heads with all their members.
    [[nodiscard]] std::vector<ServerId> openHeads() const
    {
        std::vector<ServerId> heads;
        for (const auto& [id, server] : servers) {
            if (server.alive && server.record.group && server.record.group->state == fleet::MemberState::Open
                && !server.missingSince)
                heads.push_back(id);
        }
        return heads;
    }

    [[nodiscard]] std::size_t openGroups(const std::string& model) const
    {
        const auto heads = openHeads();
        return static_cast<std::size_t>(std::count_if(
            heads.begin(), heads.end(), [&](const auto& it) { return servers.at(it).model == ModelName { model }; }));
    }

    /// Routing table with a large and a small model, and further ones.
    static std::shared_ptr<const routes::Table> table(const std::vector<routes::EngineModel>& furtherModels = {})
    {
        routes::Document document;
        routes::Service service;
        service.name = ServiceName { "llm" };
        routes::Engine engine;
        engine.slots = 26;
        engine.models = { { ModelName { "large" }, 6, 0.67, 1.0, 16s, 1600ms },
            { ModelName { "small" }, 3, 0.33, 0.6, 12s, 1100ms } };
        engine.models.insert(engine.models.end(), furtherModels.begin(), furtherModels.end());
        engine.loadsPerSecond = 5.5;
        engine.concurrentLoads = 8;
        engine.formation = 300ms;
        service.engine = engine;
        document.services.push_back(service);
        routes::Service plain;
        plain.name = ServiceName { "desk" };
        document.services.push_back(plain);
        return std::make_shared<routes::Table>(std::move(document));
    }

    void decide(const fleet::ControlEvent& event)
    {
        fleet::Control::Effects effects;
        control.reduce(event, effects);
        for (auto& effect : effects) {
            if (auto* order = std::get_if<fleet::effect::SendOrder>(&effect))
                deliver(order->server, order->order);
            else if (auto* stored = std::get_if<fleet::effect::StoreGroup>(&effect))
                propose(fleet::StoreGroup { {}, stored->group }, [this, group = stored->group] {
                    decide(fleet::event::GroupStored { now, group, true });
                });
            else if (auto* erased = std::get_if<fleet::effect::EraseGroup>(&effect))
                propose(fleet::EraseGroup { {}, erased->name, erased->epoch }, [] {});
            else if (auto* probe = std::get_if<fleet::effect::ProbeServer>(&effect))
                answerProbe(probe->server, probe->timeout);
            else if (auto* targets = std::get_if<fleet::effect::PublishTargets>(&effect))
                published.push_back(targets->delta);
        }
        checkTargets();
    }

private:
    static constexpr Duration step = 50ms;
    static constexpr Duration networkDelay = 2ms;
    static constexpr Duration minOrderDelay = 500ms;

    using State = fleet::MemberState;
    using Result = fleet::event::OrderResult;

    FleetOptions m_options;
    std::minstd_rand m_random;
    unsigned m_created { 0 };
    std::multimap<Instant, std::function<void()>> m_scheduled;
    /// Members that were ready, by group and epoch.
    std::map<std::pair<std::string, std::uint64_t>, std::set<ServerId>> m_wereReady;
    /// Processes of draining servers acknowledged by any leader, and by the current one.
    std::set<std::pair<ServerId, std::int64_t>> m_acknowledgedDrains;
    std::set<std::pair<ServerId, std::int64_t>> m_drainsOfLeader;

    [[nodiscard]] std::int64_t nowMs() const { return now.time_since_epoch() / 1ms; }

    /// Acknowledges the departure of a process to it, once the leader has stored what it takes for this departure.
    void acknowledgeOnceStored(const fleet::Departure& process, const fleet::Departure& stored)
    {
        if (!control.leads())
            return;
        propose(fleet::StoreDeparture { {}, stored }, [this, process] {
            m_acknowledgedDrains.emplace(process.server, process.startedAtMs);
            m_drainsOfLeader.emplace(process.server, process.startedAtMs);
        });
    }

    struct Proposal {
        fleet::Command command;
        std::function<void()> committed;
    };
    std::deque<Proposal> m_uncommitted;

    void propose(fleet::Command command, std::function<void()> committed)
    {
        m_uncommitted.push_back({ std::move(command), std::move(committed) });
    }

    /// Commits what the leader has proposed.
    void commit()
    {
        while (!m_uncommitted.empty()) {
            const auto proposal = std::move(m_uncommitted.front());
            m_uncommitted.pop_front();
            machine.apply(0, proposal.command);
            proposal.committed();
        }
    }

    /// Ends the leader's term. The last `lost` of its uncommitted commands are not in the log of the next leader.
    void electWithout(std::size_t lost)
    {
        m_uncommitted.resize(m_uncommitted.size() - lost);
        for (const auto& it : m_uncommitted)
            machine.apply(0, it.command);
        m_uncommitted.clear();
    }

    Duration randomUpTo(Duration most)
    {
        return Duration { std::uniform_int_distribution<Duration::rep>(0, most.count())(m_random) };
    }

    bool chance(double probability) { return std::bernoulli_distribution(probability)(m_random); }

    void schedule(Duration delay, std::function<void()> action) { m_scheduled.emplace(now + delay, std::move(action)); }

    void advance()
    {
        commit();
        while (!m_scheduled.empty() && m_scheduled.begin()->first <= now) {
            const auto action = std::move(m_scheduled.begin()->second);
            m_scheduled.erase(m_scheduled.begin());
            action();
        }
        for (auto& [id, server] : servers) {
            if (server.alive)
                advanceServer(server);
        }
        decide(fleet::event::Tick { now });
    }

    void advanceServer(Server& server)
    {
        auto& group = server.record.group;
        const bool early = m_options.reportsTooEarly && group && group->state == State::Joining;
        if (group && group->state == State::Joining && now >= server.readyAt) {
            setState(server, State::Ready);
            server.lastModel = server.model;
            m_wereReady[{ group->group, group->epoch }].insert(server.record.id);
        } else if (early) {
            setState(server, State::Ready);
        }
        if (server.openAt && now >= *server.openAt) {
            server.openAt.reset();
            checkComplete(server);
            setState(server, State::Open);
        }
        if (group && group->rank == 0 && group->state == State::Open)
            checkMembers(server);
        if (now >= server.nextHeartbeat && !server.left)
            sendHeartbeat(server);
    }

    /// A head with a missing member stays open, and breaks after the stall time.
    void checkMembers(Server& head)
    {
        const auto& group = *head.record.group;
        const bool isComplete = std::all_of(head.members.begin(), head.members.end(), [&](const auto& it) {
            const auto& member = servers.at(it);
            return member.alive && member.record.isMemberOf(group.group, group.epoch);
        });
        if (isComplete)
            head.missingSince.reset();
        else if (!head.missingSince)
            head.missingSince = now;
        else if (now >= *head.missingSince + 5s)
            setState(head, State::Broken);
    }

    void setState(Server& server, State state)
    {
        server.record.group->state = state;
        server.nextHeartbeat = now;
    }

    void sendHeartbeat(Server& server)
    {
        server.nextHeartbeat = now + 1200ms;
        ++server.record.sequence;
        server.record.coldLeft = std::max(server.coldUntil - now, Duration::zero());
        if (server.partitioned)
            return;
        const auto deliverAfter = [&](Duration delay) {
            schedule(delay, [this, record = server.record] {
                decide(fleet::event::HeartbeatReceived { now, record });
            });
        };
        const bool late = chance(m_options.lateHeartbeats);
        deliverAfter(late ? randomUpTo(m_options.maxHeartbeatDelay) : networkDelay);
        if (m_options.repeatedHeartbeats > 0 && chance(m_options.repeatedHeartbeats))
            deliverAfter(randomUpTo(m_options.maxHeartbeatDelay));
    }

    void answerProbe(const ServerId& id, Duration timeout)
    {
        const auto& server = servers.at(id);
        const bool answers = server.alive && !server.partitioned && (lostProbes <= 0 || !chance(lostProbes));
        schedule(answers ? networkDelay : timeout, [this, id, answers] {
            decide(fleet::event::ProbeAnswered {
                now, id, answers ? fleet::event::ProbeResult::Alive : fleet::event::ProbeResult::TimedOut });
        });
    }

    void deliver(const ServerId& id, const fleet::Order& order)
    {
        auto& server = servers.at(id);
        const auto answer = [this, id, order](Result result, Duration delay) {
            schedule(delay, [this, id, order, result] {
                decide(fleet::event::OrderAnswered { now, id, order, result });
            });
        };
        if (!server.alive || server.partitioned)
            return answer(Result::Unknown, 600ms);
        auto delay = orderDelay ? orderDelay(id, order) : std::nullopt;
        if (!delay && chance(m_options.lateOrders))
            delay = minOrderDelay + randomUpTo(m_options.maxOrderDelay - minOrderDelay);
        if (delay) {
            schedule(*delay, [this, id, order] {
                if (servers.at(id).alive)
                    static_cast<void>(execute(servers.at(id), order));
            });
            return answer(Result::Unknown, 600ms);
        }
        const auto result = execute(server, order);
        if (chance(m_options.lostAnswers))
            answer(Result::Unknown, 600ms);
        else
            answer(result, networkDelay);
    }

    Result execute(Server& server, const fleet::Order& order)
    {
        if (m_options.checksFencing && order.fencing.value < server.highestFencing)
            return Result::Fenced;
        server.highestFencing = order.fencing.value;
        switch (order.kind) {
        case fleet::OrderKind::Join:
            return join(server, order);
        case fleet::OrderKind::Stage:
            schedule(16s, [&server, model = order.model] { server.record.staged = { model }; });
            return Result::InProgress;
        case fleet::OrderKind::Open:
        case fleet::OrderKind::Close:
        case fleet::OrderKind::Leave:
            break;
        }
        if (!server.record.isMemberOf(order.group, order.epoch))
            return Result::Conflict;
        if (order.kind == fleet::OrderKind::Leave) {
            server.leftGroup = server.record.group;
            server.record.group.reset();
            server.openAt.reset();
            server.nextHeartbeat = now;
            return Result::Done;
        }
        auto& group = *server.record.group;
        if (order.kind == fleet::OrderKind::Open) {
            if (group.state == State::Open || server.openAt)
                return Result::Done;
            if (group.state != State::Ready || group.rank != 0)
                return Result::Conflict;
            server.openAt = now + 300ms;
            return Result::InProgress;
        }
        if (group.state == State::Open) {
            setState(server, State::Ready);
            server.missingSince.reset();
            return Result::InProgress;
        }
        // A formation that has begun continues.
        return Result::Done;
    }

    Result join(Server& server, const fleet::Order& order)
    {
        if (order.epoch < server.highestEpoch)
            return Result::Fenced;
        if (server.record.isMemberOf(order.group, order.epoch))
            return server.members == order.members ? Result::Done : Result::Fenced;
        checkFree(server);
        server.highestEpoch = order.epoch;
        const bool staged = server.record.holds(order.model);
        server.readyAt = now
            + (server.lastModel == order.model ? Duration { 200ms }
                    : staged                   ? Duration { 1500ms }
                                               : Duration { 12s });
        if (!staged && server.lastModel != order.model)
            server.record.staged = { order.model };
        server.record.loaded = { order.model };
        server.model = order.model;
        server.members = order.members;
        server.openAt.reset();
        server.missingSince.reset();
        const auto rank
            = std::find(order.members.begin(), order.members.end(), server.record.id) - order.members.begin();
        server.record.group
            = fleet::Membership { order.group, order.epoch, static_cast<unsigned>(rank), State::Joining };
        server.nextHeartbeat = now;
        return Result::InProgress;
    }

    /// Checks that the head of the server's current or last group is not open.
    void checkFree(const Server& server)
    {
        const auto& present = server.record.group ? server.record.group : server.leftGroup;
        if (!present || server.members.empty())
            return;
        const auto& group = *present;
        const auto& head = servers.at(server.members.front());
        if (head.alive && head.record.isMemberOf(group.group, group.epoch)
            && (head.record.group->state == State::Open || head.record.group->state == State::Closing))
            violations.push_back(server.record.id.text() + " joins another group while " + group.group + " serves");
    }

    /// Checks that no target is out of service and that no head or member of its group drains, once that was
    /// acknowledged. Requests reach heads only, so a later leader may learn of another draining member by its next
    /// heartbeat.
    void checkTargets()
    {
        for (const auto& [id, target] : control.targets()) {
            if (outOfService.contains(target.dataCentre))
                violations.push_back(id.text() + " is used in " + target.dataCentre.text());
            if (m_acknowledgedDrains.contains({ id, std::stoll(target.bootId.text()) }))
                violations.push_back(id.text() + " is used although it drains");
            const auto& head = servers.at(id);
            const auto& group = head.record.group;
            for (const auto& it : head.members) {
                const auto& member = servers.at(it).record;
                const bool uses = group && member.isMemberOf(group->group, group->epoch);
                const auto& drains = it == id ? m_acknowledgedDrains : m_drainsOfLeader;
                if (uses && drains.contains({ it, member.startedAtMs }))
                    violations.push_back(id.text() + " is used while " + it.text() + " drains");
            }
        }
    }

    void checkComplete(const Server& head)
    {
        const auto& group = *head.record.group;
        const auto& ready = m_wereReady[{ group.group, group.epoch }];
        const bool complete
            = std::all_of(head.members.begin(), head.members.end(), [&](const auto& it) { return ready.contains(it); });
        if (!complete)
            violations.push_back(group.group + " serves without having been complete");
    }

public:
    Instant now { 100s };
    std::map<ServerId, Server> servers;
    fleet::Control control;
    /// State of the control log.
    fleet::Machine machine;
    std::set<DataCentreId> outOfService;
    /// Probability that a probe is answered too late, as on a congested connection of the leader.
    double lostProbes { 0 };
    /// Selects orders that are not answered and are executed after the returned time.
    std::function<std::optional<Duration>(const ServerId&, const fleet::Order&)> orderDelay;
    std::vector<std::string> violations;
    std::vector<fleet::TargetDelta> published;
};

} // namespace rosemarymill::tests
