#pragma once

#include <rosemarymill/core/fleet/message.hpp>
#include <rosemarymill/runtime/base/libevent_handles.hpp>
#include <rosemarymill/runtime/link/connection.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace rosemarymill::runtime::nodes {

/// Opens a connection for frames. Returns null when the address is malformed.
[[nodiscard]] std::unique_ptr<LinkConnection> connectLink(event_base* base, const std::string& address,
    const wire::link::Hello& self, LinkCounters& counters, LinkConnection::Handlers handlers);

/// Encodes a message as a frame and writes it.
void sendMessage(LinkConnection& link, const fleet::Message& message);

/// Connection of a process to the control VM that leads. It finds the leader through any control VM that it knows and
/// tries further ones beside those that have not answered, so that silent ones do not add up. It moves on when the
/// connection is silent.
class ControlLink {
public:
    /// Interval of the messages that keep a connection known to be working, in both directions.
    static constexpr Duration aliveInterval = 400ms;
    /// A connection on which no byte arrives for this long is given up; below a third of the platform's contact time.
    static constexpr Duration silenceLimit = 1200ms;
    /// The same for a new connection, until it has brought its first message.
    static constexpr Duration connectLimit = 800ms;
    /// Pause before the next control VM is tried, also while earlier ones have not answered.
    static constexpr Duration retryPause = 150ms;
    /// Control VMs that are tried at the same time: those tried within the connect limit.
    static constexpr std::size_t maxAttempts = 5;

    struct Handlers {
        /// A message arrived on the connection.
        std::function<void(const fleet::Message&)> onMessage;
        /// Supplies the first message of each connection.
        std::function<fleet::Subscribe()> subscription;
        /// The leader is connected from now on, or no longer is. May be empty.
        std::function<void(bool)> onConnected;
    };

    ControlLink(event_base* base, wire::link::Hello self, Handlers handlers);
    ~ControlLink();

    /// Addresses of control VMs from the settings. Control VMs learned from members are kept beside them.
    void setSeeds(std::vector<std::string> seeds);

    void tick(Instant now);

    /// Sends a message when there is a connection to the leader.
    void send(const fleet::Message& message);

    /// Closes the connection, which is not needed at present.
    void disconnect();

    /// Another source tells who leads: moves on to that VM at the next tick when it is not the one connected.
    void follow(const std::string& leader);

    /// A control VM, as another source tells.
    void learn(const std::string& control) { m_learned.insert(control); }
    /// Control VMs that were learned from members or otherwise.
    [[nodiscard]] const std::set<std::string>& learned() const noexcept { return m_learned; }

    /// Whether the leader is connected.
    [[nodiscard]] bool connected() const noexcept { return m_leader != nullptr; }
    /// Whether the leader is connected and has sent something within two intervals of its messages.
    [[nodiscard]] bool hasLiveLeader(Instant now) const noexcept;
    [[nodiscard]] const fleet::Members& members() const noexcept { return m_members; }
    [[nodiscard]] const LinkCounters& counters() const noexcept { return m_counters; }

private:
    /// Connection to a control VM that leads or may know the leader.
    struct Attempt {
        std::string address;
        std::unique_ptr<LinkConnection> link;
        bool received { false };
        /// Set once the connection was given up. It may still bring events until it is destroyed.
        bool closed { false };
    };

    void connect(const std::string& address);
    void close(std::list<Attempt>::iterator place, const std::string& reason);
    void closeOthers(const Attempt* kept, const std::string& reason);
    void receive(std::list<Attempt>::iterator place, const fleet::Message& message);
    /// A control VM that is not being tried, or an empty text.
    [[nodiscard]] std::string nextAddress();

    event_base* m_base;
    wire::link::Hello m_self;
    Handlers m_handlers;
    LinkCounters m_counters;
    std::vector<std::string> m_seeds;
    std::set<std::string> m_learned;
    std::size_t m_next { 0 };
    fleet::Members m_members;
    std::list<Attempt> m_attempts;
    std::list<Attempt> m_closed;
    /// The attempt that reached the leader, or null.
    Attempt* m_leader { nullptr };
    /// Leader to connect to next.
    std::string m_redirect;
    /// Leader that another source told last.
    std::string m_followed;
    Instant m_sentAt;
    Instant m_retryAt;
};

} // namespace rosemarymill::runtime::nodes
