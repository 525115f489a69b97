#include <rosemarymill/runtime/proxy/upstream.hpp>

#include <rosemarymill/core/base/message_head.hpp>
#include <rosemarymill/runtime/base/address.hpp>
#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/base/reset_on_close.hpp>
#include <rosemarymill/runtime/proxy/call.hpp>
#include <rosemarymill/runtime/proxy/socket.hpp>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

namespace rosemarymill::runtime::proxy {

namespace {

/// Idle time after which a connection is not reused if the server sends no Keep-Alive timeout; servers may close idle
/// connections within a second.
constexpr Duration defaultIdleLimit = 300ms;

/// Longest idle time after which a connection is still reused.
constexpr Duration maxIdleLimit = 10s;

/// Safety margin subtracted from the server's Keep-Alive timeout.
constexpr Duration idleMargin = 700ms;

/// A request that must not run twice reuses only a connection that was in use this recently, because the server may
/// close an older one while the request is sent.
constexpr Duration recentUseLimit = 200ms;

} // namespace

namespace detail {

void FreeBufferevent::operator()(bufferevent* it) const noexcept { bufferevent_free(it); }

} // namespace detail

Upstream::Upstream(UpstreamPool& pool, ServerId server, const std::string& address)
    : m_pool(pool)
    , m_server(std::move(server))
    , m_buf(bufferevent_socket_new(pool.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
    , m_parser(Parser::Side::Response)
{
    bufferevent_setcb(m_buf.get(), onRead, nullptr, onEvent, this);
    bufferevent_enable(m_buf.get(), EV_READ | EV_WRITE);
    auto parsed = parseAddress(address);
    // An immediate connect failure is reported by an event, like a later one.
    if (!parsed
        || bufferevent_socket_connect(m_buf.get(), parsed.value().get(), static_cast<int>(parsed.value().length)) != 0)
        bufferevent_trigger_event(m_buf.get(), BEV_EVENT_ERROR, BEV_TRIG_DEFER_CALLBACKS);
    else
        setServerSocketOptions(bufferevent_getfd(m_buf.get()));
}

Upstream::~Upstream() = default;

void Upstream::send(Call& call, std::string head, evbuffer* body, bool headRequest)
{
    m_call = &call;
    ++m_requestCount;
    m_parser.reset(headRequest);
    m_limit.rearm(maxResponseHeadBytes);
    m_hasReceived = m_skipping = false;
    m_body = body;
    if (m_connected)
        writeRequest(head);
    else
        m_head = std::move(head);
}

void Upstream::writeRequest(std::string_view head)
{
    bufferevent_write(m_buf.get(), head.data(), head.size());
    if (auto* body = std::exchange(m_body, nullptr))
        evbuffer_add_buffer_reference(bufferevent_get_output(m_buf.get()), body);
}

void Upstream::setReading(bool reading)
{
    if (reading)
        bufferevent_enable(m_buf.get(), EV_READ);
    else
        bufferevent_disable(m_buf.get(), EV_READ);
}

void Upstream::onRead(bufferevent*, void* self)
{
    auto& it = *static_cast<Upstream*>(self);
    if (it.m_call)
        it.readResponse();
    else
        it.readIdle();
}

void Upstream::readIdle() { m_pool.discard(*this); }

void Upstream::readResponse()
{
    auto* call = m_call;
    do {
        if (!parseInput())
            return fail(End::Invalid);
        if (m_parser.headComplete() && !m_skipping)
            call->onResponse();
        // The call may have ended or moved to another connection.
        if (!m_call || call->upstream() != this)
            return;
    } while (m_skipping && m_parser.complete());
    if (m_limit.exceeded())
        fail(End::TooLong);
}

bool Upstream::parseInput()
{
    auto* input = bufferevent_get_input(m_buf.get());
    for (;;) {
        if (m_skipping && m_parser.complete()) {
            m_parser.reset();
            m_skipping = false;
        }
        const auto n = evbuffer_get_contiguous_space(input);
        if (n == 0)
            return true;
        const auto* data = reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(n)));
        const auto used = m_parser.feed({ data, n });
        evbuffer_drain(input, used);
        m_limit.add(used);
        m_hasReceived = true;
        if (m_parser.failed())
            return false;
        if (m_parser.headComplete() && m_parser.head().status < lowestStatus)
            return false;
        // Skip interim (1xx) responses before the final one.
        constexpr unsigned firstFinalStatus = 200;
        if (m_parser.complete() && m_parser.head().status < firstFinalStatus) {
            if (m_parser.head().status == 101)
                return false;
            m_parser.reset();
            continue;
        }
        if (m_parser.complete() && !m_skipping)
            return true;
    }
}

void Upstream::onEvent(bufferevent* buf, short what, void* self)
{
    auto& it = *static_cast<Upstream*>(self);
    if (what & BEV_EVENT_CONNECTED) {
        it.m_connected = true;
        setServerSocketOptions(bufferevent_getfd(buf));
        if (!it.m_call)
            return it.m_pool.connected(it);
        it.writeRequest(std::exchange(it.m_head, {}));
        it.m_call->onConnected();
        return;
    }
    const bool refused = !it.m_connected && EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
    if (!it.m_call && !it.m_connected)
        return it.m_pool.connectFailed(it, refused ? ConnectResult::Refused : ConnectResult::NotConnected);
    if (!it.m_call)
        return it.m_pool.discard(it);
    if (!it.m_connected)
        return it.fail(refused ? End::Refused : End::NotConnected);
    // Bytes that arrived before the end of the connection belong to the response.
    if (evbuffer_get_length(bufferevent_get_input(buf)) > 0) {
        auto* call = it.m_call;
        it.readResponse();
        if (call->upstream() != &it)
            return;
    }
    // A failed write clears the socket's error, so that a read after a reset finds an ordinary end of the connection.
    // Both are reported together when they happen in one iteration of the loop.
    const bool closed = (what & BEV_EVENT_EOF) && !(what & BEV_EVENT_ERROR);
    if (closed && !it.m_skipping && it.m_parser.finish())
        return it.m_call->onResponse();
    it.fail(closed ? End::Closed : End::Reset);
}

void Upstream::fail(End end)
{
    // The call discards this connection.
    m_call->onUpstreamEnd(end);
}

bool Upstream::reusable() const
{
    return m_connected && m_parser.complete() && m_parser.head().keepAlive
        && evbuffer_get_length(bufferevent_get_input(m_buf.get())) == 0
        && evbuffer_get_length(bufferevent_get_output(m_buf.get())) == 0;
}

Duration Upstream::keepAliveTime() const
{
    constexpr std::string_view parameter = "timeout=";
    const auto text = m_parser.head().find("Keep-Alive");
    const auto at = text.find(parameter);
    unsigned seconds = 0;
    if (at == std::string_view::npos
        || std::from_chars(text.data() + at + parameter.size(), text.data() + text.size(), seconds).ec != std::errc {})
        return defaultIdleLimit;
    return std::clamp(Duration { std::chrono::seconds { seconds } } - idleMargin, defaultIdleLimit, maxIdleLimit);
}

Upstream& UpstreamPool::acquire(const fleet::Target& target, bool retryable, Instant now)
{
    if (const auto idle = m_idle.find(target.id); idle != m_idle.end() && !idle->second.empty()) {
        auto& upstream = *idle->second.back();
        const auto limit = retryable ? upstream.m_idleLimit : std::min(upstream.m_idleLimit, recentUseLimit);
        if (now < upstream.m_idleSince + limit) {
            idle->second.pop_back();
            return upstream;
        }
    }
    return open(target);
}

Upstream& UpstreamPool::open(const fleet::Target& target)
{
    auto upstream = std::make_unique<Upstream>(*this, target.id, target.address);
    auto& result = *upstream;
    m_all.emplace(&result, std::move(upstream));
    ++m_counts[target.id];
    return result;
}

void UpstreamPool::connect(const fleet::Target& target, Instant now)
{
    auto& upstream = open(target);
    upstream.m_idleSince = now;
    m_connecting.insert(&upstream);
}

void UpstreamPool::connected(Upstream& upstream)
{
    m_connecting.erase(&upstream);
    upstream.m_idleSince = readClock();
    upstream.m_idleLimit = defaultIdleLimit;
    m_idle[upstream.m_server].push_back(&upstream);
    if (m_connectHandler)
        m_connectHandler(upstream.m_server, ConnectResult::Connected);
}

void UpstreamPool::connectFailed(Upstream& upstream, ConnectResult result)
{
    const auto server = upstream.m_server;
    discard(upstream);
    if (m_connectHandler)
        m_connectHandler(server, result);
}

void UpstreamPool::release(Upstream& upstream, Instant now)
{
    upstream.m_call = nullptr;
    if (!upstream.reusable())
        return discard(upstream);
    upstream.setReading(true);
    upstream.m_idleSince = now;
    upstream.m_idleLimit = upstream.keepAliveTime();
    m_idle[upstream.m_server].push_back(&upstream);
}

void UpstreamPool::discard(Upstream& upstream)
{
    const auto it = m_all.find(&upstream);
    if (it == m_all.end())
        return;
    m_connecting.erase(&upstream);
    if (const auto idle = m_idle.find(upstream.m_server); idle != m_idle.end()) {
        idle->second.remove(&upstream);
        if (idle->second.empty())
            m_idle.erase(idle);
    }
    if (const auto count = m_counts.find(upstream.m_server); count != m_counts.end() && --count->second == 0)
        m_counts.erase(count);
    upstream.m_call = nullptr;
    resetOnClose(upstream.m_buf.get());
    upstream.m_buf.reset();
    m_discarded.push_back(std::move(it->second));
    m_all.erase(it);
}

void UpstreamPool::tick(Instant now)
{
    std::vector<Upstream*> stale;
    for (const auto& [server, idle] : m_idle) {
        for (auto* it : idle) {
            if (now >= it->m_idleSince + it->m_idleLimit)
                stale.push_back(it);
        }
    }
    for (auto* it : stale)
        discard(*it);
    const auto connecting = m_connecting;
    for (auto* it : connecting) {
        if (now >= it->m_idleSince + connectTimeout)
            connectFailed(*it, ConnectResult::NotConnected);
    }
}

std::size_t UpstreamPool::connections(const ServerId& server) const
{
    const auto it = m_counts.find(server);
    return it == m_counts.end() ? 0 : it->second;
}

} // namespace rosemarymill::runtime::proxy
