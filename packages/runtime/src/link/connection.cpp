#include <rosemarymill/runtime/link/connection.hpp>

#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/base/reset_on_close.hpp>

#include <string>
#include <utility>
#include <vector>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>

namespace rosemarymill::runtime {

namespace {

// Limit of the socket's output buffer. Further frames stay in the send queue, where they can still be dropped.
constexpr std::size_t maxUnsentBytes = 64 * 1024;

std::span<const std::byte> contiguous(evbuffer* buf, std::size_t n)
{
    const auto* data = evbuffer_pullup(buf, static_cast<ev_ssize_t>(n));
    return { reinterpret_cast<const std::byte*>(data), n };
}

} // namespace

void LinkConnection::FreeBuffer::operator()(bufferevent* it) const noexcept { bufferevent_free(it); }

LinkConnection::LinkConnection(
    bufferevent* buf, const wire::link::Hello& self, LinkCounters& counters, Handlers handlers)
    : m_buf(buf)
    , m_counters(counters)
    , m_handlers(std::move(handlers))
    , m_openedAt(readClock())
    , m_lastFrame(m_openedAt)
    , m_lastReceivedAt(m_openedAt)
{
    bufferevent_setcb(buf, &LinkConnection::onRead, &LinkConnection::onWrite, &LinkConnection::onEvent, this);
    bufferevent_setwatermark(buf, EV_READ, 0, wire::frameHeaderBytes + wire::maxFramePayloadBytes);
    bufferevent_enable(buf, EV_READ | EV_WRITE);
    wire::Buffer payload;
    encode(self, payload);
    std::vector<std::byte> frame;
    wire::appendFrame(wire::FrameKind::Hello, payload, frame);
    write(wire::FrameKind::Hello, frame);
}

LinkConnection::~LinkConnection() = default;

void LinkConnection::write(wire::FrameKind kind, std::span<const std::byte> frame)
{
    bufferevent_write(m_buf.get(), frame.data(), frame.size());
    m_counters.sent[LinkCounters::slot(kind)].add(frame.size());
    m_lastFrame = readClock();
}

bool LinkConnection::writable() const { return m_remote && !m_closed && unsentBytes() < maxUnsentBytes; }

std::size_t LinkConnection::unsentBytes() const { return evbuffer_get_length(bufferevent_get_output(m_buf.get())); }

void LinkConnection::resetOnClose() noexcept { runtime::resetOnClose(m_buf.get()); }

std::string LinkConnection::timeoutReason(Instant now) const
{
    if (!m_remote && now - m_openedAt > helloTimeout)
        return "timed out waiting for Hello";
    if (m_incompleteSince && now - *m_incompleteSince > frameTimeout)
        return "timed out waiting for the rest of a frame";
    return {};
}

std::string LinkConnection::receive(const wire::FrameView& frame)
{
    m_counters.received[LinkCounters::slot(frame.kind)].add(frame.size);
    m_lastFrame = readClock();
    if (m_remote) {
        if (frame.kind == wire::FrameKind::Hello)
            return "second Hello";
        return m_handlers.onFrame(frame.kind, frame.payload) ? std::string {} : "malformed message";
    }
    if (frame.kind != wire::FrameKind::Hello)
        return "first frame is not Hello";
    auto hello = wire::link::decode(frame.payload);
    if (!hello)
        return hello.error().message();
    if (hello.value().version != config::protocolVersion)
        return "unsupported protocol version " + std::to_string(hello.value().version);
    m_remote = std::move(hello.value());
    return m_handlers.onHello(*m_remote) ? std::string {} : "unexpected process " + m_remote->vm.text();
}

void LinkConnection::readFrames()
{
    auto* input = bufferevent_get_input(m_buf.get());
    bool consumed = false;
    while (evbuffer_get_length(input) >= wire::frameHeaderBytes) {
        // The header is validated first, so that the payload of a frame with an invalid header is not buffered.
        const auto size = wire::frameSize(contiguous(input, wire::frameHeaderBytes));
        if (!size)
            return close(size.error().message(), true);
        if (evbuffer_get_length(input) < size.value())
            break;
        const auto frame = wire::readFrame(contiguous(input, size.value()));
        if (!frame)
            return close(frame.error().message(), true);
        if (const auto reason = receive(*frame.value()); !reason.empty())
            return close(reason, true);
        evbuffer_drain(input, size.value());
        consumed = true;
    }
    if (evbuffer_get_length(input) == 0)
        m_incompleteSince.reset();
    else if (consumed || !m_incompleteSince)
        m_incompleteSince = readClock();
    if (m_handlers.onWritable && writable())
        m_handlers.onWritable();
}

void LinkConnection::close(const std::string& reason, bool fault)
{
    if (std::exchange(m_closed, true))
        return;
    if (fault)
        ++m_counters.faults;
    bufferevent_disable(m_buf.get(), EV_READ | EV_WRITE);
    // The owner destroys this object in the handler.
    const auto onClosed = std::move(m_handlers.onClosed);
    onClosed(reason);
}

void LinkConnection::onRead(bufferevent*, void* self)
{
    auto& it = *static_cast<LinkConnection*>(self);
    it.m_lastReceivedAt = readClock();
    it.readFrames();
}

void LinkConnection::onWrite(bufferevent*, void* self)
{
    auto& it = *static_cast<LinkConnection*>(self);
    if (it.m_handlers.onWritable && it.writable())
        it.m_handlers.onWritable();
}

void LinkConnection::onEvent(bufferevent*, short what, void* self)
{
    auto& it = *static_cast<LinkConnection*>(self);
    if (what & BEV_EVENT_CONNECTED)
        return;
    it.close((what & BEV_EVENT_EOF) ? "closed by the peer"
                                    : std::string(evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR())),
        false);
}

} // namespace rosemarymill::runtime
