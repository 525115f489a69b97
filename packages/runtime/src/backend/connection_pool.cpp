#include <rosemarymill/runtime/backend/connection_pool.hpp>

#include <rosemarymill/runtime/base/address.hpp>

namespace rosemarymill::runtime::backend {

ConnectionPool::ConnectionPool(event_base* base)
    : m_base(base)
    , m_cleanUp(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) { static_cast<ConnectionPool*>(self)->m_discarded.clear(); }, this))
{
}

HttpConnectionHandle ConnectionPool::take(const std::string& address)
{
    if (auto it = m_idle.find(address); it != m_idle.end() && !it->second.empty()) {
        auto connection = std::move(it->second.back());
        it->second.pop_back();
        return connection;
    }
    const auto parsed = parseAddress(address);
    if (!parsed)
        return nullptr;
    HttpConnectionHandle connection(
        evhttp_connection_base_new(m_base, nullptr, formatIp(parsed.value()).c_str(), portOf(parsed.value())));
    if (connection)
        evhttp_connection_set_timeout_tv(connection.get(), &evhttpTimeout);
    return connection;
}

void ConnectionPool::put(const std::string& address, HttpConnectionHandle connection)
{
    auto& idle = m_idle[address];
    if (idle.size() < maxIdleConnections)
        idle.push_back(std::move(connection));
    else
        discard(std::move(connection));
}

void ConnectionPool::discard(HttpConnectionHandle connection)
{
    m_discarded.push_back(std::move(connection));
    event_active(m_cleanUp.get(), EV_TIMEOUT, 0);
}

} // namespace rosemarymill::runtime::backend
