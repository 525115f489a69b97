#include <rosemarymill/core/fleet/control.hpp>

#include <algorithm>

/// Life of groups: join, open, watch, close.
namespace rosemarymill::fleet {

namespace {

/// Time in which a head that was told to open has to report that it serves, beyond its formation.
constexpr Duration openMargin = 5s;

} // namespace

Group* Control::groupOf(const ServerId& server)
{
    for (auto& [name, group] : m_groups) {
        if (group.head() == server)
            return &group;
    }
    return nullptr;
}

void Control::adopt(const ServerRecord& record, Effects& effects)
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
    group.adopted = true;
    group.openUncertain = true;
    log("adopt group", group.name, "reported by " + record.id.text(), effects);
    m_groups.emplace(group.name, std::move(group));
}

std::string Control::damageOf(const Group& group) const
{
    const bool moving = m_now < group.progressAt + m_settings.progressWindow;
    for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
        const auto& id = group.members[rank];
        if (id.empty()) {
            // Servers may call a lost leader for longer than this one settles.
            const bool serves = moving || (rank == 0 && m_now < m_unheardProgressAt + m_settings.progressWindow);
            if (m_targetsComplete && !serves && m_now >= group.since + m_settings.settle)
                return "member " + std::to_string(rank) + " is unknown";
            continue;
        }
        const auto* server = m_registry.find(id);
        if (!server || server->gone)
            return "member " + id.text() + " is gone";
        if (!server->record.isMemberOf(group.name, group.epoch))
            return "member " + id.text() + " is in another group or none";
        if (server->record.draining)
            return "member " + id.text() + " drains";
        if (isDead(*server) && !moving)
            return "member " + id.text() + " is silent";
        if (rank == 0 && server->record.group->state == MemberState::Broken)
            return "head " + id.text() + " is broken";
    }
    return {};
}

void Control::order(const ServerId& id, Order order, Effects& effects)
{
    const auto* server = m_registry.find(id);
    if (!server)
        return;
    order.fencing = FencingNumber { m_term };
    effects(effect::SendOrder { id, server->record.address, std::move(order) });
}

void Control::orderMember(Group& group, std::size_t rank, OrderKind kind, Effects& effects)
{
    group.orderedAt[rank] = m_now;
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

bool Control::orderDue(const Group& group, std::size_t rank) const
{
    return m_now >= group.orderedAt[rank] + m_settings.orderRetry;
}

void Control::continueForming(Group& group)
{
    const auto* head = group.head().empty() ? nullptr : m_registry.find(group.head());
    const bool complete
        = std::none_of(group.members.begin(), group.members.end(), [](const auto& it) { return it.empty(); });
    if (!group.adopted || !complete || !head || !head->record.isMemberOf(group.name, group.epoch))
        return;
    const auto state = head->record.group->state;
    if (state != MemberState::Joining && state != MemberState::Ready)
        return;
    group.phase = GroupPhase::Joining;
    group.since = m_now;
    group.readyBy = m_now;
    if (const auto* service = m_table->service(group.service); service && service->engine) {
        for (const auto& it : service->engine->models)
            group.readyBy = it.name == group.model ? m_now + it.loadTime : group.readyBy;
    }
}

bool Control::isReleased(const Membership& membership) const
{
    const auto it = m_released.find(membership.group);
    return it != m_released.end() && it->second >= membership.epoch;
}

void Control::released(const Group& group, const std::string& reason, Effects& effects)
{
    m_released[group.name] = group.epoch;
    log("release group", group.name, reason, effects);
}

void Control::keepLoads(const Group& group)
{
    for (const auto& it : group.loading)
        m_staging.emplace(it, std::make_pair(group.model, group.since));
}

void Control::startClosing(Group& group, bool shed, const std::string& reason, Effects& effects)
{
    log("close group", group.name, reason, effects);
    group.phase = GroupPhase::Closing;
    group.since = m_now;
    group.shed = shed;
    group.headLeaving = false;
    if (shed && !group.head().empty())
        m_lost.insert(group.head());
    std::fill(group.orderedAt.begin(), group.orderedAt.end(), Instant {});
}

void Control::reviewJoining(Group& group, Effects& effects)
{
    bool ready = true;
    for (std::size_t rank = 0; rank < group.members.size(); ++rank) {
        const auto* server = m_registry.find(group.members[rank]);
        if (!server || isDead(*server) || server->record.draining || m_now > group.readyBy + m_settings.joinMargin) {
            log("give up group", group.name,
                "member " + group.members[rank].text()
                    + (server && !isDead(*server) ? " is not ready in time" : " is lost"),
                effects);
            keepLoads(group);
            m_released[group.name] = group.epoch;
            group.members.clear();
            return;
        }
        const auto& record = server->record;
        const bool joined = record.isMemberOf(group.name, group.epoch);
        const bool memberReady = joined && record.group->state != MemberState::Joining;
        if (memberReady)
            std::erase(group.loading, record.id);
        ready = ready && memberReady;
        if (!joined && orderDue(group, rank))
            orderMember(group, rank, OrderKind::Join, effects);
    }
    if (!ready)
        return;
    log("open group", group.name, "all members are ready", effects);
    group.phase = GroupPhase::Opening;
    group.since = m_now;
    orderMember(group, 0, OrderKind::Open, effects);
}

void Control::reviewOpening(Group& group, Effects& effects)
{
    const auto* head = m_registry.find(group.head());
    if (const auto damage = damageOf(group); !damage.empty())
        return startClosing(group, true, damage, effects);
    if (head->record.group->state == MemberState::Open) {
        log("serve group", group.name, "the head is open", effects);
        group.sawOpen = true;
        group.phase = GroupPhase::Open;
        group.since = m_now;
        return;
    }
    if (m_now > group.since + openMargin)
        return startClosing(group, true, "the head does not open", effects);
    if (orderDue(group, 0))
        orderMember(group, 0, OrderKind::Open, effects);
}

void Control::reviewOpen(Group& group, Effects& effects)
{
    const auto* head = group.head().empty() ? nullptr : m_registry.find(group.head());
    if (head && head->record.isMemberOf(group.name, group.epoch) && head->record.group->state == MemberState::Open)
        group.sawOpen = true;
    if (continueForming(group); group.phase != GroupPhase::Open)
        return;
    if (const auto damage = damageOf(group); !damage.empty()) {
        const bool drains = damage.ends_with("drains");
        return startClosing(group, !drains, damage, effects);
    }
    if (head && head->record.group && head->record.group->state != MemberState::Open && m_targetsComplete)
        startClosing(group, true, "the head is not open", effects);
}

bool Control::reviewClosing(Group& group, Effects& effects)
{
    const auto* head = group.head().empty() ? nullptr : m_registry.find(group.head());
    if (head && (head->gone || !head->record.isMemberOf(group.name, group.epoch)))
        return true;
    const auto state = head ? head->record.group->state : MemberState::Joining;
    const bool closed = head && (state == MemberState::Broken || (group.sawOpen && state == MemberState::Ready));
    if (closed && !group.openUncertain)
        return true;
    if (closed && !group.headLeaving && !isDead(*head)) {
        group.headLeaving = true;
        orderMember(group, 0, OrderKind::Leave, effects);
        return false;
    }
    // A new leader has yet to hear of the head.
    if (!head && !m_targetsComplete)
        return false;
    if (!head || isDead(*head)) {
        log("abandon group", group.name, "the head cannot be reached", effects);
        group.phase = GroupPhase::Abandoned;
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

bool Control::isForgotten(const Group& group) const
{
    return std::none_of(group.members.begin(), group.members.end(), [&](const auto& it) {
        const auto* server = m_registry.find(it);
        return server && !server->gone;
    });
}

bool Control::reviewAbandoned(Group& group, Effects& effects)
{
    const auto* head = group.head().empty() ? nullptr : m_registry.find(group.head());
    if (head && (head->gone || !head->record.isMemberOf(group.name, group.epoch)))
        return true;
    if (head && isAlive(*head) && !isDead(*head)) {
        startClosing(group, true, "the head is back", effects);
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
        case GroupPhase::Abandoned:
            finished = reviewAbandoned(group, effects);
            break;
        }
        if (group.phase == GroupPhase::Abandoned && !finished && isForgotten(group)) {
            // Not released: members that return after a long cut are adopted, since their head may still serve.
            log("forget group", group.name, "no member is known any more", effects);
            it = m_groups.erase(it);
            continue;
        }
        if (finished && group.phase != GroupPhase::Joining)
            released(group, "its members may join other groups", effects);
        it = finished ? m_groups.erase(it) : std::next(it);
    }
}

void Control::handle(const event::OrderAnswered& event, Effects& effects)
{
    using event::OrderResult;
    if (!m_leads || event.order.fencing.value != m_term)
        return;
    auto* server = m_registry.find(event.server);
    if (event.order.kind == OrderKind::Stage) {
        if (event.result != OrderResult::InProgress && event.result != OrderResult::Unknown)
            m_staging.erase(event.server);
        return;
    }
    const auto it = m_groups.find(event.order.group);
    if (event.result != OrderResult::InProgress && event.result != OrderResult::Done)
        log("order failed", event.server.text(),
            event.order.group + " kind " + std::to_string(static_cast<int>(event.order.kind)) + " result "
                + std::to_string(static_cast<int>(event.result)),
            effects);
    if (it == m_groups.end() || it->second.epoch != event.order.epoch)
        return;
    auto& group = it->second;
    if (event.result == OrderResult::Gone && server)
        server->gone = true;
    const bool done = event.result == OrderResult::Done || event.result == OrderResult::Conflict;
    if (event.order.kind == OrderKind::Open && event.result == OrderResult::Unknown)
        group.openUncertain = true;
    if (event.order.kind == OrderKind::Close && group.phase == GroupPhase::Closing && done) {
        if (group.openUncertain) {
            group.headLeaving = true;
            orderMember(group, 0, OrderKind::Leave, effects);
        } else {
            released(group, "the head has closed", effects);
            m_groups.erase(it);
        }
    } else if (event.order.kind == OrderKind::Leave && group.phase == GroupPhase::Closing && group.headLeaving
        && event.server == group.head() && (done || event.result == OrderResult::InProgress)) {
        released(group, "the head has left", effects);
        m_groups.erase(it);
    } else if (event.order.kind == OrderKind::Leave && group.phase == GroupPhase::Abandoned
        && (done || event.result == OrderResult::InProgress) && group.leftAt == Instant {}) {
        group.leftAt = m_now;
    }
    formGroups(effects);
}

} // namespace rosemarymill::fleet
