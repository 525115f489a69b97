#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/runtime/http/server.hpp>

#include <unordered_map>

/// HTTP exchanges that are waiting for a reply from the core.
namespace rosemarymill::runtime::http {

/// Stores exchanges by request id and removes those whose client has closed the connection.
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

    /// Removes and returns the exchange; null when its client has closed the connection.
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
