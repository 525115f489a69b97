#pragma once

#include <rosemarymill/core/fleet/server.hpp>
#include <rosemarymill/runtime/base/receive_limit.hpp>
#include <rosemarymill/runtime/proxy/fwd.hpp>
#include <rosemarymill/runtime/proxy/message.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

struct bufferevent;
struct evbuffer;
struct event_base;

/// Connections to backend servers.
namespace rosemarymill::runtime::proxy {

namespace detail {

struct FreeBufferevent {
    void operator()(bufferevent* it) const noexcept;
};

using BuffereventHandle = std::unique_ptr<bufferevent, FreeBufferevent>;

} // namespace detail

/// One connection to a server, used for one request at a time.
class Upstream {
public:
    /// How the connection ended, as reported to its call.
    enum class End {
        /// It was never established.
        NotConnected,
        /// The connection was refused: no process listens on the port.
        Refused,
        /// The server closed it gracefully.
        Closed,
        Reset,
        /// The received bytes are not a valid HTTP response.
        Invalid,
        /// More bytes arrived than allowed without progress of the response.
        TooLong
    };

    Upstream(UpstreamPool& pool, ServerId server, const std::string& address);
    ~Upstream();
    Upstream(const Upstream&) = delete;
    Upstream& operator=(const Upstream&) = delete;

    /// Sends a request for a call, once the connection is established. The bytes of the body, which may be null, are
    /// referenced rather than copied; the buffer must not change any more.
    void send(Call& call, std::string head, evbuffer* body, bool headRequest);

    [[nodiscard]] Parser& parser() noexcept { return m_parser; }
    [[nodiscard]] const ServerId& server() const noexcept { return m_server; }
    [[nodiscard]] bool connected() const noexcept { return m_connected; }
    [[nodiscard]] bool reused() const noexcept { return m_requestCount > 1; }

    /// Discards the current response, which belongs to another request, and reads the next one.
    void skipResponse() noexcept { m_skipping = true; }

    /// Restarts the receive limit after progress of the response: at most this many bytes may arrive before the next
    /// progress.
    void rearm(std::size_t bytes) noexcept { m_limit.rearm(bytes); }
    /// Whether any bytes arrived since the request was sent, whether or not they form a response.
    [[nodiscard]] bool hasReceived() const noexcept { return m_hasReceived; }

    /// Pauses or resumes reading, so that the response to a slow client does not fill the memory.
    void setReading(bool reading);

private:
    friend class UpstreamPool;

    static void onRead(bufferevent* buf, void* self);
    static void onEvent(bufferevent* buf, short what, void* self);

    void readIdle();
    void readResponse();
    /// Parses the received bytes up to the end of the response. Returns false when they are not a valid response.
    [[nodiscard]] bool parseInput();
    void writeRequest(std::string_view head);
    void fail(End end);
    [[nodiscard]] bool reusable() const;
    /// How long the idle connection may be reused, from the Keep-Alive header of the last response.
    [[nodiscard]] Duration keepAliveTime() const;

    UpstreamPool& m_pool;
    ServerId m_server;
    detail::BuffereventHandle m_buf;
    Parser m_parser;
    Call* m_call { nullptr };
    /// Head and body of a request that waits for the connection.
    std::string m_head;
    evbuffer* m_body { nullptr };
    ReceiveLimit m_limit;
    bool m_hasReceived { false };
    bool m_skipping { false };
    bool m_connected { false };
    unsigned m_requestCount { 0 };
    Instant m_idleSince;
    Duration m_idleLimit {};
};

/// Connect timeout: VMs are a few milliseconds apart, and a lost packet is retransmitted within this time.
inline constexpr Duration connectTimeout = 350ms;

/// Outcome of an attempt to connect to a server without a request.
enum class ConnectResult {
    Connected,
    Refused,
    /// It failed for another reason, or took longer than `connectTimeout`.
    NotConnected
};

/// Pool of server connections that are reused for further requests.
class UpstreamPool {
public:
    using ConnectHandler = std::function<void(const ServerId&, ConnectResult)>;

    explicit UpstreamPool(event_base* base)
        : m_base(base)
    {
    }

    /// Sets the function that is called with the outcome of each connect().
    void onConnect(ConnectHandler handler) { m_connectHandler = std::move(handler); }

    /// Tries to connect to a server. The connection is then idle and serves the next request.
    void connect(const fleet::Target& target, Instant now);

    /// Returns a connection for a request. An idle one is reused if it is within its idle limit, or for a request that
    /// must not be retried, if it was in use within the last 200 ms; otherwise a new one is opened.
    [[nodiscard]] Upstream& acquire(const fleet::Target& target, bool retryable, Instant now);

    /// Returns the connection of a call whose response is complete. It is kept if it can be reused.
    void release(Upstream& upstream, Instant now);

    /// Closes a connection at once. The object stays valid until cleanUp().
    void discard(Upstream& upstream);

    /// Destroys discarded connections. Not to be called from within one of their callbacks.
    void cleanUp() noexcept { m_discarded.clear(); }

    /// Closes connections whose idle limit has passed.
    void tick(Instant now);

    /// Number of connections to one server.
    [[nodiscard]] std::size_t connections(const ServerId& server) const;
    [[nodiscard]] std::size_t connections() const noexcept { return m_all.size(); }

    [[nodiscard]] event_base* base() noexcept { return m_base; }

private:
    friend class Upstream;

    Upstream& open(const fleet::Target& target);
    /// A connection without a request was established, or could not be.
    void connected(Upstream& upstream);
    void connectFailed(Upstream& upstream, ConnectResult result);

    event_base* m_base;
    ConnectHandler m_connectHandler;
    /// Connections without a request that are not established yet.
    std::set<Upstream*> m_connecting;
    std::map<Upstream*, std::unique_ptr<Upstream>> m_all;
    std::vector<std::unique_ptr<Upstream>> m_discarded;
    std::map<ServerId, std::list<Upstream*>> m_idle;
    std::map<ServerId, std::size_t> m_counts;
};

} // namespace rosemarymill::runtime::proxy
