#include <rosemarymill/runtime/link/peer_links.hpp>

#include "outgoing.hpp"
#include "socket.hpp"

#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/base/log.hpp>
#include <rosemarymill/wire/node/codec.hpp>

#include <cerrno>
#include <list>
#include <map>
#include <utility>
#include <vector>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

namespace rosemarymill::runtime {

namespace {

constexpr int listenBacklog = 128;
constexpr timeval tickInterval { 0, 50'000 };
// Above the number of processes that connect to one entry VM; further connections are closed at once.
constexpr std::size_t maxIncoming = 1024;
// Longer than the sender's timeout: the receiver closes an idle link only when the sender has failed to do so.
constexpr Duration incomingIdleTimeout = linkIdleTimeout + 15s;

struct FreeListener {
    void operator()(evconnlistener* it) const noexcept { evconnlistener_free(it); }
};

struct FreeEvent {
    void operator()(event* it) const noexcept { event_free(it); }
};

wire::link::Hello helloOf(const node::Settings& self)
{
    return { self.vm, self.dataCentre, self.bootId, config::protocolVersion };
}

} // namespace

struct PeerLinks::Impl {
    Impl(event_base& base, const node::Settings& self, PostEvent postEvent)
        : post(std::move(postEvent))
        , random(self.seed)
        , context { base, helloOf(self), counters, random,
            [this](const VmId& to, const std::string& reason) { reportLost(to, reason); } }
    {
    }

    PostEvent post;
    LinkCounters counters;
    std::mt19937_64 random;
    OutgoingContext context;
    ForwardHandler forwardHandler;
    LostHandler lostHandler;
    SocketAddress address;
    std::map<VmId, std::unique_ptr<OutgoingLink>> outgoing;
    std::list<std::unique_ptr<LinkConnection>> incoming;
    std::unique_ptr<event, FreeEvent> timer;
    std::unique_ptr<evconnlistener, FreeListener> listener;

    void reportLost(const VmId& to, const std::string& reason)
    {
        writeLog(node::LogLevel::Debug, "link", "Link to " + to.text() + " closed: " + reason + ".");
        if (lostHandler)
            lostHandler(to);
    }

    void accept(evutil_socket_t socket)
    {
        if (incoming.size() >= maxIncoming) {
            evutil_closesocket(socket);
            return;
        }
        setLinkOptions(socket);
        auto* buf = bufferevent_socket_new(&context.base, socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
        const auto position = incoming.emplace(incoming.end());
        LinkConnection::Handlers handlers;
        handlers.onHello = [](const wire::link::Hello&) { return true; };
        handlers.onFrame = [this, position](wire::FrameKind kind, std::span<const std::byte> payload) {
            return receive((*position)->remote()->vm, kind, payload);
        };
        handlers.onClosed = [this, position](const std::string& reason) {
            const auto& remote = (*position)->remote();
            writeLog(node::LogLevel::Debug, "link",
                "Link from " + (remote ? remote->vm.text() : std::string("an unknown process")) + " closed: " + reason
                    + ".");
            incoming.erase(position);
        };
        *position = std::make_unique<LinkConnection>(buf, context.self, counters, std::move(handlers));
    }

    bool receive(const VmId& from, wire::FrameKind kind, std::span<const std::byte> payload)
    {
        if (kind == wire::FrameKind::Forward)
            return forwardHandler && forwardHandler(from, payload);
        auto message = wire::node::decode(kind, payload);
        if (!message)
            return false;
        post(node::PeerMessageReceived { readClock(), from, std::move(message.value()) });
        return true;
    }

    bool send(const VmId& to, const std::string& target, wire::FrameKind kind, std::span<const std::byte> payload)
    {
        SendQueue::Frame frame { kind, {} };
        const auto parsed = parseAddress(target);
        if (!parsed.has_value() || payload.size() > wire::maxFramePayloadBytes) {
            counters.dropped[LinkCounters::slot(kind)].add(payload.size() + wire::frameHeaderBytes);
            return false;
        }
        wire::appendFrame(kind, payload, frame.bytes);
        auto& link = outgoing[to];
        if (!link || link->address() != target)
            link = std::make_unique<OutgoingLink>(context, to, target);
        return link->send(std::move(frame), readClock());
    }

    void tick()
    {
        const auto now = readClock();
        for (auto& [vm, link] : outgoing)
            link->tick(now);
        std::erase_if(outgoing, [&](const auto& entry) { return entry.second->idle(now); });
        incoming.remove_if([&](const auto& it) {
            const bool timedOut = !it->timeoutReason(now).empty();
            if (timedOut) {
                ++counters.faults;
                it->resetOnClose();
            }
            return timedOut || now - it->lastFrame() > incomingIdleTimeout;
        });
    }

    static void onAccept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self)
    {
        static_cast<Impl*>(self)->accept(socket);
    }

    static void onTimer(evutil_socket_t, short, void* self) { static_cast<Impl*>(self)->tick(); }
};

Result<std::unique_ptr<PeerLinks>> PeerLinks::open(
    event_base& base, const SocketAddress& address, const node::Settings& self, PostEvent post)
{
    auto impl = std::make_unique<Impl>(base, self, std::move(post));
    impl->listener.reset(evconnlistener_new_bind(&base, &Impl::onAccept, impl.get(),
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, listenBacklog, address.get(),
        static_cast<int>(address.length)));
    if (!impl->listener)
        return std::error_code(errno, std::system_category());
    const auto bound = localAddress(evconnlistener_get_fd(impl->listener.get()));
    if (!bound)
        return bound.error();
    impl->address = bound.value();
    impl->timer.reset(event_new(&base, -1, EV_PERSIST, &Impl::onTimer, impl.get()));
    event_add(impl->timer.get(), &tickInterval);
    return std::unique_ptr<PeerLinks>(new PeerLinks(std::move(impl)));
}

PeerLinks::PeerLinks(std::unique_ptr<Impl> impl) noexcept
    : m_impl(std::move(impl))
{
}

PeerLinks::~PeerLinks() = default;

void PeerLinks::executeEffect(const node::SendPeer& effect)
{
    wire::Buffer payload;
    if (const auto kind = wire::node::encode(effect.message, payload))
        (void)m_impl->send(effect.to, effect.address, *kind, payload);
}

bool PeerLinks::send(
    const VmId& to, const std::string& address, wire::FrameKind kind, std::span<const std::byte> payload)
{
    return m_impl->send(to, address, kind, payload);
}

void PeerLinks::onForward(ForwardHandler handler) { m_impl->forwardHandler = std::move(handler); }

void PeerLinks::onLost(LostHandler handler) { m_impl->lostHandler = std::move(handler); }

const SocketAddress& PeerLinks::address() const noexcept { return m_impl->address; }

const LinkCounters& PeerLinks::counters() const noexcept { return m_impl->counters; }

std::size_t PeerLinks::connections() const noexcept
{
    std::size_t n = m_impl->incoming.size();
    for (const auto& [vm, link] : m_impl->outgoing)
        n += link->connected() ? 1 : 0;
    return n;
}

} // namespace rosemarymill::runtime
