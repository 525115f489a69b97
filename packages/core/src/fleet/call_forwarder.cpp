#include <rosemarymill/core/fleet/call_forwarder.hpp>

#include <utility>

namespace rosemarymill::fleet {

void CallForwarder::reduce(const ForwarderEvent& event, Effects& effects)
{
    std::visit([&](const auto& it) { handle(it, effects); }, event);
}

void CallForwarder::fail(CallId id, const Pending& it, ForwardFailure failure, Instant now, Effects& effects)
{
    effects(effect::FailCall { id, failure, it.offers, now - it.receivedAt });
}

void CallForwarder::offer(CallId id, Pending& it, Instant now, Effects& effects) const
{
    const auto times = callTimes(it.call.body.size());
    if (!m_leaderConnected || now > it.receivedAt + times.offerWindow
        || (it.offeredAt && now < *it.offeredAt + offerInterval))
        return;
    it.offeredAt = now;
    ++it.offers;
    effects(effect::OfferCall { { id, it.call.body.size() } });
}

void CallForwarder::handle(const event::CallReceived& event, Effects& effects)
{
    Pending pending { event.call, earliestArrival(event.now), {}, 0, false };
    if (!m_noLeaderSince && !m_leaderConnected)
        m_noLeaderSince = event.now;
    if (!m_leaderConnected && event.now >= *m_noLeaderSince + noLeaderTimeout)
        return fail(event.id, pending, ForwardFailure::NoLeader, event.now, effects);
    if (m_calls.size() >= maxCalls)
        return fail(event.id, pending, ForwardFailure::Full, event.now, effects);
    offer(event.id, m_calls.emplace(event.id, std::move(pending)).first->second, event.now, effects);
}

void CallForwarder::handle(const event::CallerDisconnected& event, Effects&) { m_calls.erase(event.id); }

void CallForwarder::handle(const event::LeaderReached& event, Effects& effects)
{
    m_leaderConnected = true;
    m_noLeaderSince.reset();
    for (auto& [id, it] : m_calls) {
        it.offeredAt.reset();
        offer(id, it, event.now, effects);
    }
}

void CallForwarder::handle(const event::LeaderLost& event, Effects&)
{
    m_leaderConnected = false;
    if (!m_noLeaderSince)
        m_noLeaderSince = event.now;
}

void CallForwarder::handle(const event::TicketArrived& event, Effects& effects)
{
    const auto it = m_calls.find(event.ticket.id);
    if (it == m_calls.end())
        return;
    auto& pending = it->second;
    if (event.now > pending.receivedAt + callTimes(pending.call.body.size()).offerWindow)
        return;
    pending.sent = true;
    // Restarts the offer interval, so that the leader has this time to execute the call before it is offered again.
    pending.offeredAt = event.now;
    effects(effect::SendCall { { it->first, pending.call } });
}

void CallForwarder::handle(const event::AnswerArrived& event, Effects& effects)
{
    const auto it = m_calls.find(event.answer.id);
    if (it == m_calls.end())
        return;
    effects(
        effect::AnswerCaller { it->first, event.answer.answer, it->second.offers, event.now - it->second.receivedAt });
    m_calls.erase(it);
}

Instant CallForwarder::earliestArrival(Instant now) const noexcept
{
    if (m_tickedAt && now > *m_tickedAt + pauseThreshold)
        return *m_tickedAt;
    return now < m_backlogUntil ? m_pausedSince : now;
}

void CallForwarder::handle(const event::ForwarderTick& event, Effects& effects)
{
    if (m_tickedAt && event.now > *m_tickedAt + pauseThreshold) {
        m_pausedSince = *m_tickedAt;
        m_backlogUntil = event.now + backlogReadTime;
    }
    m_tickedAt = event.now;
    for (auto it = m_calls.begin(); it != m_calls.end();) {
        auto& [id, pending] = *it;
        if (event.now >= pending.receivedAt + callTimes(pending.call.body.size()).answerTimeout) {
            fail(id, pending, pending.sent ? ForwardFailure::Unknown : ForwardFailure::NotAccepted, event.now, effects);
            it = m_calls.erase(it);
            continue;
        }
        offer(id, pending, event.now, effects);
        ++it;
    }
}

} // namespace rosemarymill::fleet
