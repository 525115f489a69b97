#pragma once

#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/runtime/base/libevent_handles.hpp>

#include <string>
#include <unordered_map>
#include <vector>

/// Keep-alive connections to backend servers.
namespace rosemarymill::runtime::backend {

/// Idle connections kept per address. More concurrent requests open further connections.
inline constexpr std::size_t maxIdleConnections = 64;

/// Time without progress after which a request counts as timed out. It is above the longest pause that a busy engine
/// makes before the first token; a lost server is noticed earlier by its missing announcements.
inline constexpr Duration maxSilence = 120s;

/// The same for evhttp, which begins it anew with each byte.
inline constexpr timeval silenceTimeout { 120, 0 };

/// Pool of evhttp connections by address. A connection carries one request at a time.
class ConnectionPool {
public:
    explicit ConnectionPool(event_base* base);

    /// Takes an idle connection or makes a new one; null when the address is malformed.
    HttpConnectionHandle take(const std::string& address);

    /// Returns a connection whose response is complete.
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
