#include <rosemarymill/runtime/nodes/control_node.hpp>

#include "crash_reports.hpp"

#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/base/log.hpp>
#include <rosemarymill/wire/agreement/codec.hpp>
#include <rosemarymill/wire/fleet/codec.hpp>

#include <algorithm>
#include <chrono>
#include <stdexcept>

namespace rosemarymill::runtime::nodes {

namespace core = rosemarymill::fleet;

namespace {

/// Interval at which the log's timers are checked.
constexpr timeval tickInterval { 0, 50'000 };

/// Ticks between two reviews of servers and groups: every 100 ms.
constexpr unsigned decisionTicks = 2;

/// Ticks between two reviews of servers at which requests timed out: every 250 ms.
constexpr unsigned crashTicks = 5;

/// Ticks between two counts of the entry VMs: every second.
constexpr unsigned countTicks = 20;

/// Time for a server to answer an order.
constexpr Duration orderTimeout = 600ms;

/// Heartbeat interval of the log's leader. Two heartbeats may be lost within a follower's shortest election timeout.
constexpr Duration logHeartbeat = 200ms;

/// Longest first election timeout after a start. It is short, so that the log soon has a leader after a restart of all
/// control VMs; a working leader sends three heartbeats in this time.
constexpr Duration firstElectionMax = 700ms;

/// Delay of the bootstrap VM's first election. It is short because the other VMs have subscribed already.
constexpr Duration bootstrapDelay = 50ms;

/// Time in which all control VMs of a new system have started and subscribed to the bootstrap VM.
constexpr Duration startupTime = 600ms;

/// Time after which the bootstrap VM no longer waits for as many control VMs as voters are wanted.
constexpr Duration bootstrapWait = 2s;

/// Maximum of control VMs among which the bootstrap VM chooses the voters.
constexpr std::size_t maxBootstrapCandidates = 64;

/// Shortest interval at which entry VMs are sent each other's loads, and the interval per entry VM, which bounds the
/// leader's work.
constexpr Duration minLoadInterval = 150ms;
constexpr Duration loadIntervalPerVm = 5ms;

constexpr const char* votersName = "voters";

const char* textOf(core::VoterDecision decision) noexcept
{
    switch (decision) {
    case core::VoterDecision::Deferred:
        return "deferred";
    case core::VoterDecision::Add:
        return "add";
    case core::VoterDecision::Remove:
        return "remove";
    case core::VoterDecision::Keep:
        break;
    }
    return "keep";
}

template <typename T> T valueOrThrow(const std::string& folder, Result<T>&& result)
{
    if (!result)
        throw std::runtime_error("data folder " + folder + ": " + result.error().message());
    return std::move(result.value());
}

/// Identifies the process that forwards a call by its VM and its start.
std::string forwarderOf(const Subscriber& it)
{
    const auto& remote = *it.link->remote();
    return remote.vm.text() + '/' + remote.bootId.text();
}

void writeDurably(const std::filesystem::path& folder, const std::string& name, const std::string& text)
{
    const auto path = folder / name;
    const auto temporary = folder / (name + ".new");
    const auto file = valueOrThrow(folder, storage::Descriptor::openFile(temporary));
    const auto bytes = std::as_bytes(std::span { text });
    for (const auto& result : { file.truncate(0), file.writeAt(bytes, 0), file.sync() }) {
        if (!result)
            throw std::runtime_error(temporary.string() + ": " + result.error().message());
    }
    std::filesystem::rename(temporary, path);
    if (const auto result = storage::syncFolder(folder); !result)
        throw std::runtime_error(folder.string() + ": " + result.error().message());
}

} // namespace

ControlNode::ControlNode(event_base* base, ControlNodeSettings settings, PlatformAdapter platformAdapter)
    : m_base(base)
    , m_settings(std::move(settings))
    , m_voterSettings(core::voterSettings(m_settings.toleratedFailures, m_settings.catchUpTime))
    , m_platformAdapter(std::move(platformAdapter))
    , m_self { VmId { m_settings.address }, m_settings.dataCentre, BootId { std::to_string(m_settings.seed) } }
    , m_control(m_settings.controlSettings)
    , m_servers(base)
    , m_voterLinks(base, m_self)
    , m_subscribers(base, m_settings.address, m_self,
          { [this](Subscriber& it) { onSubscribed(it); },
              [this](Subscriber& it, const core::Report& report) { onReport(it, report); },
              [this](Subscriber& it, std::uint64_t version) {
                  m_feed.inForce(it.id, version);
                  pushDocument(it);
              },
              [this](const VmId& from, std::span<const std::byte> payload) { return onLogFrame(from, payload); },
              [this](const Subscriber& it) { m_feed.unsubscribed(it.id); },
              [this](Subscriber& it, const core::CallOffer& offer) { onOffer(it, offer); },
              [this](const Subscriber& it, const core::ForwardedCall& call) { onCall(it, call); },
              [this](Subscriber& it, const core::CrashReports& crashes) { onCrashes(it, crashes); } })
    , m_link(base, m_self,
          { [this](const core::Message& message) {
               if (const auto* ticket = std::get_if<core::CallTicket>(&message))
                   m_calls.receive(*ticket);
               else if (const auto* answer = std::get_if<core::ForwardedAnswer>(&message))
                   m_calls.receive(*answer);
           },
              [this] {
                  return core::Subscribe { m_settings.address, true, m_documentVersion, false, mayBootstrap() };
              },
              [this](bool connected) { m_calls.setConnected(connected); } })
    , m_calls([this](const core::Message& message) { m_link.send(message); })
    , m_seedLinks(base, m_self,
          { [this] {
               return core::Subscribe { m_settings.address, true, m_documentVersion, false, mayBootstrap() };
           },
              [this](const core::Message& message) {
                  if (std::get_if<core::Bootstrap>(&message) && !m_bootstrapSince)
                      m_bootstrapSince = readClock();
              } })
    , m_tick(event_new(
          base, -1, EV_PERSIST, [](evutil_socket_t, short, void* self) { static_cast<ControlNode*>(self)->tick(); },
          this))
{
    m_folder = std::make_unique<storage::DataFolder>(
        valueOrThrow(m_settings.dataFolder, storage::DataFolder::open(m_settings.dataFolder)));
    setSeeds(m_settings.seeds);
    m_bootstrapCandidates.emplace(m_self.vm, m_self.dataCentre);
    startReplica();
    if (!m_settings.seeds.empty()
        && *std::min_element(m_settings.seeds.begin(), m_settings.seeds.end()) == m_settings.address)
        m_bootstrapSince = readClock();
    event_add(m_tick.get(), &tickInterval);
}

ControlNode::~ControlNode() = default;

void ControlNode::setSeeds(const std::vector<std::string>& seeds)
{
    std::vector<std::string> others;
    std::copy_if(seeds.begin(), seeds.end(), std::back_inserter(others),
        [&](const auto& it) { return it != m_settings.address; });
    m_seedLinks.setSeeds(others);
    m_link.setSeeds(std::move(others));
}

void ControlNode::shutDown(Duration limit, std::function<void()> finished)
{
    if (m_onFinished)
        return;
    m_onFinished = std::move(finished);
    m_shutDownDeadline = readClock() + limit;
    reviewShutDown(readClock());
}

void ControlNode::reviewShutDown(Instant now)
{
    if (!m_onFinished)
        return;
    if (m_replica->role() == agreement::Role::Leader)
        post(agreement::TransferLeadership { now });
    const bool handedOver = m_replica->role() != agreement::Role::Leader && !m_replica->leader().empty();
    if (handedOver || now >= m_shutDownDeadline)
        m_onFinished();
}

std::vector<std::string> ControlNode::bootstrapVoters()
{
    const auto path = std::filesystem::path(m_settings.dataFolder) / votersName;
    std::vector<std::string> voters;
    if (std::filesystem::exists(path)) {
        const auto file = valueOrThrow(m_settings.dataFolder, storage::Descriptor::openFile(path));
        std::string line;
        for (const auto it : valueOrThrow(m_settings.dataFolder, file.readAll())) {
            if (static_cast<char>(it) != '\n')
                line.push_back(static_cast<char>(it));
            else
                voters.push_back(std::exchange(line, {}));
        }
    }
    return voters;
}

bool ControlNode::mayBootstrap() const
{
    return m_settings.bootstrap && m_replica->voters().empty() && m_replica->log().lastIndex() == 0;
}

void ControlNode::reviewBootstrap(Instant now)
{
    if (!m_bootstrapSince || !mayBootstrap())
        return;
    const bool enough = m_bootstrapCandidates.size() >= m_voterSettings.wanted;
    if (now < *m_bootstrapSince + (enough ? startupTime : bootstrapWait))
        return;
    m_bootstrapSince.reset();
    std::string text;
    for (const auto& it : core::bootstrapVoters(m_self.vm, m_bootstrapCandidates, m_voterSettings.wanted))
        text += it.text() + '\n';
    writeDurably(m_settings.dataFolder, votersName, text);
    writeDecision("fleet", "bootstrapped control log", { { "voters", text } });
    m_replica.reset();
    m_storage.reset();
    startReplica();
}

void ControlNode::startReplica()
{
    const auto voters = bootstrapVoters();
    m_storage = valueOrThrow(m_settings.dataFolder,
        storage::Storage<storage::ControlLog>::open(
            m_base, m_settings.dataFolder, [this](Replica::Event&& event) { post(std::move(event)); }));
    agreement::Settings settings;
    settings.self = VmId { m_settings.address };
    for (const auto& it : voters)
        settings.voters.emplace_back(it);
    settings.seed = m_settings.seed;
    settings.bootNonce = m_settings.seed;
    // The election of a leader and both changes of the voters have to fit into the time after which the next VM may be
    // lost.
    const auto catchUpTime = std::max(m_settings.catchUpTime, core::minCatchUpTime);
    settings.heartbeat = std::min(logHeartbeat, catchUpTime / 20);
    settings.electionMin = std::min(settings.electionMin, catchUpTime / 4);
    settings.electionMax = std::min(settings.electionMax, catchUpTime / 2);
    settings.retryMin = std::min(settings.retryMin, settings.electionMin / 4);
    settings.firstElectionMax = firstElectionMax;
    if (m_settings.bootstrap && !voters.empty())
        settings.bootstrapDelay = bootstrapDelay;
    m_replica = std::make_unique<Replica>(settings, m_storage->takePersistedState());
    if (m_replica->damaged())
        writeLog(node::LogLevel::Error, "fleet", "Stopped voting: the control log is damaged.");
    m_committedAt = readClock();
    post(agreement::Started { readClock() });
    onStateApplied();
}

void ControlNode::post(Replica::Event&& event)
{
    m_events.push_back(std::move(event));
    if (m_reducing)
        return;
    m_reducing = true;
    while (!m_events.empty()) {
        const auto next = std::move(m_events.front());
        m_events.pop_front();
        Replica::Effects effects;
        m_replica->reduce(next, effects);
        for (auto& it : effects)
            executeEffect(it);
    }
    m_reducing = false;
    if (const auto commit = m_replica->commit(); commit != m_commit) {
        m_commit = commit;
        m_committedAt = readClock();
    }
    reviewLeadership();
}

void ControlNode::executeEffect(Replica::Effect& effect)
{
    std::visit(Overloaded {
                   [&](agreement::Send<core::Command, core::Snapshot>& it) {
                       m_voterLinks.send(it.to, it.message, readClock());
                   },
                   [&](agreement::Persist<core::Command, core::Snapshot>& it) { m_storage->executeEffect(it); },
                   [&](agreement::Applied<core::Command, core::Machine::Answer>& it) {
                       if (it.answer.changed)
                           onStateApplied(it.answer.submission);
                       finishProposal(it.answer.submission, true);
                   },
                   [&](agreement::Restored&) { onStateApplied(); },
                   [&](agreement::RoleChanged& it) {
                       writeDecision("fleet", "changed log role",
                           { { "role", std::to_string(static_cast<int>(it.role)) }, { "term", std::to_string(it.term) },
                               { "leader", it.leader.text() } });
                   },
                   [&](agreement::VotersChanged& it) {
                       std::string voters;
                       for (const auto& voter : it.voters)
                           voters += voter.text() + ' ';
                       writeDecision("fleet", "changed voters", { { "voters", voters } });
                       m_subscribers.broadcast(members());
                   },
                   [&](agreement::Refused<core::Command>& it) { finishProposal(submissionOf(it.command), false); },
                   [&](agreement::FolderOutdated&) {
                       writeLog(node::LogLevel::Warning, "fleet",
                           "Suspended voting until caught up: the data folder is an old copy.");
                   },
                   [&](agreement::Diverged&) {
                       writeLog(node::LogLevel::Error, "fleet",
                           "Stopped voting: a committed entry differs from the leader's.");
                   },
               },
        effect);
}

std::string ControlNode::leader() const
{
    // A caller redirected to a paused VM loses a second; a caller that is rejected tries another VM instead.
    if (const auto& elected = m_replica->leader().text(); !elected.empty())
        return m_replica->hasLiveLeader(readClock()) ? elected : std::string {};
    return m_link.connected() ? m_link.members().leader : std::string {};
}

void ControlNode::reviewLeadership()
{
    const bool leads = m_replica->role() == agreement::Role::Leader && m_replica->caughtUp();
    if (leads != m_leads) {
        m_leads = leads;
        m_entryVms.setLeads(leads, readClock());
        m_learners.clear();
        m_review = {};
        const auto& state = m_replica->machine().state();
        decide(
            core::event::LeadershipChanged { readClock(), leads, m_replica->term(), state.groups, state.departures });
        if (leads) {
            if (m_documentVersion > 0 && loadTable())
                publishDocument();
            decide(core::event::OutOfServiceChanged { readClock(), m_outOfService });
            m_quarantine.start(state.crashes, state.refusedParts, readClock());
            for (auto& it : m_subscribers.subscribers()) {
                if (it.subscribed)
                    onSubscribed(it);
            }
        } else {
            m_decodedProposals.clear();
            m_unstoredCrashes.clear();
            m_table.reset();
            m_forwardedCalls.clear();
            failProposals(readClock(), true);
        }
        m_calls.setLeads(leads);
    }
    if (const auto current = leader(); current != m_lastLeader) {
        m_lastLeader = current;
        m_subscribers.broadcast(members());
    }
}

std::string ControlNode::ageOf(const std::string& submission) const
{
    const auto it = m_proposals.find(submission);
    if (it == m_proposals.end())
        return {};
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(readClock() - it->second.proposedAt).count());
}

void ControlNode::onStateApplied(const std::string& submission)
{
    const auto& state = m_replica->machine().state();
    if (state.version > m_documentVersion) {
        m_documentVersion = state.version;
        writeDecision("fleet", "applied document",
            { { "version", std::to_string(state.version) }, { "bytes", std::to_string(state.bytes.size()) },
                { "age_ms", ageOf(submission) } });
        if (m_leads && loadTable(submission))
            publishDocument();
        std::erase_if(m_decodedProposals, [&](const auto& it) { return it.document.version <= state.version; });
    }
    if (state.outOfService != m_outOfService) {
        m_outOfService = state.outOfService;
        decide(core::event::OutOfServiceChanged { readClock(), m_outOfService });
    }
}

void ControlNode::decide(const core::ControlEvent& event)
{
    core::Control::Effects effects;
    m_control.reduce(event, effects);
    for (auto& it : effects)
        executeEffect(it);
}

void ControlNode::executeEffect(core::ControlEffect& effect)
{
    std::visit(Overloaded {
                   [&](core::effect::SendOrder& it) { sendOrder(it); },
                   [&](core::effect::StoreGroup& it) {
                       propose(
                           core::StoreGroup { nextSubmission(), it.group }, [this, group = it.group](bool committed) {
                               decide(core::event::GroupStored { readClock(), group, committed });
                           });
                   },
                   [&](core::effect::EraseGroup& it) {
                       // A group that stays stored is restored by the next leader, which closes it again.
                       propose(core::EraseGroup { nextSubmission(), it.name, it.epoch }, [](bool) {});
                   },
                   [&](core::effect::ProbeServer& it) { probe(it); },
                   [&](core::effect::PublishTargets& it) {
                       m_subscribers.broadcast(
                           core::TargetsPush { std::move(it.delta) }, SubscriberServer::Audience::EntryVms);
                   },
                   [&](core::effect::LogDecision& it) {
                       writeDecision("fleet", it.decision, { { "subject", it.subject }, { "reason", it.reason } });
                   },
               },
        effect);
}

void ControlNode::sendOrder(const core::effect::SendOrder& effect)
{
    m_servers.send(effect.address, m_platformAdapter.encodeOrder(effect.server, effect.order), orderTimeout,
        [this, server = effect.server, order = effect.order](const ServerAnswer& answer) {
            const auto result = answer.refused ? core::event::OrderResult::Gone
                                               : m_platformAdapter.interpretOrderStatus(answer.status);
            decide(core::event::OrderAnswered { readClock(), server, order, result });
        });
}

void ControlNode::probe(const core::effect::ProbeServer& effect)
{
    m_servers.send(effect.address, m_platformAdapter.encodeProbe(effect.server), effect.timeout,
        [this, server = effect.server](const ServerAnswer& answer) {
            const auto result = answer.refused ? core::event::ProbeResult::Gone
                                               : m_platformAdapter.interpretProbeStatus(answer.status);
            decide(core::event::ProbeAnswered { readClock(), server, result });
        });
}

void ControlNode::heartbeat(core::ServerRecord record, CommitHandler done)
{
    const auto now = readClock();
    const bool draining = record.draining;
    const core::Departure departure { record.id, record.startedAtMs };
    const auto server = record.id;
    const auto bootId = record.bootId();
    const auto sequence = record.sequence;
    decide(core::event::HeartbeatReceived { now, std::move(record) });
    const auto* registered = m_control.registry().find(server);
    if (registered && registered->record.bootId() == bootId && registered->record.sequence == sequence) {
        quarantine::Outcome outcome;
        m_quarantine.announced(server, bootId, registered->record.domain, sequence, now, outcome);
        executeOutcome(std::move(outcome));
    }
    if (draining)
        storeDeparture(departure, std::move(done));
    else
        done(m_leads);
}

void ControlNode::serverLeft(const ServerId& server, CommitHandler done)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto wallClock = std::chrono::system_clock::now().time_since_epoch();
    const auto departure = m_control.registry().departureOf(server, duration_cast<milliseconds>(wallClock).count());
    decide(core::event::ServerLeft { readClock(), departure });
    storeDeparture(departure, std::move(done));
}

void ControlNode::storeDeparture(const core::Departure& departure, CommitHandler done)
{
    if (m_replica->machine().state().departures.contains(departure.server, departure.startedAtMs))
        done(true);
    else
        propose(core::StoreDeparture { nextSubmission(), departure }, std::move(done));
}

std::string ControlNode::nextSubmission()
{
    return m_settings.address + '/' + std::to_string(m_settings.seed) + '/' + std::to_string(++m_submissions);
}

void ControlNode::propose(core::Command command, CommitHandler done)
{
    m_proposals.emplace(core::submissionOf(command), Proposal { readClock(), std::move(done) });
    post(agreement::Proposed<core::Command> { readClock(), std::move(command) });
}

void ControlNode::setOutOfService(const DataCentreId& dataCentre, bool outOfService, CommitHandler done)
{
    propose(core::SetOutOfService { nextSubmission(), dataCentre, outOfService }, std::move(done));
}

void ControlNode::finishProposal(const std::string& submission, bool committed)
{
    const auto it = m_proposals.find(submission);
    if (it == m_proposals.end())
        return;
    const auto done = std::move(it->second.done);
    if (committed)
        m_commitTimes.add(readClock() - it->second.proposedAt);
    else {
        ++m_unknownProposals;
        writeDecision("fleet", "reported proposal outcome as unknown",
            { { "submission", submission }, { "age_ms", ageOf(submission) }, { "leads", m_leads ? "true" : "false" },
                { "commit", std::to_string(m_replica->commit()) },
                { "last", std::to_string(m_replica->log().lastIndex()) } });
    }
    m_proposals.erase(it);
    done(committed);
}

void ControlNode::failProposals(Instant now, bool all)
{
    std::vector<std::string> failed;
    for (const auto& [submission, proposal] : m_proposals) {
        if (all || now >= proposal.proposedAt + proposalTimeout)
            failed.push_back(submission);
    }
    for (const auto& it : failed)
        finishProposal(it, false);
}

std::set<std::string> ControlNode::controlAddresses() const
{
    auto controls = m_link.discovered();
    for (const auto& it : m_replica->voters())
        controls.insert(it.text());
    for (const auto& it : m_learners)
        controls.insert(it.text());
    return controls;
}

core::Members ControlNode::members() const
{
    core::Members members;
    members.leader = leader();
    members.term = m_replica->term();
    for (const auto& it : m_replica->voters())
        members.voters.push_back(it.text());
    members.controls = members.voters;
    for (const auto& it : m_learners)
        members.controls.push_back(it.text());
    members.entryVms = m_entryVms.announcedVms(readClock());
    return members;
}

void ControlNode::onSubscribed(Subscriber& subscriber)
{
    if (subscriber.subscription.control && subscriber.subscription.mayBootstrap
        && m_bootstrapCandidates.size() < maxBootstrapCandidates)
        m_bootstrapCandidates.emplace(subscriber.subscription.address, subscriber.link->remote()->dataCentre);
    if (subscriber.isEntryVm())
        m_entryVms.markSeen(subscriber.vm(), readClock());
    m_subscribers.send(subscriber, members());
    if (!m_leads || !subscriber.isEntryVm())
        return;
    m_feed.subscribed(subscriber.id, subscriber.subscription.documentVersion, readClock());
    pushDocument(subscriber);
    core::TargetsPush push;
    push.delta.full = m_control.targetsComplete();
    for (const auto& [id, target] : m_control.targets())
        push.delta.upserts.push_back(target);
    m_subscribers.send(subscriber, push);
    sendInParts(m_quarantine.published(), [&](const core::CrashReports& it) { m_subscribers.send(subscriber, it); });
}

bool ControlNode::onLogFrame(const VmId& from, std::span<const std::byte> payload)
{
    const auto decoded = wire::agreement::decode(payload);
    if (!decoded)
        return false;
    const auto message = wire::agreement::fromRaw<wire::fleet::Codec>(decoded.value().message);
    if (!message)
        return false;
    post(agreement::Received<core::Command, core::Snapshot> { readClock(), from, message.value() });
    return true;
}

void ControlNode::onReport(const Subscriber& from, const core::Report& report)
{
    m_entryVms.markSeen(from.vm(), readClock());
    if (!m_leads)
        return;
    m_loads.report(from.vm(), report.loads, readClock());
    if (report.traffic)
        decide(core::event::TrafficStarted { readClock() });
    for (const auto& it : report.progressed)
        decide(core::event::ProgressReported { readClock(), it });
    for (const auto& it : report.stalled)
        decide(core::event::StallReported { readClock(), it });
}

void ControlNode::onOffer(Subscriber& from, const core::CallOffer& offer)
{
    if (!m_leads)
        return;
    const core::ForwardedCallKey key { forwarderOf(from), offer.id };
    switch (m_forwardedCalls.offered(key, offer, readClock())) {
    case core::ForwardedCallTable::Decision::Ticket:
        return m_subscribers.send(from, core::CallTicket { offer.id });
    case core::ForwardedCallTable::Decision::Answered:
        return m_subscribers.send(from, core::ForwardedAnswer { offer.id, m_forwardedCalls.answer(key) });
    case core::ForwardedCallTable::Decision::Running:
        return;
    case core::ForwardedCallTable::Decision::Refused:
        writeLog(node::LogLevel::Warning, "fleet", "Rejected forwarded call: too many are open.");
    }
}

void ControlNode::onCall(const Subscriber& from, const core::ForwardedCall& call)
{
    const core::ForwardedCallKey key { forwarderOf(from), call.id };
    if (!m_leads || !m_forwardedCalls.arrived(key, readClock())) {
        writeDecision("fleet", "dropped forwarded call",
            { { "carrier", key.forwarder }, { "call", std::to_string(call.id) },
                { "why", m_leads ? "the call has no valid ticket" : "this VM does not lead" } });
        return;
    }
    m_calls.execute(call.call, [this, key, connection = from.id](const core::ControlAnswer& answer) {
        m_forwardedCalls.finished(key, answer, readClock());
        if (auto* to = m_subscribers.find(connection))
            m_subscribers.send(*to, core::ForwardedAnswer { key.id, answer });
    });
}

std::vector<core::VoterCandidate> ControlNode::voterCandidates() const
{
    std::map<VmId, DataCentreId> dataCentres { { m_self.vm, m_self.dataCentre } };
    for (const auto& it : m_subscribers.subscribers()) {
        if (const auto& remote = it.link->remote())
            dataCentres[remote->vm] = remote->dataCentre;
    }
    return core::voterCandidates(
        m_self.vm, *m_replica, m_learners, [&](const VmId& vm) { return dataCentres[vm]; }, readClock());
}

void ControlNode::reviewVoters(Instant now)
{
    if (!m_leads)
        return;
    std::vector<VmId> learners;
    for (const auto& it : m_subscribers.subscribers()) {
        const VmId vm { it.subscription.address };
        if (it.subscribed && it.subscription.control && !m_replica->isVoter(vm)
            && std::find(learners.begin(), learners.end(), vm) == learners.end())
            learners.push_back(vm);
    }
    if (learners != m_learners) {
        m_learners = std::move(learners);
        post(agreement::SetLearners { now, m_learners });
        m_subscribers.broadcast(members());
    }
    const auto candidates = voterCandidates();
    auto review = core::reviewVoters(m_self.vm, candidates, m_replica->changingVoters(), m_voterSettings, now);
    if (review != m_review) {
        writeDecision("fleet", "reviewed voters",
            { { "decision", textOf(review.decision) }, { "vm", review.subject.text() },
                { "reason", std::string(review.reason) }, { "voters", std::to_string(m_replica->voters().size()) },
                { "answering", std::to_string(core::workingVoters(candidates, m_voterSettings, now)) } });
        m_review = review;
    }
    if (!review.voters.empty())
        post(agreement::ChangeVoters { now, std::move(review.voters) });
}

void ControlNode::pushLoads(Instant now)
{
    m_loadsSentAt = now;
    m_subscribers.broadcast(core::LoadsPush { m_loads.totals(now) }, SubscriberServer::Audience::EntryVms);
}

void ControlNode::countEntryVms()
{
    const auto now = readClock();
    for (const auto& it : m_subscribers.subscribers()) {
        if (it.isEntryVm())
            m_entryVms.markSeen(it.vm(), now);
    }
    m_entryVms.expire(now);
    const auto n = static_cast<unsigned>(m_entryVms.announcedVms(now).size());
    if (n != std::exchange(m_entryCount, n) && m_leads)
        m_subscribers.broadcast(members());
}

void ControlNode::tick()
{
    const auto now = readClock();
    m_voterLinks.tick();
    m_subscribers.tick(now);
    post(agreement::Tick { now });
    reviewShutDown(now);
    failProposals(now, false);
    // Calls are forwarded to the leader over this link, and the leader discovers a non-voting VM by its subscription.
    if (m_replica->role() == agreement::Role::Leader) {
        m_link.disconnect();
    } else {
        // A non-voting VM receives no election messages, so the leader in its replica may be outdated.
        if (m_replica->isVoter(m_self.vm) && m_replica->hasLiveLeader(now))
            m_link.follow(m_replica->leader().text());
        m_link.tick(now);
    }
    reviewBootstrap(now);
    m_calls.tick(now);
    m_seedLinks.tick(controlAddresses(), now);
    ++m_ticks;
    if (m_leads && m_ticks % decisionTicks == 0)
        decide(core::event::Tick { now });
    if (m_leads && m_ticks % crashTicks == 0)
        reviewCrashes(now);
    if (m_leads && now >= m_loadsSentAt + std::max(minLoadInterval, loadIntervalPerVm * m_entryVms.size()))
        pushLoads(now);
    if (m_ticks % countTicks == 0)
        countEntryVms();
    if (now >= m_reviewedAt + m_voterSettings.reviewInterval) {
        m_reviewedAt = now;
        reviewVoters(now);
    }
}

} // namespace rosemarymill::runtime::nodes
