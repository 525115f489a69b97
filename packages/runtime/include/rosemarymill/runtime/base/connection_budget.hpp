#pragma once

#include <rosemarymill/core/limits/connection_table.hpp>
#include <rosemarymill/runtime/base/libevent_handles.hpp>

#include <concepts>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>
#include <unordered_map>

struct evconnlistener;

/// Limits that all listeners of a process share.
namespace rosemarymill::runtime {

class ConnectionBudget;

/// Retry-After of a request that is rejected because too many connections are open or too much memory is in use: about
/// the time in which servers answer some of the requests in progress.
inline constexpr Duration overloadRetryAfter = 300ms;

/// Header line that asks the client to wait for `time`, in seconds with two decimals.
[[nodiscard]] std::string retryAfterLine(Duration time);

/// Response to a request that is rejected with `overloadRetryAfter`, when its connection is closed at once.
[[nodiscard]] const std::string& overloadResponse();

/// Sends bytes that fit into the send buffer of a connection that is about to be closed. If sending fails, the
/// connection is closed without them.
void trySend(int socket, std::string_view bytes) noexcept;

/// A connection that the budget can close: its unfinished request is rejected, or its response is cut.
template <typename T>
concept Closable = requires(T& it)
{
    {
        it.closeForOverload()
        } -> std::same_as<void>;
};

/// Place of one accepted connection in the budget.
class ConnectionSlot {
public:
    template <Closable T>
    ConnectionSlot(ConnectionBudget& budget, T& owner)
        : ConnectionSlot(budget, &owner, [](void* it) { static_cast<T*>(it)->closeForOverload(); })
    {
    }
    ~ConnectionSlot();
    ConnectionSlot(const ConnectionSlot&) = delete;
    ConnectionSlot& operator=(const ConnectionSlot&) = delete;

    /// Records what the connection does and holds, in bytes. Connections are closed by the event loop, not in this
    /// call.
    void update(limits::Activity activity, std::size_t bytes);

    /// Closes other connections if too much memory is in use. Called before more bytes are taken, since a few kilobytes
    /// from each of many connections may arrive in one iteration of the loop.
    void closeOthers();

private:
    friend class ConnectionBudget;
    using Close = void (*)(void* owner);

    ConnectionSlot(ConnectionBudget& budget, void* owner, Close close);

    ConnectionBudget& m_budget;
    void* m_owner;
    Close m_close;
    limits::ConnectionTable::Handle m_handle;
};

/// Memory and connections that the listeners of one process share. It must outlive them.
class ConnectionBudget {
public:
    explicit ConnectionBudget(event_base* base, limits::ConnectionLimits limits = {});
    ~ConnectionBudget();
    ConnectionBudget(const ConnectionBudget&) = delete;
    ConnectionBudget& operator=(const ConnectionBudget&) = delete;

    /// Whether a request with a body of this size can be executed now.
    [[nodiscard]] bool admits(std::size_t bytes);

    /// Makes room for one more connection, by closing another one if necessary. Returns false if there is none.
    [[nodiscard]] bool makeRoom();

    /// Rejects a connection for which there is no room.
    static void rejectAndClose(int socket);

    /// Records the number of outgoing connections.
    void setOutgoing(std::size_t n) noexcept { m_table.setOutgoing(n); }

    /// Closes some connections, because the kernel refuses further descriptors.
    void closeSome();

    void writeMetrics(std::ostream& out) const;

private:
    friend class ConnectionSlot;

    /// Closes connections other than `except` until no more memory is in use than allowed.
    void enforce(limits::ConnectionTable::Handle except);
    [[nodiscard]] bool close(limits::ConnectionTable::Handle connection);
    /// Logs closed and rejected connections, at most once per `roomLogInterval`.
    void logRoom(Instant now);

    limits::ConnectionTable m_table;
    /// Slot of each connection in the table, by the connection's address.
    std::unordered_map<const limits::Connection*, ConnectionSlot*> m_slots;
    EventHandle m_enforce;
    bool m_scheduled { false };
    std::uint64_t m_closedForMemory { 0 };
    std::uint64_t m_closedForRoom { 0 };
    /// Requests that were rejected because too much memory was in use, and connections without room.
    std::uint64_t m_rejected { 0 };
    Instant m_roomLoggedAt;
};

/// Options and error handling of a listening socket. When the kernel refuses to accept a connection, libevent would try
/// again at once and without end; instead, connections are closed and the listener pauses.
class ListenerGuard {
public:
    /// The listener and the budget must outlive this object.
    ListenerGuard(event_base* base, evconnlistener* listener, ConnectionBudget& budget);

    /// To be called by the listener's error callback.
    void acceptFailed();

private:
    evconnlistener* m_listener;
    ConnectionBudget& m_budget;
    EventHandle m_resume;
};

} // namespace rosemarymill::runtime
