#pragma once

#include <rosemarymill/core/fleet/server.hpp>
#include <rosemarymill/runtime/base/receive_limit.hpp>
#include <rosemarymill/runtime/proxy/fwd.hpp>
#include <rosemarymill/runtime/proxy/message.hpp>

#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct bufferevent;
struct event_base;

/// Connections to backend servers.
namespace rosemarymill::runtime::proxy {

namespace detail {

struct FreeBufferevent {
    void operator()(bufferevent* it) const noexcept;
};

using BuffereventHandle = std::unique_ptr<bufferevent, FreeBufferevent>;

} // namespace detail

/// One connection to a server. It carries one request at a time.
class Upstream {
public:
    /// How the connection ended from the view of the call on it.
    enum class End {
        /// It was never established.
        NotConnected,
        /// The server's machine answered that no process listens.
        Refused,
        /// The server closed it in order.
        Closed,
        Reset,
        /// Bytes that are no answer.
        Invalid,
        /// More bytes than expected without progress of the answer.
        TooLong
    };

    Upstream(UpstreamPool& pool, ServerId server, const std::string& address);
    ~Upstream();
    Upstream(const Upstream&) = delete;
    Upstream& operator=(const Upstream&) = delete;

    /// Sends a request for a call. It is written once the connection is established.
    void send(Call& call, std::string request, bool headRequest);

    [[nodiscard]] Parser& parser() noexcept { return m_parser; }
    [[nodiscard]] const ServerId& server() const noexcept { return m_server; }
    [[nodiscard]] bool connected() const noexcept { return m_connected; }
    [[nodiscard]] bool reused() const noexcept { return m_uses > 1; }

    /// The answer whose head was seen belongs to another request: drops it and reads the next one.
    void skipAnswer() noexcept { m_skipping = true; }

    /// The answer made progress. At most this many bytes may come before it does so again.
    void rearm(std::size_t bytes) noexcept { m_limit.rearm(bytes); }
    /// Whether bytes arrived since the request was sent, of an answer or not.
    [[nodiscard]] bool hasReceived() const noexcept { return m_hasReceived; }

    /// Stops or continues reading, so that a slow client does not fill the memory.
    void setReading(bool reading);

private:
    friend class UpstreamPool;

    static void onRead(bufferevent* buf, void* self);
    static void onEvent(bufferevent* buf, short what, void* self);

    void readIdle();
    void readAnswer();
    /// Parses what has arrived, up to the end of the answer. Returns false when it is no answer.
    [[nodiscard]] bool parseInput();
    void fail(End end);
    [[nodiscard]] bool reusable() const;
    /// How long the server keeps the idle connection, as it said in its last answer.
    [[nodiscard]] Duration keepAliveTime() const;

    UpstreamPool& m_pool;
    ServerId m_server;
    detail::BuffereventHandle m_buf;
    Parser m_parser;
    Call* m_call { nullptr };
    std::string m_request;
    ReceiveLimit m_limit;
    bool m_hasReceived { false };
    bool m_skipping { false };
    bool m_connected { false };
    unsigned m_uses { 0 };
    Instant m_idleSince;
    Duration m_idleLimit {};
};

/// Keeps idle connections for further requests.
class UpstreamPool {
public:
    explicit UpstreamPool(event_base* base)
        : m_base(base)
    {
    }

    /// Connection for a request: an idle one, if the request may be repeated or the connection was used just now,
    /// otherwise a new one.
    [[nodiscard]] Upstream& acquire(const fleet::Target& target, bool retryable, Instant now);

    /// The call is finished with a complete answer. The connection is kept when it can carry another request.
    void release(Upstream& upstream, Instant now);

    /// Closes a connection at once. The object stays valid until cleanUp().
    void discard(Upstream& upstream);

    /// Destroys discarded connections. Not to be called from within one of their callbacks.
    void cleanUp() noexcept { m_discarded.clear(); }

    /// Closes connections that were idle for too long.
    void tick(Instant now);

    /// Connections to one server.
    [[nodiscard]] std::size_t connections(const ServerId& server) const;
    [[nodiscard]] std::size_t connections() const noexcept { return m_all.size(); }

    [[nodiscard]] event_base* base() noexcept { return m_base; }

private:
    event_base* m_base;
    std::map<Upstream*, std::unique_ptr<Upstream>> m_all;
    std::vector<std::unique_ptr<Upstream>> m_discarded;
    std::map<ServerId, std::list<Upstream*>> m_idle;
    std::map<ServerId, std::size_t> m_counts;
};

} // namespace rosemarymill::runtime::proxy
