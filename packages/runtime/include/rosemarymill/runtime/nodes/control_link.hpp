#pragma once

#include <rosemarymill/core/fleet/message.hpp>
#include <rosemarymill/runtime/base/handles.hpp>
#include <rosemarymill/runtime/link/connection.hpp>

#include <cstdint>
#include <functional>
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

/// Connection of a process to the control VM that leads. It finds the leader through any control VM that it knows, and
/// moves on when the connection is silent.
class ControlLink {
public:
    /// Interval of the messages that keep a connection known to be working, in both directions.
    static constexpr Duration aliveInterval = 400ms;
    /// A connection on which no byte arrives for this long is given up; below a third of the platform's contact time.
    static constexpr Duration silenceLimit = 1200ms;
    /// The same for a new connection, until it has brought its first message.
    static constexpr Duration connectLimit = 800ms;
    /// Pause before the next control VM is tried.
    static constexpr Duration retryPause = 150ms;

    struct Handlers {
        /// A message arrived on the connection.
        std::function<void(const fleet::Message&)> onMessage;
        /// Supplies the first message of each connection.
        std::function<fleet::Subscribe()> subscription;
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

    /// Whether the leader is connected.
    [[nodiscard]] bool connected() const noexcept { return m_subscribed; }
    [[nodiscard]] const fleet::Members& members() const noexcept { return m_members; }
    [[nodiscard]] const std::string& address() const noexcept { return m_address; }
    [[nodiscard]] const LinkCounters& counters() const noexcept { return m_counters; }

private:
    void connect(const std::string& address, Instant now);
    void close(const std::string& reason);
    void receive(const fleet::Message& message);
    [[nodiscard]] std::string nextAddress();

    event_base* m_base;
    wire::link::Hello m_self;
    Handlers m_handlers;
    LinkCounters m_counters;
    std::vector<std::string> m_seeds;
    std::set<std::string> m_learned;
    std::size_t m_next { 0 };
    fleet::Members m_members;
    std::unique_ptr<LinkConnection> m_link;
    std::vector<std::unique_ptr<LinkConnection>> m_closed;
    std::uint64_t m_generation { 0 };
    std::string m_address;
    /// Leader to connect to next.
    std::string m_redirect;
    bool m_subscribed { false };
    bool m_received { false };
    Instant m_sentAt;
    Instant m_retryAt;
};

} // namespace rosemarymill::runtime::nodes
