#pragma once

#include <rosemarymill/core/fleet/message.hpp>
#include <rosemarymill/runtime/base/address.hpp>
#include <rosemarymill/runtime/base/handles.hpp>
#include <rosemarymill/runtime/link/connection.hpp>

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <span>
#include <string>

struct evconnlistener;

namespace rosemarymill::runtime::nodes {

/// Process that is connected to a control VM.
struct Subscriber {
    std::unique_ptr<LinkConnection> link;
    /// Set once the process has subscribed.
    bool subscribed { false };
    fleet::Subscribe subscription;
    Instant sentAt;

    [[nodiscard]] const VmId& vm() const { return link->remote()->vm; }
};

/// Listener of a control VM for entry VMs and other control VMs.
class SubscriberServer {
public:
    struct Handlers {
        std::function<void(Subscriber&)> onSubscribed;
        std::function<void(Subscriber&, const fleet::Report&)> onReport;
        /// A frame of the control log. Returns false when it is malformed.
        std::function<bool(const VmId& from, std::span<const std::byte> payload)> onLogFrame;
        std::function<void(const Subscriber&)> onClosed;
    };

    /// Connections that are accepted at most; more would exceed the descriptors of a small VM.
    static constexpr std::size_t maxSubscribers = 1024;

    /// Throws std::runtime_error when the address cannot be bound.
    SubscriberServer(event_base* base, const std::string& address, wire::link::Hello self, Handlers handlers);
    ~SubscriberServer();
    SubscriberServer(const SubscriberServer&) = delete;
    SubscriberServer& operator=(const SubscriberServer&) = delete;

    void send(Subscriber& to, const fleet::Message& message);
    /// Sends a message, encoded once, to all subscribers.
    void broadcast(const fleet::Message& message);

    /// Closes silent connections and keeps quiet ones known to be working.
    void tick(Instant now);

    [[nodiscard]] std::list<Subscriber>& subscribers() noexcept { return m_subscribers; }
    [[nodiscard]] const std::list<Subscriber>& subscribers() const noexcept { return m_subscribers; }
    [[nodiscard]] const LinkCounters& counters() const noexcept { return m_counters; }

private:
    struct FreeListener {
        void operator()(evconnlistener* it) const noexcept;
    };

    void accept(int socket);
    bool receive(Subscriber& from, wire::FrameKind kind, std::span<const std::byte> payload);

    event_base* m_base;
    wire::link::Hello m_self;
    Handlers m_handlers;
    LinkCounters m_counters;
    std::list<Subscriber> m_subscribers;
    std::list<Subscriber> m_closed;
    std::unique_ptr<evconnlistener, FreeListener> m_listener;
};

} // namespace rosemarymill::runtime::nodes
