#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/runtime/http/server.hpp>

#include <unordered_map>

/// Exchanges that wait for the core's reply.
namespace rosemarymill::runtime::http {

/// Keeps exchanges by request id and forgets those whose client has gone.
class PendingReplies {
public:
    /// Registers an exchange and returns its request id.
    RequestId add(Exchange& exchange)
    {
        m_last = m_last.next();
        m_exchanges.emplace(m_last, &exchange);
        exchange.onClosed = [this, id = m_last] { m_exchanges.erase(id); };
        return m_last;
    }

    /// Hands out the exchange once; null when its client has gone.
    Exchange* take(RequestId id)
    {
        const auto it = m_exchanges.find(id);
        if (it == m_exchanges.end())
            return nullptr;
        auto* exchange = it->second;
        exchange->onClosed = nullptr;
        m_exchanges.erase(it);
        return exchange;
    }

private:
    std::unordered_map<RequestId, Exchange*> m_exchanges;
    RequestId m_last;
};

} // namespace rosemarymill::runtime::http
