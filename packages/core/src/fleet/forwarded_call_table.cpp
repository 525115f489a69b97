#include <rosemarymill/core/fleet/forwarded_call_table.hpp>

#include <rosemarymill/core/fleet/call_times.hpp>

namespace rosemarymill::fleet {

ForwardedCallTable::Decision ForwardedCallTable::offered(
    const ForwardedCallKey& key, const CallOffer& offer, Instant now)
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
    m_calls[key] = { now + callTimes(offer.bytes).ticketLifetime, false, {} };
    return Decision::Ticket;
}

bool ForwardedCallTable::arrived(const ForwardedCallKey& key, Instant now)
{
    const auto it = m_calls.find(key);
    if (it == m_calls.end() || it->second.running || it->second.answer || now > it->second.until)
        return false;
    it->second.running = true;
    it->second.until = now + answerLifetime;
    return true;
}

void ForwardedCallTable::finished(const ForwardedCallKey& key, const ControlAnswer& answer, Instant now)
{
    const auto it = m_calls.find(key);
    if (it == m_calls.end())
        return;
    if (answer.body.size() > maxKeptAnswer)
        m_calls.erase(it);
    else
        it->second = { now + answerLifetime, false, answer };
}

} // namespace rosemarymill::fleet
