#pragma once

#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/runtime/base/libevent_handles.hpp>

#include <string>
#include <unordered_map>
#include <vector>

/// Keep-alive connections to backend servers.
namespace rosemarymill::runtime::backend {

/// Limit of idle connections per address. The number of connections in use is not limited.
inline constexpr std::size_t maxIdleConnections = 64;

/// Time without progress after which a request times out. It exceeds the longest delay of a busy engine before the
/// first token; a failed server is detected earlier by its missing announcements.
inline constexpr Duration defaultProgressTimeout = 120s;

/// The same time as evhttp's timeout, which restarts with each byte.
inline constexpr timeval evhttpTimeout { 120, 0 };

/// Pool of evhttp connections by address. A connection is used for one request at a time.
class ConnectionPool {
public:
    explicit ConnectionPool(event_base* base);

    /// Returns an idle connection or creates a new one; null when the address is malformed.
    HttpConnectionHandle take(const std::string& address);

    /// Returns a connection to the pool once its response is complete.
    void put(const std::string& address, HttpConnectionHandle connection);

    /// Frees a connection outside of its own callbacks.
    void discard(HttpConnectionHandle connection);

private:
    event_base* m_base;
    EventHandle m_cleanUp;
    std::unordered_map<std::string, std::vector<HttpConnectionHandle>> m_idle;
    std::vector<HttpConnectionHandle> m_discarded;
};

} // namespace rosemarymill::runtime::backend
