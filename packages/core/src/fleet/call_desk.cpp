#include <rosemarymill/core/fleet/call_desk.hpp>

#include <rosemarymill/core/fleet/call_times.hpp>

namespace rosemarymill::fleet {

CallDesk::Decision CallDesk::offered(const CarriedCallKey& key, const CallOffer& offer, Instant now)
{
    std::erase_if(m_calls, [&](const auto& it) { return now > it.second.until; });
    if (const auto it = m_calls.find(key); it != m_calls.end()) {
        if (it->second.answer)
            return Decision::Answered;
        if (it->second.running)
            return Decision::Running;
    } else if (m_calls.size() >= maxCalls) {
        return Decision::Refused;
    }
    m_calls[key] = { now + callTimes(offer.bytes).ticketLife, false, {} };
    return Decision::Ticket;
}

bool CallDesk::arrived(const CarriedCallKey& key, Instant now)
{
    const auto it = m_calls.find(key);
    if (it == m_calls.end() || it->second.running || it->second.answer || now > it->second.until)
        return false;
    it->second.running = true;
    it->second.until = now + answerLife;
    return true;
}

void CallDesk::finished(const CarriedCallKey& key, const ControlAnswer& answer, Instant now)
{
    const auto it = m_calls.find(key);
    if (it == m_calls.end())
        return;
    if (answer.body.size() > maxKeptAnswer)
        m_calls.erase(it);
    else
        it->second = { now + answerLife, false, answer };
}

} // namespace rosemarymill::fleet
