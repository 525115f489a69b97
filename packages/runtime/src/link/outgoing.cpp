#include "outgoing.hpp"

#include "socket.hpp"

#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/link/peer_links.hpp>

#include <algorithm>
#include <utility>

#include <event2/bufferevent.h>
#include <event2/event.h>

namespace rosemarymill::runtime {

OutgoingLink::OutgoingLink(OutgoingContext& context, VmId to, std::string address)
    : m_context(context)
    , m_to(std::move(to))
    , m_address(std::move(address))
    , m_queue(context.counters)
{
}

bool OutgoingLink::send(SendQueue::Frame&& frame, Instant now)
{
    m_lastUse = now;
    const bool queued = m_queue.push(std::move(frame));
    if (m_connection)
        flush();
    else if (now >= m_connectAt)
        connect(now);
    return queued;
}

void OutgoingLink::connect(Instant now)
{
    // PeerLinks::send() has validated the address.
    auto target = parseAddress(m_address).value();
    auto* buf = bufferevent_socket_new(&m_context.base, -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    if (bufferevent_socket_connect(buf, target.get(), static_cast<int>(target.length)) != 0) {
        bufferevent_free(buf);
        ++m_context.counters.connectFailures;
        handleClosed("failed to connect");
        return;
    }
    setLinkOptions(bufferevent_getfd(buf));
    m_lastUse = now;
    LinkConnection::Handlers handlers;
    handlers.onHello = [this](const wire::link::Hello& hello) {
        m_reconnectDelay = Duration::zero();
        ++m_context.counters.connects;
        return hello.vm == m_to;
    };
    // The peer sends only Hello over this link.
    handlers.onFrame = [](wire::FrameKind, std::span<const std::byte>) { return false; };
    handlers.onWritable = [this] { flush(); };
    handlers.onClosed = [this](const std::string& reason) {
        if (!m_connection->remote())
            ++m_context.counters.connectFailures;
        handleClosed(reason);
    };
    m_connection = std::make_unique<LinkConnection>(buf, m_context.self, m_context.counters, std::move(handlers));
}

void OutgoingLink::flush()
{
    while (m_connection && !m_queue.empty() && m_connection->writable()) {
        const auto frame = m_queue.pop();
        m_connection->write(frame.kind, frame.bytes);
    }
}

void OutgoingLink::handleClosed(const std::string& reason)
{
    if (m_connection)
        m_connection->resetOnClose();
    m_connection.reset();
    // Old messages are obsolete after a failure, and senders repeat the ones that matter.
    m_queue.clear();
    m_reconnectDelay = std::clamp(m_reconnectDelay * 2, Duration { minReconnectDelay }, Duration { maxReconnectDelay });
    std::uniform_int_distribution<Duration::rep> jitter(m_reconnectDelay.count() / 2, m_reconnectDelay.count());
    m_connectAt = readClock() + Duration { jitter(m_context.random) };
    m_context.onLost(m_to, reason);
}

void OutgoingLink::tick(Instant now)
{
    if (!m_connection) {
        if (!m_queue.empty() && now >= m_connectAt)
            connect(now);
        return;
    }
    if (const auto reason = m_connection->timeoutReason(now); !reason.empty()) {
        if (!m_connection->remote())
            ++m_context.counters.connectFailures;
        handleClosed(reason);
    }
}

bool OutgoingLink::idle(Instant now) const
{
    return m_queue.empty() && now - m_lastUse > linkIdleTimeout && now >= m_connectAt;
}

} // namespace rosemarymill::runtime
