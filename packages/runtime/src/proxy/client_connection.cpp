#include <rosemarymill/runtime/proxy/client_connection.hpp>

#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/proxy/call.hpp>
#include <rosemarymill/runtime/proxy/proxy.hpp>
#include <rosemarymill/runtime/proxy/socket.hpp>

#include <array>
#include <cstdio>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

namespace rosemarymill::runtime::proxy {

namespace {

/// Limit in bytes on input read ahead while the current request is in progress.
constexpr std::size_t readAheadBytes = 64 * 1024;

} // namespace

ClientConnection::ClientConnection(Proxy& proxy, int socket)
    : m_proxy(proxy)
    , m_buf(bufferevent_socket_new(proxy.m_base, socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
    , m_parser(Parser::Side::Request)
    , m_phaseStartedAt(readClock())
{
    setClientSocketOptions(socket);
    bufferevent_setcb(m_buf.get(), onRead, onWrite, onEvent, this);
    bufferevent_setwatermark(m_buf.get(), EV_READ, 0, readAheadBytes);
    bufferevent_enable(m_buf.get(), EV_READ | EV_WRITE);
}

ClientConnection::~ClientConnection() = default;

void ClientConnection::onRead(bufferevent*, void* self) { static_cast<ClientConnection*>(self)->parse(); }

void ClientConnection::onWrite(bufferevent*, void* self) { static_cast<ClientConnection*>(self)->drained(); }

void ClientConnection::onEvent(bufferevent*, short, void* self)
{
    auto& it = *static_cast<ClientConnection*>(self);
    it.m_proxy.remove(it);
}

void ClientConnection::drained()
{
    if (m_closeAfterWrite && unsentBytes() == 0)
        return m_proxy.remove(*this);
    if (m_call)
        m_call->clientDrained();
}

void ClientConnection::parse()
{
    if (m_parsing)
        return;
    m_parsing = true;
    auto* input = bufferevent_get_input(m_buf.get());
    while (!m_call && !m_closeAfterWrite && evbuffer_get_length(input) > 0) {
        const auto n = evbuffer_get_contiguous_space(input);
        const auto* data = reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(n)));
        const bool started = m_parser.started();
        const auto used = m_parser.feed({ data, n });
        evbuffer_drain(input, used);
        if (!started && m_parser.started())
            m_phaseStartedAt = readClock();
        takeBody();
        const auto& limits = m_proxy.limits();
        if (m_parser.failed())
            refuse(400, "Bad Request");
        else if (m_parser.headBytes() > limits.headerBytes && !m_parser.headComplete())
            refuse(431, "Request Header Fields Too Large");
        else if (bodyBytes() > limits.bodyBytes || m_parser.head().length.value_or(0) > limits.bodyBytes)
            refuse(413, "Content Too Large");
        else if (m_parser.complete())
            requestComplete();
        else if (m_parser.headComplete() && !m_continueSent
            && listContains(m_parser.head().find("Expect"), "100-continue")) {
            m_continueSent = true;
            constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
            bufferevent_write(m_buf.get(), interim.data(), interim.size());
        }
    }
    m_parsing = false;
}

std::size_t ClientConnection::bodyBytes() const noexcept { return m_body ? evbuffer_get_length(m_body.get()) : 0; }

void ClientConnection::takeBody()
{
    auto& parsed = m_parser.body();
    if (parsed.empty())
        return;
    if (!m_body)
        m_body.reset(evbuffer_new());
    evbuffer_add(m_body.get(), parsed.data(), parsed.size());
    parsed = {};
}

void ClientConnection::refuse(unsigned status, std::string_view reason) { sendResponse(status, reason, {}, {}, true); }

void ClientConnection::requestComplete()
{
    m_keepAlive = m_parser.head().keepAlive;
    if (m_parser.head().upgrade)
        return refuse(400, "Bad Request");
    auto head = m_parser.takeHead();
    m_parser.reset();
    m_continueSent = false;
    m_call = std::make_unique<Call>(m_proxy, *this, std::move(head), std::move(m_body));
    m_call->start();
}

bool ClientConnection::closing() const noexcept { return !m_keepAlive || m_proxy.draining(); }

void ClientConnection::sendResponse(
    unsigned status, std::string_view reason, std::string_view headers, std::string_view body, bool close)
{
    auto* output = bufferevent_get_output(m_buf.get());
    evbuffer_add_printf(output, "HTTP/1.1 %u %.*s\r\nContent-Length: %zu\r\n%s", status,
        static_cast<int>(reason.size()), reason.data(), body.size(), close ? "Connection: close\r\n" : "");
    evbuffer_add(output, headers.data(), headers.size());
    evbuffer_add(output, "\r\n", 2);
    evbuffer_add(output, body.data(), body.size());
    responseWritten(close);
}

void ClientConnection::beginChunked(std::string_view head) { bufferevent_write(m_buf.get(), head.data(), head.size()); }

void ClientConnection::writeChunk(std::string_view bytes)
{
    auto* output = bufferevent_get_output(m_buf.get());
    evbuffer_add_printf(output, "%zx\r\n", bytes.size());
    evbuffer_add(output, bytes.data(), bytes.size());
    evbuffer_add(output, "\r\n", 2);
}

void ClientConnection::endChunked(bool close)
{
    constexpr std::string_view lastChunk = "0\r\n\r\n";
    bufferevent_write(m_buf.get(), lastChunk.data(), lastChunk.size());
    responseWritten(close);
}

void ClientConnection::responseWritten(bool close)
{
    m_phaseStartedAt = readClock();
    m_closeAfterWrite = close;
    dropCall();
    // Pipelined requests that arrived meanwhile are parsed by the loop in parse(), or by a callback that is triggered
    // here.
    if (!m_parsing && !close && evbuffer_get_length(bufferevent_get_input(m_buf.get())) > 0)
        bufferevent_trigger(m_buf.get(), EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

void ClientConnection::dropCall()
{
    if (!m_call)
        return;
    m_call->clientDisconnected();
    m_proxy.finish(std::move(m_call));
}

void ClientConnection::abort() { m_proxy.remove(*this); }

std::size_t ClientConnection::unsentBytes() const noexcept
{
    return evbuffer_get_length(bufferevent_get_output(m_buf.get()));
}

bool ClientConnection::idle() const noexcept
{
    return !m_call && !m_parser.started() && evbuffer_get_length(bufferevent_get_input(m_buf.get())) == 0
        && unsentBytes() == 0;
}

bool ClientConnection::timedOut(Instant now)
{
    const auto& limits = m_proxy.limits();
    if (m_call)
        return false;
    // A client that reads slowly gets the whole response, also when the connection closes after it.
    if (const auto unsent = unsentBytes(); unsent != std::exchange(m_unsentBytes, unsent) && !m_parser.started())
        m_phaseStartedAt = now;
    return now > m_phaseStartedAt + (m_parser.started() ? limits.headerTimeout : limits.idleTimeout);
}

} // namespace rosemarymill::runtime::proxy
