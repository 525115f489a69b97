#include <rosemarymill/core/fleet/control.hpp>

#include <algorithm>
#include <utility>

namespace rosemarymill::fleet {

namespace {

std::string milliseconds(Duration it) { return std::to_string(it / 1ms) + " ms"; }

/// Minimum interval of the log lines about ignored probe timeouts.
constexpr Duration ignoredLogInterval = 1s;

/// Whether the targets differ apart from the remaining time of a cold start, which passes at entry VMs too.
bool differs(const Target& a, const Target& b)
{
    auto comparable = a;
    comparable.coldLeft = b.coldLeft;
    return comparable != b;
}

} // namespace

void Control::reduce(const ControlEvent& event, Effects& effects)
{
    std::visit(
        [&](const auto& it) {
            m_now = it.now;
            handle(it, effects);
        },
        event);
}

void Control::handle(const event::HeartbeatReceived& event, Effects& effects)
{
    if (!m_leads)
        return;
    const auto* before = m_registry.find(event.record.id);
    const bool registered = before != nullptr;
    if (m_table && !m_table->service(event.record.service)
        && (!registered || before->record.service != event.record.service)) {
        // Applying it could replace a server that is in use, since it may contain that server's address or id.
        log("ignored heartbeat", event.record.id.text(), "the document has no service " + event.record.service.text(),
            effects);
        return;
    }
    const bool wasDraining = registered && before->record.draining;
    const auto result = m_registry.apply(m_now, event.record);
    const auto name = event.record.id.text();
    if (result != HeartbeatResult::Accepted) {
        log("ignored heartbeat", name, result == HeartbeatResult::Outdated ? "outdated" : "earlier incarnation",
            effects);
        return;
    }
    m_lostTargets.erase(event.record.id);
    if (!registered)
        log("added server", name, "heartbeat from " + event.record.address, effects);
    if (event.record.draining && !wasDraining)
        log("started draining server", name, "announced by the server", effects);
    auto& server = *m_registry.find(event.record.id);
    if (const auto* group = registered ? nullptr : recordOf(event.record.id))
        restoreGroup(*group, effects);
    if (server.record.group && server.record.group->state != MemberState::Joining && !server.record.loaded.empty())
        server.lastModel = server.record.loaded.front();
    if (server.record.group)
        recoverGroup(server.record, effects);
    if (servesAfterRelease(server))
        orderToLeave(server, effects);
    if (!registered || server.record.draining != wasDraining || server.record.group)
        reviewGroups(effects);
    publish(false, effects);
}

void Control::handle(const event::ServerLeft& event, Effects& effects)
{
    if (!m_leads)
        return;
    log("received leave notice", event.departure.server.text(),
        "incarnations up to " + std::to_string(event.departure.startedAtMs) + " are leaving", effects);
    // The process continues to serve while it drains, so its group is closed without dropping queued requests.
    m_registry.markLeft(m_now, event.departure);
    reviewGroups(effects);
    publish(false, effects);
}

void Control::handle(const event::LeadershipChanged& event, Effects& effects)
{
    m_leads = event.leads;
    m_term = event.term;
    m_leadsSince = m_now;
    m_targetsComplete = false;
    m_registry.reset(event.departures);
    m_groups.clear();
    m_groupRecords.clear();
    for (const auto& group : event.groups) {
        m_lastEpoch = std::max(m_lastEpoch, group.epoch);
        m_groupRecords.emplace(group.name, group);
        for (const auto& it : group.members)
            m_registry.rejectUpTo(it.server, it.startedAtMs, it.sequence);
    }
    m_releasedGroups.clear();
    m_staging.clear();
    m_published.clear();
    m_publishedColdUntil.clear();
    m_lostTargets.clear();
    m_loadStarts.clear();
    m_probeResults.clear();
    log(m_leads ? "lead" : "follow", "term " + std::to_string(m_term), "election", effects);
}

void Control::handle(const event::DocumentChanged& event, Effects& effects)
{
    m_table = event.table;
    if (m_leads)
        publish(false, effects);
}

void Control::handle(const event::OutOfServiceChanged& event, Effects& effects)
{
    m_outOfService = event.dataCentres;
    if (m_leads)
        publish(false, effects);
}

void Control::handle(const event::ProbeAnswered& event, Effects& effects)
{
    auto* server = m_registry.find(event.server);
    if (!m_leads || !server)
        return;
    while (!m_probeResults.empty() && m_now > m_probeResults.front().at + m_settings.maxReferenceAge())
        m_probeResults.pop_front();
    if (event.result == event::ProbeResult::Alive)
        server->probedAliveAt = m_now;
    // Only probes of servers that were alive recently say something about the leader's own connection.
    if (isAlive(*server))
        m_probeResults.push_back({ m_now, server->record.domain, event.result == event::ProbeResult::Alive });
    if (event.result == event::ProbeResult::Alive) {
        server->failedProbes = 0;
        return;
    }
    ++server->failedProbes;
    server->gone = event.result == event::ProbeResult::Gone;
    if (!server->gone) {
        const auto& domain = server->record.domain;
        if (server->failedProbes >= m_settings.deadProbes && !referencesAnswer(domain)) {
            server->failedProbes = m_settings.deadProbes - 1;
            if (m_now >= m_ignoredProbesLoggedAt + ignoredLogInterval) {
                m_ignoredProbesLoggedAt = m_now;
                log("ignored probe timeouts", event.server.text(), "probes of other domains are not answered either",
                    effects);
            }
        }
        probeReferences(domain, effects);
    }
    if (server->gone || server->failedProbes == m_settings.deadProbes)
        log("marked server as dead", event.server.text(),
            std::string(server->gone ? "no process at its address" : "probes unanswered") + ", no contact for "
                + milliseconds(m_now - server->aliveAt()),
            effects);
    reviewGroups(effects);
    publish(false, effects);
}

void Control::probeReferences(const FabricDomainId& domain, Effects& effects)
{
    std::map<FabricDomainId, std::vector<RegisteredServer*>> others;
    for (auto& [id, server] : m_registry.servers()) {
        if (server.record.domain != domain && isAlive(server))
            others[server.record.domain].push_back(&server);
    }
    for (auto& [other, servers] : others) {
        if (std::any_of(servers.begin(), servers.end(),
                [&](const auto* it) { return m_now < it->probeSentAt + m_settings.referenceWindow; }))
            continue;
        const auto n = std::min<std::size_t>(servers.size(), m_settings.referenceProbes);
        std::partial_sort(servers.begin(), servers.begin() + static_cast<std::ptrdiff_t>(n), servers.end(),
            [](const auto* a, const auto* b) { return a->probeSentAt < b->probeSentAt; });
        for (std::size_t i = 0; i < n; ++i)
            probe(*servers[i], m_settings.memberProbeTimeout, effects);
    }
}

bool Control::referencesAnswer(const FabricDomainId& domain) const
{
    struct Results {
        double answered { 0 };
        double all { 0 };
    };
    std::map<FabricDomainId, Results> others;
    for (const auto& [id, server] : m_registry.servers()) {
        if (server.record.domain != domain && !isDead(server))
            others[server.record.domain];
    }
    for (const auto& it : m_probeResults) {
        const auto results = others.find(it.domain);
        if (results == others.end() || m_now > it.at + m_settings.maxReferenceAge())
            continue;
        results->second.answered += it.answered ? 1 : 0;
        ++results->second.all;
    }
    double answering = 0;
    for (const auto& [other, it] : others)
        answering += it.all > 0 ? it.answered / it.all : 0;
    return answering >= m_settings.referenceShare * static_cast<double>(others.size());
}

void Control::handle(const event::ProgressReported& event, Effects&)
{
    if (auto* group = groupOf(event.server))
        group->progressAt = m_now;
    else if (!m_registry.find(event.server))
        m_unregisteredProgressAt = m_now;
}

void Control::handle(const event::StallReported& event, Effects& effects)
{
    auto* group = m_leads ? groupOf(event.server) : nullptr;
    if (!group || group->phase != GroupPhase::Open)
        return;
    if (m_now >= group->suspectUntil)
        log("suspected group", group->name, "requests are stalled at " + event.server.text(), effects);
    group->suspectUntil = m_now + m_settings.suspectDuration;
    if (m_now >= group->suspectSince + m_settings.reprobeAfter)
        group->suspectSince = m_now;
    probeSuspectGroups(effects);
}

void Control::probeSuspectGroups(Effects& effects)
{
    for (const auto& [name, group] : m_groups) {
        if (group.phase != GroupPhase::Open || m_now >= group.suspectUntil)
            continue;
        for (const auto& member : group.members) {
            auto* server = m_registry.find(member);
            if (server && !isDead(*server) && server->probedAliveAt < group.suspectSince
                && m_now >= server->probeSentAt + m_settings.suspectProbeInterval)
                probe(
                    *server, member == group.head() ? m_settings.probeTimeout : m_settings.memberProbeTimeout, effects);
        }
    }
}

void Control::handle(const event::TrafficStarted&, Effects& effects)
{
    if (!std::exchange(m_traffic, true))
        log("limited loads", "weight store", "traffic started", effects);
}

void Control::handle(const event::Tick&, Effects& effects)
{
    if (!m_leads)
        return;
    if (!m_targetsComplete && m_now >= m_leadsSince + m_settings.settle) {
        m_targetsComplete = true;
        publish(true, effects);
    }
    probeOverdueServers(effects);
    probeSuspectGroups(effects);
    reviewGroups(effects);
    endServiceAfterRelease(effects);
    forgetReleasedGroups();
    formGroups(effects);
    publish(false, effects);
}

bool Control::isAlive(const RegisteredServer& server) const
{
    return !server.gone && m_now < server.aliveAt() + m_settings.probeAfter + m_settings.probeInterval;
}

bool Control::isDead(const RegisteredServer& server) const
{
    return server.gone || server.failedProbes >= m_settings.deadProbes;
}

void Control::probe(RegisteredServer& server, Duration timeout, Effects& effects)
{
    server.probeSentAt = m_now;
    effects(effect::ProbeServer { server.record.id, server.record.address, timeout });
}

void Control::probeOverdueServers(Effects& effects)
{
    std::vector<ServerId> expired;
    for (auto& [id, server] : m_registry.servers()) {
        const auto sinceContact = m_now - server.aliveAt();
        if (sinceContact >= m_settings.removeAfter)
            expired.push_back(id);
        else if (sinceContact >= m_settings.probeAfter && !isDead(server)
            && m_now >= server.probeSentAt + m_settings.probeInterval)
            probe(server, m_settings.probeTimeout, effects);
    }
    for (const auto& id : expired) {
        log("removed server", id.text(), "no contact for " + milliseconds(m_settings.removeAfter), effects);
        m_registry.remove(id);
    }
}

std::map<ServerId, Target> Control::currentTargets() const
{
    std::map<ServerId, Target> targets;
    if (!m_table)
        return targets;
    for (const auto& [id, server] : m_registry.servers()) {
        const auto& record = server.record;
        const auto* service = m_table->service(record.service);
        if (!service || service->engine || record.draining || server.gone || m_outOfService.contains(record.dataCentre))
            continue;
        targets.emplace(id,
            Target { id, record.address, record.service, record.dataCentre, {}, record.slots, server.coldLeft(m_now),
                record.bootId() });
    }
    for (const auto& [name, group] : m_groups) {
        const auto* head = m_registry.find(group.head());
        if (group.phase != GroupPhase::Open || !head || m_outOfService.contains(head->record.dataCentre))
            continue;
        const auto& record = head->record;
        const auto* service = m_table->service(record.service);
        const auto slots = service && service->engine ? service->engine->slots : record.slots;
        targets.emplace(record.id,
            Target { record.id, record.address, record.service, record.dataCentre, group.model, slots,
                head->coldLeft(m_now), record.bootId() });
    }
    return targets;
}

void Control::publish(bool full, Effects& effects)
{
    auto targets = currentTargets();
    TargetDelta delta;
    delta.full = full;
    for (const auto& [id, target] : targets) {
        const auto it = m_published.find(id);
        const auto coldUntil = m_registry.find(id)->coldUntil;
        auto& publishedColdUntil = m_publishedColdUntil[id];
        const bool coldDiffers = coldUntil != publishedColdUntil && m_now < std::max(coldUntil, publishedColdUntil);
        if (full || it == m_published.end() || coldDiffers || differs(it->second, target)) {
            delta.upserts.push_back(target);
            publishedColdUntil = coldUntil;
        }
    }
    for (const auto& [id, target] : m_published) {
        if (!targets.contains(id))
            (m_lostTargets.contains(id) ? delta.lost : delta.withdrawn).push_back(id);
    }
    std::erase_if(m_publishedColdUntil, [&](const auto& it) { return !targets.contains(it.first); });
    m_published = std::move(targets);
    if (!delta.empty())
        effects(effect::PublishTargets { std::move(delta) });
}

void Control::log(std::string decision, std::string subject, std::string reason, Effects& effects) const
{
    effects(effect::LogDecision { std::move(decision), std::move(subject), std::move(reason) });
}

} // namespace rosemarymill::fleet
