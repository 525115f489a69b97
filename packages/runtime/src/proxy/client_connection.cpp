#include <rosemarymill/runtime/proxy/client_connection.hpp>

#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/base/log.hpp>
#include <rosemarymill/runtime/base/reset_on_close.hpp>
#include <rosemarymill/runtime/proxy/call.hpp>
#include <rosemarymill/runtime/proxy/proxy.hpp>
#include <rosemarymill/runtime/proxy/socket.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>

namespace rosemarymill::runtime::proxy {

namespace {

/// Limit in bytes on input read ahead while the current request is in progress.
constexpr std::size_t readAheadBytes = 64 * 1024;

/// Unsent bytes of a response above which a pipelined request has to wait: as much as is read ahead of it.
constexpr std::size_t maxUnsentBytes = readAheadBytes;

/// Memory in bytes of a client's connection without a request, with its buffers and its parser: twice the growth of the
/// resident memory by each of 800 connections.
constexpr std::size_t clientConnectionBytes = 4 * 1024;

} // namespace

ClientConnection::ClientConnection(Proxy& proxy, int socket)
    : m_proxy(proxy)
    , m_buf(bufferevent_socket_new(proxy.m_base, socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
    , m_parser(Parser::Side::Request)
    , m_phaseStartedAt(readClock())
    , m_slot(proxy.m_budget, *this)
{
    setClientSocketOptions(socket);
    bufferevent_setcb(m_buf.get(), onRead, onWrite, onEvent, this);
    bufferevent_setwatermark(m_buf.get(), EV_READ, 0, readAheadBytes);
    bufferevent_enable(m_buf.get(), EV_READ | EV_WRITE);
    updateUsage();
}

ClientConnection::~ClientConnection() = default;

void ClientConnection::close() noexcept
{
    closeSocket(m_buf.get());
    m_buf.reset();
    // The object gives back its memory now, since it is destroyed only after other events of this iteration.
    m_body.reset();
    m_parser.reset();
}

void ClientConnection::onRead(bufferevent*, void* self)
{
    auto& it = *static_cast<ClientConnection*>(self);
    it.m_slot.closeOthers();
    if (it.m_discardBytes == 0)
        return it.parse();
    it.discardInput();
    it.closeIfWritten();
}

void ClientConnection::onWrite(bufferevent*, void* self) { static_cast<ClientConnection*>(self)->drained(); }

void ClientConnection::onEvent(bufferevent*, short, void* self)
{
    auto& it = *static_cast<ClientConnection*>(self);
    it.m_proxy.remove(it);
}

void ClientConnection::drained()
{
    if (closeIfWritten())
        return;
    if (m_call)
        m_call->clientDrained();
    // Pipelined requests wait until the response before them is sent.
    if (!m_call && evbuffer_get_length(bufferevent_get_input(m_buf.get())) > 0)
        return parse();
    updateUsage();
}

bool ClientConnection::closeIfWritten()
{
    if (!m_closeAfterWrite || unsentBytes() > 0)
        return false;
    if (m_discardBytes == 0) {
        m_proxy.remove(*this);
        return true;
    }
    // The client closes the connection, or the header timeout does.
    shutdown(bufferevent_getfd(m_buf.get()), SHUT_WR);
    return false;
}

void ClientConnection::parse()
{
    if (m_parsing)
        return;
    m_parsing = true;
    auto* input = bufferevent_get_input(m_buf.get());
    while (!m_call && !m_closeAfterWrite && unsentBytes() <= maxUnsentBytes && evbuffer_get_length(input) > 0) {
        const auto n = evbuffer_get_contiguous_space(input);
        const auto* data = reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(n)));
        const bool started = m_parser.started();
        const auto used = m_parser.feed({ data, n });
        evbuffer_drain(input, used);
        if (!started && m_parser.started())
            m_phaseStartedAt = readClock();
        takeBody();
        if (!withinLimits())
            break;
        if (m_parser.complete())
            requestComplete();
        else if (m_parser.headComplete() && !m_continueSent
            && listContains(m_parser.head().find("Expect"), "100-continue")) {
            m_continueSent = true;
            constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
            bufferevent_write(m_buf.get(), interim.data(), interim.size());
        }
    }
    m_parsing = false;
    updateUsage();
}

bool ClientConnection::withinLimits()
{
    const auto& limits = m_proxy.limits();
    const auto announced = m_parser.head().length.value_or(
        bodyBytes() + std::min<std::uint64_t>(m_parser.chunkBytesLeft(), limits.bodyBytes + 1));
    if (m_parser.failed())
        refuse(400, "Bad Request");
    else if (m_parser.headBytes() > limits.headerBytes && !m_parser.headComplete())
        refuse(431, "Request Header Fields Too Large");
    else if (bodyBytes() > limits.bodyBytes || announced > limits.bodyBytes)
        refuse(413, "Content Too Large");
    else if (m_parser.headComplete() && !m_proxy.m_budget.admits(announced))
        refuseForMemory();
    else
        return true;
    return false;
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

void ClientConnection::refuse(unsigned status, std::string_view reason)
{
    // The rest of the request is not read.
    bufferevent_disable(m_buf.get(), EV_READ);
    m_body.reset();
    sendResponse(status, reason, {}, nullptr, true);
}

void ClientConnection::refuseForMemory()
{
    const auto& names = m_proxy.m_settings.names;
    const auto id = m_parser.head().find(names.attemptId);
    auto headers = retryAfterLine(overloadRetryAfter);
    if (!id.empty())
        headers.append(names.attemptId).append(": ").append(id).append("\r\n");
    writeDecision("call", "refused",
        { { "request", std::string(id) }, { "status", "503" },
            { "why", "the requests in progress take all of the memory" }, { "bytes", std::to_string(bodyBytes()) } });
    m_body.reset();
    m_discardBytes = m_proxy.limits().bodyBytes;
    sendResponse(503, "Service Unavailable", headers, nullptr, true);
    discardInput();
}

void ClientConnection::discardInput()
{
    auto* input = bufferevent_get_input(m_buf.get());
    const auto n = evbuffer_get_length(input);
    evbuffer_drain(input, n);
    m_discardBytes -= std::min(n, m_discardBytes);
    if (m_discardBytes == 0)
        bufferevent_disable(m_buf.get(), EV_READ);
}

void ClientConnection::closeForOverload()
{
    // No byte of an unfinished request has been sent to a server. The response to an earlier one must not be mixed with
    // this one.
    if (!m_call && m_parser.started() && !m_closeAfterWrite && unsentBytes() == 0)
        trySend(bufferevent_getfd(m_buf.get()), overloadResponse());
    abort();
}

void ClientConnection::updateUsage()
{
    using limits::Activity;
    if (!m_buf)
        return;
    const auto unsent = unsentBytes();
    auto activity = Activity::Idle;
    if (m_call)
        activity = unsent > 0 ? Activity::Streaming : Activity::Executing;
    else if (unsent > 0)
        activity = Activity::Sending;
    else if (m_parser.started())
        activity = Activity::Receiving;
    m_slot.update(activity,
        clientConnectionBytes + unsent + evbuffer_get_length(bufferevent_get_input(m_buf.get())) + bodyBytes()
            + m_parser.headMemory() + (m_call ? m_call->heldBytes() : 0));
}

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
    unsigned status, std::string_view reason, std::string_view headers, evbuffer* body, bool close)
{
    auto* output = bufferevent_get_output(m_buf.get());
    evbuffer_add_printf(output, "HTTP/1.1 %u %.*s\r\nContent-Length: %zu\r\n%s", status,
        static_cast<int>(reason.size()), reason.data(), body ? evbuffer_get_length(body) : 0,
        close ? "Connection: close\r\n" : "");
    evbuffer_add(output, headers.data(), headers.size());
    evbuffer_add(output, "\r\n", 2);
    if (body)
        evbuffer_add_buffer(output, body);
    responseWritten(close);
}

void ClientConnection::beginChunked(std::string_view head) { bufferevent_write(m_buf.get(), head.data(), head.size()); }

void ClientConnection::writeChunk(std::string_view bytes)
{
    auto* output = bufferevent_get_output(m_buf.get());
    evbuffer_add_printf(output, "%zx\r\n", bytes.size());
    evbuffer_add(output, bytes.data(), bytes.size());
    evbuffer_add(output, "\r\n", 2);
    updateUsage();
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
    if (!m_parsing)
        updateUsage();
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
    updateUsage();
    if (m_call)
        return false;
    // A client that reads slowly gets the whole response, also when the connection closes after it.
    if (const auto unsent = unsentBytes(); unsent != std::exchange(m_unsentBytes, unsent) && !m_parser.started())
        m_phaseStartedAt = now;
    return now > m_phaseStartedAt + (m_parser.started() ? limits.headerTimeout : limits.idleTimeout);
}

} // namespace rosemarymill::runtime::proxy
