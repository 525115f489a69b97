#include <rosemarymill/runtime/nodes/subscriber_server.hpp>

#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/base/log.hpp>
#include <rosemarymill/runtime/nodes/control_link.hpp>
#include <rosemarymill/wire/fleet/codec.hpp>

#include "socket.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include <event2/bufferevent.h>
#include <event2/listener.h>

namespace rosemarymill::runtime::nodes {

namespace core = rosemarymill::fleet;

void SubscriberServer::FreeListener::operator()(evconnlistener* it) const noexcept { evconnlistener_free(it); }

SubscriberServer::SubscriberServer(
    event_base* base, const std::string& address, wire::link::Hello self, Handlers handlers)
    : m_base(base)
    , m_self(std::move(self))
    , m_handlers(std::move(handlers))
{
    constexpr int backlog = 512;
    auto parsed = parseAddress(address);
    if (parsed)
        m_listener.reset(evconnlistener_new_bind(
            base,
            [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* server) {
                static_cast<SubscriberServer*>(server)->accept(static_cast<int>(socket));
            },
            this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, backlog, parsed.value().get(),
            static_cast<int>(parsed.value().length)));
    if (!m_listener)
        throw std::runtime_error("the address " + address + " cannot be bound");
}

SubscriberServer::~SubscriberServer() = default;

void SubscriberServer::accept(int socket)
{
    if (m_subscribers.size() >= maxSubscribers) {
        writeLog(node::LogLevel::Warning, "fleet", "Rejected connection: too many are open.");
        evutil_closesocket(socket);
        return;
    }
    setFleetSocketOptions(socket);
    const auto subscriber = m_subscribers.emplace(m_subscribers.end());
    subscriber->id = ++m_lastId;
    subscriber->sentAt = readClock();
    LinkConnection::Handlers handlers;
    handlers.onHello = [](const wire::link::Hello&) { return true; };
    handlers.onFrame = [this, subscriber](wire::FrameKind kind, std::span<const std::byte> payload) {
        return receive(*subscriber, kind, payload);
    };
    handlers.onWritable = [this, subscriber] { continuePush(*subscriber); };
    handlers.onClosed = [this, subscriber](const std::string&) { retire(subscriber); };
    auto* buf = bufferevent_socket_new(m_base, socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    subscriber->link = std::make_unique<LinkConnection>(buf, m_self, m_counters, std::move(handlers));
}

bool SubscriberServer::receive(Subscriber& from, wire::FrameKind kind, std::span<const std::byte> payload)
{
    if (from.closed)
        return true;
    if (kind == wire::FrameKind::Agreement)
        return m_handlers.onLogFrame(from.vm(), payload);
    if (kind != wire::FrameKind::Fleet)
        return false;
    const auto message = wire::fleet::decode(payload);
    if (!message)
        return false;
    if (const auto* it = std::get_if<core::Subscribe>(&message.value())) {
        from.subscription = *it;
        from.subscribed = true;
        m_handlers.onSubscribed(from);
    } else if (const auto* report = std::get_if<core::Report>(&message.value())) {
        m_handlers.onReport(from, *report);
    } else if (const auto* inForce = std::get_if<core::DocumentInForce>(&message.value())) {
        m_handlers.onInForce(from, inForce->version);
    } else if (const auto* offer = std::get_if<core::CallOffer>(&message.value())) {
        if (m_handlers.onOffer)
            m_handlers.onOffer(from, *offer);
    } else if (const auto* call = std::get_if<core::ForwardedCall>(&message.value())) {
        if (m_handlers.onCall)
            m_handlers.onCall(from, *call);
    } else if (const auto* crashes = std::get_if<core::CrashReports>(&message.value())) {
        if (m_handlers.onCrashes)
            m_handlers.onCrashes(from, *crashes);
    }
    return true;
}

void SubscriberServer::retire(std::list<Subscriber>::iterator subscriber)
{
    if (std::exchange(subscriber->closed, true))
        return;
    if (subscriber->subscribed)
        m_handlers.onClosed(*subscriber);
    m_closed.splice(m_closed.end(), m_subscribers, subscriber);
}

void SubscriberServer::send(Subscriber& to, const core::Message& message)
{
    to.sentAt = readClock();
    sendMessage(*to.link, message);
}

Subscriber* SubscriberServer::find(std::uint64_t id)
{
    const auto it
        = std::find_if(m_subscribers.begin(), m_subscribers.end(), [&](const auto& other) { return other.id == id; });
    return it == m_subscribers.end() ? nullptr : &*it;
}

void SubscriberServer::broadcast(const core::Message& message, Audience audience)
{
    wire::Buffer payload;
    wire::fleet::encode(message, payload);
    std::vector<std::byte> frame;
    wire::appendFrame(wire::FrameKind::Fleet, payload, frame);
    const auto now = readClock();
    for (auto& it : m_subscribers) {
        if (!it.subscribed || (audience == Audience::EntryVms && !it.isEntryVm()))
            continue;
        it.sentAt = now;
        it.link->write(wire::FrameKind::Fleet, frame);
    }
}

void SubscriberServer::sendPush(Subscriber& to, std::shared_ptr<const Frames> push)
{
    to.push = std::move(push);
    to.nextFrame = 0;
    continuePush(to);
}

void SubscriberServer::continuePush(Subscriber& to)
{
    while (to.push && to.link->writable()) {
        to.sentAt = readClock();
        to.link->write(wire::FrameKind::Fleet, (*to.push)[to.nextFrame]);
        if (++to.nextFrame == to.push->size())
            to.push.reset();
    }
}

UnsentBytes SubscriberServer::unsent() const
{
    UnsentBytes unsent;
    for (const auto& it : m_subscribers) {
        const auto n = it.link->unsentBytes();
        unsent.sum += n;
        unsent.max = std::max(unsent.max, n);
    }
    return unsent;
}

void SubscriberServer::tick(Instant now)
{
    m_closed.clear();
    for (auto it = m_subscribers.begin(); it != m_subscribers.end();) {
        const auto next = std::next(it);
        // On connections of other voters only log frames arrive, at intervals shorter than the idle timeout.
        if (now >= it->link->lastReceivedAt() + ControlLink::idleTimeout) {
            it->link->resetOnClose();
            retire(it);
        } else if (it->subscribed && now >= it->sentAt + ControlLink::keepAliveInterval) {
            send(*it, core::Alive {});
        }
        it = next;
    }
}

} // namespace rosemarymill::runtime::nodes
