#include <rosemarymill/core/fleet/control.hpp>

#include <algorithm>

/// Life cycle of groups: join, open, monitor, close.
namespace rosemarymill::fleet {

namespace {

/// Time within which a head that was ordered to open has to report that it is open.
constexpr Duration openMargin = 5s;

/// Bits of a fencing number that count the orders of a term. With them, terms up to 2^21 fit into the 53 bits of an
/// integer that every JSON implementation represents exactly.
constexpr unsigned fencingCounterBits = 32;

} // namespace

Group* Control::groupOf(const ServerId& server)
{
    for (auto& [name, group] : m_groups) {
        if (group.head() == server)
            return &group;
    }
    return nullptr;
}

const GroupRecord* Control::recordOf(const ServerId& server) const
{
    const auto it = std::find_if(m_groupRecords.begin(), m_groupRecords.end(),
        [&](const auto& record) { return record.second.find(server) != nullptr; });
    return it == m_groupRecords.end() ? nullptr : &it->second;
}

void Control::addMember(Group& group, const GroupRecord& record, const ServerRecord& server)
{
    const auto* member = record.find(server.id);
    const auto rank = static_cast<std::size_t>(member - record.members.data());
    if (server.startedAtMs == member->startedAtMs) {
        group.members[rank] = server.id;
        return;
    }
    group.restartedMember = server.id;
    group.headRestarted = group.headRestarted || rank == 0;
}

void Control::restoreGroup(const GroupRecord& record, Effects& effects)
{
    auto it = m_groups.find(record.name);
    if (it == m_groups.end()) {
        Group group;
        group.name = record.name;
        group.epoch = record.epoch;
        group.service = record.service;
        group.model = record.model;
        group.members.resize(record.members.size());
        group.orderedAt.resize(record.members.size());
        group.phase = GroupPhase::Open;
        group.since = m_now;
        group.recovered = true;
        group.stored = true;
        group.openUncertain = record.mayBeOpen;
        log("restored group", group.name,
            "stored in the control log, " + std::string(record.mayBeOpen ? "may be open" : "was forming"), effects);
        it = m_groups.emplace(group.name, std::move(group)).first;
    }
    for (const auto& member : record.members) {
        if (const auto* server = m_registry.find(member.server))
            addMember(it->second, record, server->record);
    }
}

void Control::storeGroup(Group& group, bool mayBeOpen, Effects& effects)
{
    GroupRecord record { group.name, group.epoch, group.service, group.model, {}, mayBeOpen };
    for (const auto& it : group.members) {
        const auto* server = m_registry.find(it);
        record.members.push_back(
            server ? GroupMember { it, server->record.startedAtMs, server->record.sequence } : GroupMember { it });
    }
    group.storing = true;
    effects(effect::StoreGroup { std::move(record) });
}

void Control::eraseGroup(const Group& group, Effects& effects)
{
    m_groupRecords.erase(group.name);
    effects(effect::EraseGroup { group.name, group.epoch });
}

void Control::handle(const event::GroupStored& event, Effects& effects)
{
    if (!m_leads)
        return;
    const auto it = m_groups.find(event.group.name);
    if (it == m_groups.end() || it->second.epoch != event.group.epoch || it->second.phase != GroupPhase::Joining) {
        // It was cancelled meanwhile. The cancelled group was never opened.
        if (event.committed && it == m_groups.end())
            effects(effect::EraseGroup { event.group.name, event.group.epoch });
        return;
    }
    auto& group = it->second;
    group.storing = false;
    if (!event.committed) {
        log("failed to store group", group.name, "the commit was not confirmed, it is tried again", effects);
        return;
    }
    m_groupRecords[group.name] = event.group;
    group.stored = true;
    if (!event.group.mayBeOpen) {
        for (std::size_t rank = 0; rank < group.members.size(); ++rank)
            joinMember(group, rank, effects);
        return;
    }
    log("ordered group to open", group.name, "all members are ready", effects);
    group.phase = GroupPhase::Opening;
    group.since = m_now;
    if (failureOf(group).empty())
        orderMember(group, 0, OrderKind::Open, effects);
}

void Control::recoverGroup(const ServerRecord& record, Effects& effects)
{
    const auto& membership = *record.group;
    auto it = m_groups.find(membership.group);
    if (it != m_groups.end() && it->second.epoch == membership.epoch) {
        auto& members = it->second.members;
        if (membership.rank < members.size() && members[membership.rank].empty())
            members[membership.rank] = record.id;
        return;
    }
    m_lastEpoch = std::max(m_lastEpoch, membership.epoch);
    if (const auto* stored = recordOf(record.id); stored && stored->epoch > membership.epoch)
        return;
    if (it != m_groups.end() || record.loaded.empty() || !m_table || membership.isStandby() || isReleased(membership))
        return;
    const auto* service = m_table->service(record.service);
    if (!service || !service->engine)
        return;
    const auto& models = service->engine->models;
    const auto model
        = std::find_if(models.begin(), models.end(), [&](const auto& m) { return m.name == record.loaded.front(); });
    if (model == models.end() || membership.rank >= model->groupSize)
        return;
    Group group;
    group.name = membership.group;
    group.epoch = membership.epoch;
    group.service = record.service;
    group.model = model->name;
    group.members.resize(model->groupSize);
    group.members[membership.rank] = record.id;
    group.orderedAt.resize(model->groupSize);
    group.phase = GroupPhase::Open;
    group.since = m_now;
    group.recovered = true;
    group.openUncertain = true;
    log("recovered group", group.name, "reported by " + record.id.text(), effects);
    m_groups.emplace(group.name, std::move(group));
}

std::string Control::failureOf(const Group& group) const
{
    const bool progressing = m_now < group.progressAt + m_settings.progressWindow;
    if (!group.restartedMember.empty())
        return "member " + group.restartedMember.text() + " has restarted";
    for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
        const auto& id = group.members[rank];
        if (id.empty()) {
            const auto record = m_groupRecords.find(group.name);
            const auto* member = record == m_groupRecords.end() ? nullptr : &record->second.members[rank];
            if (member && m_registry.hasDeparted(member->server, member->startedAtMs))
                return "member " + member->server.text() + " drains";
            // Some servers may keep sending heartbeats to a lost leader for longer than `settle`.
            const bool serves
                = progressing || (rank == 0 && m_now < m_unregisteredProgressAt + m_settings.progressWindow);
            if (m_targetsComplete && !serves && m_now >= group.since + m_settings.settle)
                return "member " + std::to_string(rank) + " has not sent a heartbeat";
            continue;
        }
        const auto* server = m_registry.find(id);
        if (!server || server->gone)
            return "member " + id.text() + " has ended or was removed";
        if (!server->record.isMemberOf(group.name, group.epoch))
            return "member " + id.text() + " is not in the group";
        if (server->record.draining)
            return "member " + id.text() + " drains";
        if (isDead(*server) && !progressing)
            return "member " + id.text() + " does not answer probes";
        if (rank == 0 && server->record.group->state == MemberState::Broken)
            return "head " + id.text() + " is broken";
    }
    return {};
}

FencingNumber Control::nextFencingNumber()
{
    m_lastFencingNumber = std::max(m_lastFencingNumber + 1, m_term << fencingCounterBits);
    return FencingNumber { m_lastFencingNumber };
}

bool Control::isOfThisTerm(const FencingNumber& fencing) const noexcept
{
    return fencing.value >> fencingCounterBits == m_term;
}

void Control::order(const ServerId& id, Order order, Effects& effects)
{
    const auto* server = m_registry.find(id);
    if (!server)
        return;
    order.fencing = nextFencingNumber();
    effects(effect::SendOrder { id, server->record.address, std::move(order) });
}

void Control::orderMember(Group& group, std::size_t rank, OrderKind kind, Effects& effects)
{
    group.orderedAt[rank] = m_now;
    if (!m_registry.find(group.members[rank]))
        return;
    if (kind == OrderKind::Open)
        ++group.unansweredOpens;
    Order it;
    it.kind = kind;
    it.group = group.name;
    it.epoch = group.epoch;
    it.shed = group.shed;
    if (kind == OrderKind::Join) {
        it.model = group.model;
        it.members = group.members;
    }
    order(group.members[rank], std::move(it), effects);
}

void Control::joinMember(Group& group, std::size_t rank, Effects& effects)
{
    const auto* server = m_registry.find(group.members[rank]);
    if (server && !headServesAfterRelease(*server))
        orderMember(group, rank, OrderKind::Join, effects);
}

bool Control::orderDue(const Group& group, std::size_t rank) const
{
    return m_now >= group.orderedAt[rank] + m_settings.orderRetry;
}

void Control::continueForming(Group& group)
{
    const auto* head = group.head().empty() ? nullptr : m_registry.find(group.head());
    const bool complete
        = std::none_of(group.members.begin(), group.members.end(), [](const auto& it) { return it.empty(); });
    if (!group.recovered || !complete || !head || !head->record.isMemberOf(group.name, group.epoch))
        return;
    const auto state = head->record.group->state;
    if (state != MemberState::Joining && state != MemberState::Ready)
        return;
    group.phase = GroupPhase::Joining;
    // The members were ordered to join by an earlier leader.
    group.stored = true;
    group.since = m_now;
    group.readyBy = m_now;
    if (const auto* service = m_table->service(group.service); service && service->engine) {
        for (const auto& it : service->engine->models)
            group.readyBy = it.name == group.model ? m_now + it.loadTime : group.readyBy;
    }
}

bool Control::isReleased(const Membership& membership) const
{
    const auto it = m_releasedGroups.find(membership.group);
    return it != m_releasedGroups.end() && it->second.epoch >= membership.epoch;
}

bool Control::servesAfterRelease(const RegisteredServer& server) const
{
    const auto& group = server.record.group;
    if (!group || group->rank != 0 || server.gone
        || (group->state != MemberState::Open && group->state != MemberState::Closing))
        return false;
    const auto it = m_releasedGroups.find(group->group);
    return it != m_releasedGroups.end() && it->second.epoch >= group->epoch && server.lastReceivedAt > it->second.at;
}

bool Control::headServesAfterRelease(const RegisteredServer& server) const
{
    const auto& group = server.record.group;
    if (!group || !isReleased(*group))
        return false;
    const auto& servers = m_registry.servers();
    return std::any_of(servers.begin(), servers.end(), [&](const auto& it) {
        return it.second.record.isMemberOf(group->group, group->epoch) && servesAfterRelease(it.second);
    });
}

void Control::orderToLeave(RegisteredServer& head, Effects& effects)
{
    if (m_now < head.leaveOrderedAt + m_settings.orderRetry)
        return;
    head.leaveOrderedAt = m_now;
    const auto& group = *head.record.group;
    log("ordered head to leave", head.record.id.text(), "it serves the released group " + group.group, effects);
    Order it;
    it.kind = OrderKind::Leave;
    it.group = group.group;
    it.epoch = group.epoch;
    order(head.record.id, std::move(it), effects);
}

void Control::endServiceAfterRelease(Effects& effects)
{
    for (auto& [id, server] : m_registry.servers()) {
        if (servesAfterRelease(server))
            orderToLeave(server, effects);
    }
}

void Control::forgetReleasedGroups()
{
    if (m_now < m_releasedGroupsReviewedAt + m_settings.removeAfter)
        return;
    m_releasedGroupsReviewedAt = m_now;
    std::set<std::string> reported;
    for (const auto& [id, server] : m_registry.servers()) {
        if (server.record.group)
            reported.insert(server.record.group->group);
    }
    // A member that was unreachable may report its group once more. The group is then recovered and closed again.
    std::erase_if(m_releasedGroups,
        [&](const auto& it) { return m_now >= it.second.at + m_settings.removeAfter && !reported.contains(it.first); });
}

void Control::releaseGroup(const Group& group, const std::string& reason, Effects& effects)
{
    m_releasedGroups[group.name] = { group.epoch, m_now };
    log("released group", group.name, reason, effects);
    eraseGroup(group, effects);
}

void Control::trackRemainingLoads(const Group& group)
{
    for (const auto& it : group.loading)
        m_staging.emplace(it, std::make_pair(group.model, group.since));
}

void Control::startClosing(Group& group, bool shed, const std::string& reason, Effects& effects)
{
    log("started closing group", group.name, reason, effects);
    group.phase = GroupPhase::Closing;
    group.since = m_now;
    group.shed = shed;
    group.headLeaving = false;
    if (shed && !group.head().empty())
        m_lostTargets.insert(group.head());
    std::fill(group.orderedAt.begin(), group.orderedAt.end(), Instant {});
}

void Control::reviewJoining(Group& group, Effects& effects)
{
    bool ready = group.stored;
    for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
        const auto* server = m_registry.find(group.members[rank]);
        if (!server || isDead(*server) || server->record.draining || m_now > group.readyBy + m_settings.joinMargin) {
            log("cancelled forming group", group.name,
                "member " + group.members[rank].text()
                    + (server && !isDead(*server) ? " drains or was not ready in time" : " failed"),
                effects);
            trackRemainingLoads(group);
            m_releasedGroups[group.name] = { group.epoch, m_now };
            eraseGroup(group, effects);
            group.members.clear();
            return;
        }
        const auto& record = server->record;
        const bool joined = record.isMemberOf(group.name, group.epoch);
        const bool memberReady = joined && record.group->state != MemberState::Joining;
        if (memberReady)
            std::erase(group.loading, record.id);
        ready = ready && memberReady;
        if (group.stored && !joined && orderDue(group, rank))
            joinMember(group, rank, effects);
    }
    if (!group.storing && (ready || !group.stored))
        storeGroup(group, ready, effects);
}

void Control::reviewOpening(Group& group, Effects& effects)
{
    const auto* head = m_registry.find(group.head());
    if (const auto failure = failureOf(group); !failure.empty())
        return startClosing(group, true, failure, effects);
    if (head->record.group->state == MemberState::Open) {
        log("opened group", group.name, "the head is open", effects);
        group.reportedOpen = true;
        group.openPending = false;
        group.phase = GroupPhase::Open;
        group.since = m_now;
        return;
    }
    if (m_now > group.since + openMargin)
        return startClosing(group, true, "the head did not open in time", effects);
    if (orderDue(group, 0))
        orderMember(group, 0, OrderKind::Open, effects);
}

void Control::reviewOpen(Group& group, Effects& effects)
{
    const auto* head = group.head().empty() ? nullptr : m_registry.find(group.head());
    if (head && head->record.isMemberOf(group.name, group.epoch) && head->record.group->state == MemberState::Open) {
        group.reportedOpen = true;
        group.openPending = false;
    }
    if (continueForming(group); group.phase != GroupPhase::Open)
        return;
    if (const auto failure = failureOf(group); !failure.empty()) {
        const bool drains = failure.ends_with("drains");
        return startClosing(group, !drains, failure, effects);
    }
    if (head && head->record.group && head->record.group->state != MemberState::Open && m_targetsComplete)
        startClosing(group, true, "the head is not open", effects);
}

bool Control::reviewClosing(Group& group, Effects& effects)
{
    const auto* head = group.head().empty() ? nullptr : m_registry.find(group.head());
    if (group.headRestarted || (head && (head->gone || !head->record.isMemberOf(group.name, group.epoch))))
        return true;
    const auto state = head ? head->record.group->state : MemberState::Joining;
    const bool closed = head && (state == MemberState::Broken || (group.reportedOpen && state == MemberState::Ready));
    if (closed && !group.mayOpenLater())
        return true;
    if (closed && !group.headLeaving && !isDead(*head)) {
        group.headLeaving = true;
        orderMember(group, 0, OrderKind::Leave, effects);
        return false;
    }
    // The head's heartbeat may not have reached this new leader yet.
    if (!head && !m_targetsComplete)
        return false;
    if (!head || isDead(*head)) {
        log("marked group head as unreachable", group.name, "it does not answer or is not registered", effects);
        group.phase = GroupPhase::HeadUnreachable;
        group.since = m_now;
        group.leftAt = {};
        return false;
    }
    if (orderDue(group, 0))
        orderMember(group, 0, group.headLeaving ? OrderKind::Leave : OrderKind::Close, effects);
    return false;
}

void Control::leaveMembers(Group& group, Effects& effects)
{
    for (std::size_t rank = 1; rank < group.members.size(); ++rank) {
        const auto* server = m_registry.find(group.members[rank]);
        if (server && !isDead(*server) && server->record.isMemberOf(group.name, group.epoch) && orderDue(group, rank))
            orderMember(group, rank, OrderKind::Leave, effects);
    }
}

bool Control::hasNoRegisteredMember(const Group& group) const
{
    return std::none_of(group.members.begin(), group.members.end(), [&](const auto& it) {
        const auto* server = m_registry.find(it);
        return server && !server->gone;
    });
}

bool Control::reviewHeadUnreachable(Group& group, Effects& effects)
{
    const auto* head = group.head().empty() ? nullptr : m_registry.find(group.head());
    if (group.headRestarted || (head && (head->gone || !head->record.isMemberOf(group.name, group.epoch))))
        return true;
    if (head && isAlive(*head) && !isDead(*head)) {
        startClosing(group, true, "the head answers again", effects);
        return false;
    }
    const bool left = std::any_of(group.members.begin() + 1, group.members.end(), [&](const auto& it) {
        const auto* server = m_registry.find(it);
        return server && !isDead(*server) && !server->record.isMemberOf(group.name, group.epoch);
    });
    if (left && group.leftAt == Instant {})
        group.leftAt = m_now;
    const auto broken = m_settings.stallTime + m_settings.stallMargin;
    if (group.leftAt != Instant {})
        return m_now >= group.leftAt + broken;
    leaveMembers(group, effects);
    return false;
}

void Control::reviewGroups(Effects& effects)
{
    for (auto it = m_groups.begin(); it != m_groups.end();) {
        auto& group = it->second;
        bool finished = false;
        switch (group.phase) {
        case GroupPhase::Joining:
            reviewJoining(group, effects);
            finished = group.members.empty();
            break;
        case GroupPhase::Opening:
            reviewOpening(group, effects);
            break;
        case GroupPhase::Open:
            reviewOpen(group, effects);
            break;
        case GroupPhase::Closing:
            finished = reviewClosing(group, effects);
            break;
        case GroupPhase::HeadUnreachable:
            finished = reviewHeadUnreachable(group, effects);
            break;
        }
        if (group.phase == GroupPhase::HeadUnreachable && !finished && hasNoRegisteredMember(group)) {
            // The group is not released: if its members are reachable again after a long partition, it is recovered,
            // since its head may still serve.
            log("removed group", group.name, "no member is registered any more", effects);
            it = m_groups.erase(it);
            continue;
        }
        if (finished && group.phase != GroupPhase::Joining)
            releaseGroup(group, "its members may join other groups", effects);
        it = finished ? m_groups.erase(it) : std::next(it);
    }
}

void Control::handle(const event::OrderAnswered& event, Effects& effects)
{
    using event::OrderResult;
    if (!m_leads || !isOfThisTerm(event.order.fencing))
        return;
    auto* server = m_registry.find(event.server);
    if (event.order.kind == OrderKind::Stage) {
        if (event.result != OrderResult::InProgress && event.result != OrderResult::Unknown)
            m_staging.erase(event.server);
        return;
    }
    const auto it = m_groups.find(event.order.group);
    if (event.result != OrderResult::InProgress && event.result != OrderResult::Done)
        log("recorded order failure", event.server.text(),
            event.order.group + " kind " + std::to_string(static_cast<int>(event.order.kind)) + " result "
                + std::to_string(static_cast<int>(event.result)),
            effects);
    if (it == m_groups.end() || it->second.epoch != event.order.epoch)
        return;
    auto& group = it->second;
    if (event.result == OrderResult::Gone && server)
        server->gone = true;
    const bool done = event.result == OrderResult::Done || event.result == OrderResult::Conflict;
    if (event.order.kind == OrderKind::Open && event.result != OrderResult::Unknown) {
        group.unansweredOpens -= std::min(group.unansweredOpens, 1U);
        const bool accepted = event.result == OrderResult::InProgress || event.result == OrderResult::Done;
        group.openPending = group.openPending || (accepted && !group.reportedOpen);
    }
    if (event.order.kind == OrderKind::Close && group.phase == GroupPhase::Closing && done) {
        if (group.mayOpenLater()) {
            group.headLeaving = true;
            orderMember(group, 0, OrderKind::Leave, effects);
        } else {
            releaseGroup(group, "the head has closed", effects);
            m_groups.erase(it);
        }
    } else if (event.order.kind == OrderKind::Leave && group.phase == GroupPhase::Closing && group.headLeaving
        && event.server == group.head() && (done || event.result == OrderResult::InProgress)) {
        releaseGroup(group, "the head has left", effects);
        m_groups.erase(it);
    } else if (event.order.kind == OrderKind::Leave && group.phase == GroupPhase::HeadUnreachable
        && (done || event.result == OrderResult::InProgress) && group.leftAt == Instant {}) {
        group.leftAt = m_now;
    }
    formGroups(effects);
}

} // namespace rosemarymill::fleet
