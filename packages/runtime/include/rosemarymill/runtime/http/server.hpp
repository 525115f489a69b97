#pragma once

#include <rosemarymill/runtime/base/address.hpp>
#include <rosemarymill/runtime/base/connection_budget.hpp>
#include <rosemarymill/runtime/base/libevent_handles.hpp>

#include <evhtp.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

/// HTTP/1.1 server based on libevhtp, with limits on the size and receive time of requests.
namespace rosemarymill::runtime::http {

/// Default limit of a request body in bytes. A longer one is received without keeping it and rejected with status 413.
inline constexpr std::size_t maxBodyBytes = 1024 * 1024;

/// The same for listeners whose requests have no body.
inline constexpr std::size_t maxMonitoringBodyBytes = 16 * 1024;

/// Body length in bytes above which the connection is closed without a response.
inline constexpr std::size_t maxDiscardedBodyBytes = 16 * maxBodyBytes;

/// Largest total length of header names and values in bytes.
inline constexpr std::size_t maxHeaderBytes = 16 * 1024;

/// Timeout for receiving the whole request, from its first byte.
inline constexpr timeval receiveTimeout { 10, 0 };

/// Idle timeout: a connection without a request for this long is closed.
inline constexpr timeval idleTimeout { 75, 0 };

/// Kernel send buffer of a caller's connection in bytes. A fixed size keeps the kernel from growing it to megabytes
/// for a caller that reads slowly; it allows 64 MiB/s at the round-trip time of 1 ms between callers and entry VMs.
inline constexpr int sendBufferBytes = 64 * 1024;

using Headers = std::vector<std::pair<std::string, std::string>>;

class Server;

namespace detail {
struct Connection;
} // namespace detail

/// One request and its response. It exists until the response is sent or the client closes the connection; onClosed
/// notifies its user of both.
class Exchange {
public:
    Exchange(detail::Connection& connection, evhtp_request_t* request);

    [[nodiscard]] std::string_view method() const noexcept;
    [[nodiscard]] std::string_view path() const noexcept;
    /// Query without the question mark.
    [[nodiscard]] std::string_view query() const noexcept;
    /// Value of a request header; empty if it is missing.
    [[nodiscard]] std::string_view header(const char* name) const noexcept;
    [[nodiscard]] std::string& body() noexcept { return m_body; }

    /// Sends a complete response. The exchange must not be used afterwards.
    void reply(int status, std::string_view contentType, std::string_view body, const Headers& headers = {});
    /// Sends a complete response. The buffer's bytes are referenced, not copied, so that several responses can share
    /// it.
    void reply(int status, std::string_view contentType, evbuffer* body, const Headers& headers = {});

    /// Starts a response of unknown length.
    void begin(int status, std::string_view contentType, const Headers& headers = {});
    /// Moves bytes out of a buffer into the response.
    void write(evbuffer* buf);
    /// Ends a response started with begin(). The exchange must not be used afterwards.
    void end();

    /// Closes the connection without finishing the response.
    void abort();

    /// Whether the client has not closed its side: it may have done so while the request was still in the socket's
    /// buffer.
    [[nodiscard]] bool clientConnected() const noexcept;

    /// Bytes of the response that the kernel has not accepted.
    [[nodiscard]] std::size_t unsentBytes() const noexcept;

    /// Called once when the exchange ends: the response was sent or the connection was closed.
    std::function<void()> onClosed;
    /// Called when the kernel has accepted bytes of the response.
    std::function<void()> onDrained;

private:
    friend class Server;
    friend struct detail::Connection;

    void addHeaders(std::string_view contentType, const Headers& headers);

    detail::Connection& m_connection;
    evhtp_request_t* m_request;
    std::string m_body;
    bool m_tooLarge { false };
    /// The request cannot be executed because of the memory that others take.
    bool m_overloaded { false };
    bool m_chunked { true };
};

/// Listener for one address. Requests without a matching route are answered with status 404 or 405.
class Server {
public:
    using Handler = std::function<void(Exchange&)>;

    /// Binds the listener. Request bodies have at most `maxBody` bytes. Throws std::runtime_error when the address
    /// cannot be bound. The budget must outlive the server.
    Server(
        event_base* base, const SocketAddress& address, ConnectionBudget& budget, std::size_t maxBody = maxBodyBytes);
    ~Server();

    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    /// Bound address, with the port chosen by the kernel when port 0 was requested.
    [[nodiscard]] const SocketAddress& address() const noexcept { return m_address; }

    /// Registers a handler for a method (all methods if empty) and a path. A path that ends in "/" matches by prefix.
    void route(std::string method, std::string path, Handler handler);

    /// Open connections.
    [[nodiscard]] std::size_t connections() const noexcept { return m_connections.size(); }

private:
    friend struct detail::Connection;

    struct Route {
        std::string method;
        std::string path;
        Handler handler;
    };

    void dispatch(Exchange& exchange);
    static evhtp_res onAccept(evhtp_connection_t* connection, void* server);

    event_base* m_base;
    ConnectionBudget& m_budget;
    std::size_t m_maxBody;
    SocketAddress m_address;
    evhtp_t* m_htp;
    std::optional<ListenerGuard> m_listenerGuard;
    std::vector<Route> m_routes;
    std::unordered_map<evhtp_connection_t*, std::unique_ptr<detail::Connection>> m_connections;
};

} // namespace rosemarymill::runtime::http
