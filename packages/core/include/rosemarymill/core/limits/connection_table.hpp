#pragma once

#include <rosemarymill/core/base/time.hpp>

#include <cstddef>
#include <list>

/// Limits on the connections that a process has accepted, and the choice of those that are closed under overload.
namespace rosemarymill::limits {

/// Limits over all connections of one process.
struct ConnectionLimits {
    /// Bytes held for peers: requests, responses and their buffers. The default is a third of the 160 MB of an entry
    /// VM.
    std::size_t bytes { std::size_t { 160'000'000 } / 3 };
    /// Open connections, accepted and outgoing. The default leaves 600 of the 4,000 descriptors of an entry VM for
    /// files, listeners and connections between VMs.
    std::size_t connections { 3400 };
};

/// What a connection is doing.
enum class Activity {
    /// Nothing since it was accepted or since its last response was sent.
    Idle,
    /// A request is being received.
    Receiving,
    /// A complete request is being executed.
    Executing,
    /// The same, and a part of its response is being sent.
    Streaming,
    /// The rest of a complete response is being sent.
    Sending,
    /// It has been chosen to be closed.
    Closing
};

/// One accepted connection.
struct Connection {
    Activity activity { Activity::Idle };
    std::size_t bytes { 0 };
    /// Whether a request on it was complete.
    bool served { false };
    /// When its activity or its bytes last changed.
    Instant changedAt;
};

/// Accepted connections of one process. Requests that are not complete yet have not been sent to any server, so their
/// connections are closed first; a request that is being executed is never given up for another one.
class ConnectionTable {
public:
    using Handle = std::list<Connection>::iterator;

    /// Size in bytes up to which a request may use the part of the limit that is reserved for small ones.
    static constexpr std::size_t smallRequestBytes = 64 * 1024;

    /// A connection without a change for this long is closed before others: healthy peers send and read without such
    /// pauses.
    static constexpr Duration stallTime = 2s;

    explicit ConnectionTable(ConnectionLimits limits)
        : m_limits(limits)
    {
    }

    [[nodiscard]] Handle add(Instant now);
    void remove(Handle connection);

    /// Records what a connection does and holds.
    void update(Handle connection, Activity activity, std::size_t bytes, Instant now);

    /// Records the number of outgoing connections.
    void setOutgoing(std::size_t n) noexcept { m_outgoing = n; }

    /// Whether a request of this size can be executed now. Requests above `smallRequestBytes` leave a quarter of the
    /// memory to small ones.
    [[nodiscard]] bool admits(std::size_t bytes) const noexcept;

    /// Whether connections hold more than they may, so that closeForMemory() is due.
    [[nodiscard]] bool overMemory() const noexcept;

    /// Whether another connection can be opened.
    [[nodiscard]] bool hasRoom() const noexcept { return size() + m_outgoing < m_limits.connections; }

    /// Chooses a connection to close because of the memory that it holds, and marks it as closing. Returns end() if
    /// none may be closed. `except` is not chosen; it may be end().
    [[nodiscard]] Handle closeForMemory(Instant now, Handle except);

    /// Chooses a connection to close in favour of another one, and marks it as closing. Returns end() if none may be
    /// closed.
    [[nodiscard]] Handle closeForRoom(Instant now);

    [[nodiscard]] Handle end() noexcept { return m_connections.end(); }

    [[nodiscard]] std::size_t size() const noexcept { return m_connections.size() - m_closing; }
    [[nodiscard]] std::size_t bytes() const noexcept { return m_bytes; }
    [[nodiscard]] const ConnectionLimits& limits() const noexcept { return m_limits; }

private:
    /// Marks a connection as closing.
    Handle close(Handle connection);

    ConnectionLimits m_limits;
    /// In the order of their last changes.
    std::list<Connection> m_connections;
    std::size_t m_bytes { 0 };
    /// Bytes of connections with a complete request or response.
    std::size_t m_executingBytes { 0 };
    std::size_t m_closing { 0 };
    std::size_t m_outgoing { 0 };
};

} // namespace rosemarymill::limits
