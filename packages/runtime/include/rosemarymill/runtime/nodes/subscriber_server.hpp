#pragma once

#include <rosemarymill/core/fleet/message.hpp>
#include <rosemarymill/runtime/base/address.hpp>
#include <rosemarymill/runtime/base/libevent_handles.hpp>
#include <rosemarymill/runtime/link/connection.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <span>
#include <string>
#include <vector>

struct evconnlistener;

namespace rosemarymill::runtime::nodes {

/// Frames of one push, shared by all subscribers that it is sent to.
using Frames = std::vector<std::vector<std::byte>>;

/// Process that is connected to this control VM or gateway.
struct Subscriber {
    /// Number of the connection, unique in this process.
    std::uint64_t id { 0 };
    std::unique_ptr<LinkConnection> link;
    /// Set once the process has subscribed.
    bool subscribed { false };
    /// Set once the connection is closed. Its callbacks may still be called until it is destroyed.
    bool closed { false };
    fleet::Subscribe subscription;
    Instant sentAt;
    /// Push in progress. Its frames from `nextFrame` on are sent as the connection becomes writable.
    std::shared_ptr<const Frames> push;
    std::size_t nextFrame { 0 };

    [[nodiscard]] const VmId& vm() const { return link->remote()->vm; }
    /// Whether the process serves clients, and so needs targets and documents.
    [[nodiscard]] bool isEntryVm() const noexcept
    {
        return subscribed && !subscription.control && !subscription.gateway;
    }
};

/// Unsent bytes in the buffers of subscribers' connections.
struct UnsentBytes {
    std::size_t sum { 0 };
    /// Largest number of unsent bytes to one subscriber.
    std::size_t max { 0 };
};

/// Listener of a control VM or gateway for entry VMs, gateways and control VMs.
class SubscriberServer {
public:
    struct Handlers {
        std::function<void(Subscriber&)> onSubscribed;
        std::function<void(Subscriber&, const fleet::Report&)> onReport;
        /// The subscriber answered a push with the version of its active document.
        std::function<void(Subscriber&, std::uint64_t version)> onInForce;
        /// Receives a frame of the control log. Returns false when the frame is malformed.
        std::function<bool(const VmId& from, std::span<const std::byte> payload)> onLogFrame;
        std::function<void(const Subscriber&)> onClosed;
        /// The subscriber offers a call that it forwards. May be empty.
        std::function<void(Subscriber&, const fleet::CallOffer&)> onOffer;
        std::function<void(Subscriber&, const fleet::ForwardedCall&)> onCall;
        /// The subscriber reports crashes. May be empty.
        std::function<void(Subscriber&, const fleet::CrashReports&)> onCrashes;
    };

    /// Recipients of a broadcast.
    enum class Audience { All, EntryVms };

    /// Maximum of open connections; more would exceed the file descriptors of a small VM.
    static constexpr std::size_t maxSubscribers = 1024;

    /// Throws std::runtime_error when the address cannot be bound.
    SubscriberServer(event_base* base, const std::string& address, wire::link::Hello self, Handlers handlers);
    ~SubscriberServer();
    SubscriberServer(const SubscriberServer&) = delete;
    SubscriberServer& operator=(const SubscriberServer&) = delete;

    void send(Subscriber& to, const fleet::Message& message);
    /// Sends a message, encoded once, to all subscribers or to the entry VMs among them.
    void broadcast(const fleet::Message& message, Audience audience = Audience::All);
    /// Subscriber with this connection number; null when the connection is closed.
    [[nodiscard]] Subscriber* find(std::uint64_t id);

    /// Sends the frames of a push one by one as the connection becomes writable, so that other messages queue behind
    /// one frame at most. Replaces a push in progress.
    void sendPush(Subscriber& to, std::shared_ptr<const Frames> push);

    /// Closes connections that exceed ControlLink::idleTimeout, and sends keepalives on the others.
    void tick(Instant now);

    [[nodiscard]] std::list<Subscriber>& subscribers() noexcept { return m_subscribers; }
    [[nodiscard]] const std::list<Subscriber>& subscribers() const noexcept { return m_subscribers; }
    [[nodiscard]] const LinkCounters& counters() const noexcept { return m_counters; }
    [[nodiscard]] UnsentBytes unsent() const;

private:
    struct FreeListener {
        void operator()(evconnlistener* it) const noexcept;
    };

    void accept(int socket);
    bool receive(Subscriber& from, wire::FrameKind kind, std::span<const std::byte> payload);
    void continuePush(Subscriber& to);
    /// Marks a connection as closed and moves it to those that the next tick() destroys. Has no effect the second time.
    void retire(std::list<Subscriber>::iterator subscriber);

    event_base* m_base;
    wire::link::Hello m_self;
    Handlers m_handlers;
    LinkCounters m_counters;
    std::uint64_t m_lastId { 0 };
    std::list<Subscriber> m_subscribers;
    std::list<Subscriber> m_closed;
    std::unique_ptr<evconnlistener, FreeListener> m_listener;
};

} // namespace rosemarymill::runtime::nodes
