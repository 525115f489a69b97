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

/// Opens a connection that exchanges frames. Returns null when the address is malformed.
[[nodiscard]] std::unique_ptr<LinkConnection> connectLink(event_base* base, const std::string& address,
    const wire::link::Hello& self, LinkCounters& counters, LinkConnection::Handlers handlers);

/// Encodes a message as a frame and writes it.
void sendMessage(LinkConnection& link, const fleet::Message& message);

/// Connection of a process to the leading control VM. It finds the leader through any control VM whose address it has.
/// While earlier attempts are unanswered it starts further ones in parallel, so that the timeouts of unresponsive VMs
/// do not add up. It closes the connection and looks for the leader again after `idleTimeout` without received bytes.
class ControlLink {
public:
    /// Interval of keepalive messages, which are sent in both directions.
    static constexpr Duration keepAliveInterval = 400ms;
    /// A connection on which no byte arrives for this long is closed. The timeout is below a third of the platform's
    /// contact time.
    static constexpr Duration idleTimeout = 1200ms;
    /// Idle timeout of a new connection until its first message is received.
    static constexpr Duration firstMessageTimeout = 800ms;
    /// Pause before the next connection attempt, also while earlier attempts are unanswered.
    static constexpr Duration retryPause = 150ms;
    /// Maximum of concurrent connection attempts: as many as are started within `firstMessageTimeout`.
    static constexpr std::size_t maxAttempts = 5;

    struct Handlers {
        /// Receives each message of the connection.
        std::function<void(const fleet::Message&)> onMessage;
        /// Returns the first message to send on each connection.
        std::function<fleet::Subscribe()> subscription;
        /// Called when the connection to the leader is established (true) or lost (false). May be empty.
        std::function<void(bool)> onConnected;
    };

    ControlLink(event_base* base, wire::link::Hello self, Handlers handlers);
    ~ControlLink();

    /// Sets the addresses of control VMs from the settings. Control VMs discovered from Members messages are kept in
    /// addition.
    void setSeeds(std::vector<std::string> seeds);

    void tick(Instant now);

    /// Sends a message to the leader. Drops it when the leader is not connected.
    void send(const fleet::Message& message);

    /// Closes the connection and all attempts. A later tick() connects again.
    void disconnect();

    /// Sets the leader's address as another source reports it. Unless that VM is connected already, the current
    /// connection is closed and a later tick() connects to it.
    void follow(const std::string& leader);

    /// Adds the address of a control VM from another source.
    void addDiscovered(const std::string& control) { m_discovered.insert(control); }
    /// Addresses of control VMs from Members messages and addDiscovered().
    [[nodiscard]] const std::set<std::string>& discovered() const noexcept { return m_discovered; }

    /// Whether a connection to the leader is established.
    [[nodiscard]] bool connected() const noexcept { return m_leader != nullptr; }
    /// Whether the leader is connected and bytes arrived from it within two keepalive intervals.
    [[nodiscard]] bool hasLiveLeader(Instant now) const noexcept;
    [[nodiscard]] const fleet::Members& members() const noexcept { return m_members; }
    [[nodiscard]] const LinkCounters& counters() const noexcept { return m_counters; }

private:
    /// Connection to a control VM that leads or may return the leader's address.
    struct Attempt {
        std::string address;
        std::unique_ptr<LinkConnection> link;
        bool received { false };
        /// Set once the connection is closed. Its callbacks may still be called until it is destroyed.
        bool closed { false };
    };

    void connect(const std::string& address);
    void close(std::list<Attempt>::iterator attempt, const std::string& reason);
    void closeOthers(const Attempt* kept, const std::string& reason);
    void receive(std::list<Attempt>::iterator attempt, const fleet::Message& message);
    /// Address of a control VM to which no attempt is open, or an empty text.
    [[nodiscard]] std::string nextAddress();

    event_base* m_base;
    wire::link::Hello m_self;
    Handlers m_handlers;
    LinkCounters m_counters;
    std::vector<std::string> m_seeds;
    std::set<std::string> m_discovered;
    std::size_t m_next { 0 };
    fleet::Members m_members;
    std::list<Attempt> m_attempts;
    std::list<Attempt> m_closed;
    /// Attempt that is connected to the leader, or null.
    Attempt* m_leader { nullptr };
    /// Leader to connect to next.
    std::string m_redirect;
    /// Last leader passed to follow().
    std::string m_lastFollowed;
    Instant m_sentAt;
    Instant m_retryAt;
};

} // namespace rosemarymill::runtime::nodes
