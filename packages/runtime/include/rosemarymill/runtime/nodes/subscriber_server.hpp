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

/// Frames of one push, shared by all subscribers that get it.
using Frames = std::vector<std::vector<std::byte>>;

/// Process that is connected to a control VM.
struct Subscriber {
    /// Number of the connection, unique in this process.
    std::uint64_t id { 0 };
    std::unique_ptr<LinkConnection> link;
    /// Set once the process has subscribed.
    bool subscribed { false };
    /// Set once the connection was given up. It may still bring events until it is destroyed.
    bool closed { false };
    fleet::Subscribe subscription;
    Instant sentAt;
    /// Push under way, of which the frames from `nextFrame` on wait until the socket takes more.
    std::shared_ptr<const Frames> push;
    std::size_t nextFrame { 0 };

    [[nodiscard]] const VmId& vm() const { return link->remote()->vm; }
    /// Whether it serves clients, and so needs servers and documents.
    [[nodiscard]] bool isEntryVm() const noexcept
    {
        return subscribed && !subscription.control && !subscription.gateway;
    }
};

/// Bytes that wait for the sockets of subscribers.
struct UnsentBytes {
    std::size_t sum { 0 };
    /// Most bytes for one subscriber.
    std::size_t max { 0 };
};

/// Listener of a control VM for entry VMs and other control VMs.
class SubscriberServer {
public:
    struct Handlers {
        std::function<void(Subscriber&)> onSubscribed;
        std::function<void(Subscriber&, const fleet::Report&)> onReport;
        /// The subscriber has answered a push with the version that it has in force.
        std::function<void(Subscriber&, std::uint64_t version)> onInForce;
        /// A frame of the control log. Returns false when it is malformed.
        std::function<bool(const VmId& from, std::span<const std::byte> payload)> onLogFrame;
        std::function<void(const Subscriber&)> onClosed;
        /// The subscriber carries a call. May be empty.
        std::function<void(Subscriber&, const fleet::CallOffer&)> onOffer;
        std::function<void(Subscriber&, const fleet::ForwardedCall&)> onCall;
        /// The subscriber saw crashes. May be empty.
        std::function<void(Subscriber&, const fleet::CrashReports&)> onCrashes;
    };

    /// Subscribers that a message is for.
    enum class Audience { All, EntryVms };

    /// Connections that are accepted at most; more would exceed the descriptors of a small VM.
    static constexpr std::size_t maxSubscribers = 1024;

    /// Throws std::runtime_error when the address cannot be bound.
    SubscriberServer(event_base* base, const std::string& address, wire::link::Hello self, Handlers handlers);
    ~SubscriberServer();
    SubscriberServer(const SubscriberServer&) = delete;
    SubscriberServer& operator=(const SubscriberServer&) = delete;

    void send(Subscriber& to, const fleet::Message& message);
    /// Sends a message, encoded once, to all subscribers or to the entry VMs among them.
    void broadcast(const fleet::Message& message, Audience audience = Audience::All);
    /// Subscriber of a connection; null when it has closed.
    [[nodiscard]] Subscriber* find(std::uint64_t id);

    /// Sends the frames of a push one after the other as the socket takes them, so that other messages wait for one
    /// frame at most. Replaces a push that is under way.
    void sendPush(Subscriber& to, std::shared_ptr<const Frames> push);

    /// Closes silent connections and keeps quiet ones known to be working.
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
    /// Moves a connection to those that are destroyed on the next tick, once.
    void retire(std::list<Subscriber>::iterator place);

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
