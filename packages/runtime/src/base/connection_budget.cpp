#include <rosemarymill/runtime/base/connection_budget.hpp>

#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/base/log.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstring>
#include <ostream>
#include <string>

#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <sys/socket.h>

namespace rosemarymill::runtime {

namespace {

/// Time for which a listener pauses after the kernel has refused a connection: long enough for closed connections to
/// give back their descriptors, and short against the second that clients allow for a connection.
constexpr timeval acceptPause { 0, 100'000 };

/// Connections that are closed at once when the kernel refuses further descriptors, so that a pause yields room for a
/// few hundred connections a second.
constexpr unsigned closedPerFailure = 32;

/// Kernel receive buffer of an accepted connection in bytes. A fixed size keeps the kernel from growing it to
/// megabytes; it allows 16 MiB/s at a round-trip time of 2 ms.
constexpr int receiveBufferBytes = 32 * 1024;

/// Shortest time between two log lines about the number of connections.
constexpr Duration roomLogInterval = 1s;

} // namespace

void trySend(int socket, std::string_view bytes) noexcept
{
    static_cast<void>(send(socket, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
}

std::string retryAfterLine(Duration time)
{
    std::array<char, 48> text {};
    const auto seconds = std::chrono::duration<double>(time).count();
    const auto n = std::snprintf(text.data(), text.size(), "Retry-After: %.2f\r\n", seconds);
    return { text.data(), std::min(static_cast<std::size_t>(n), text.size() - 1) };
}

const std::string& overloadResponse()
{
    static const std::string response = "HTTP/1.1 503 Service Unavailable\r\n" + retryAfterLine(overloadRetryAfter)
        + "Connection: close\r\nContent-Length: 0\r\n\r\n";
    return response;
}

void ConnectionBudget::rejectAndClose(int socket)
{
    trySend(socket, overloadResponse());
    evutil_closesocket(socket);
}

ConnectionSlot::ConnectionSlot(ConnectionBudget& budget, void* owner, Close close)
    : m_budget(budget)
    , m_owner(owner)
    , m_close(close)
    , m_handle(budget.m_table.add(readClock()))
{
    m_budget.m_slots.emplace(&*m_handle, this);
}

ConnectionSlot::~ConnectionSlot()
{
    m_budget.m_slots.erase(&*m_handle);
    m_budget.m_table.remove(m_handle);
}

void ConnectionSlot::update(limits::Activity activity, std::size_t bytes)
{
    m_budget.m_table.update(m_handle, activity, bytes, readClock());
    if (m_budget.m_scheduled || !m_budget.m_table.overMemory())
        return;
    m_budget.m_scheduled = true;
    event_active(m_budget.m_enforce.get(), EV_TIMEOUT, 0);
}

void ConnectionSlot::closeOthers() { m_budget.enforce(m_handle); }

ConnectionBudget::ConnectionBudget(event_base* base, limits::ConnectionLimits limits)
    : m_table(limits)
    , m_enforce(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) {
              auto& it = *static_cast<ConnectionBudget*>(self);
              it.m_scheduled = false;
              it.enforce(it.m_table.end());
          },
          this))
{
}

ConnectionBudget::~ConnectionBudget() = default;

bool ConnectionBudget::admits(std::size_t bytes)
{
    const bool admitted = m_table.admits(bytes);
    m_rejected += admitted ? 0 : 1;
    return admitted;
}

bool ConnectionBudget::close(limits::ConnectionTable::Handle connection)
{
    if (connection == m_table.end())
        return false;
    const auto& slot = *m_slots.at(&*connection);
    slot.m_close(slot.m_owner);
    return true;
}

void ConnectionBudget::enforce(limits::ConnectionTable::Handle except)
{
    if (!m_table.overMemory())
        return;
    const auto now = readClock();
    const auto before = m_closedForMemory;
    const auto bytes = m_table.bytes();
    while (m_table.overMemory() && close(m_table.closeForMemory(now, except)))
        ++m_closedForMemory;
    if (m_closedForMemory > before)
        writeDecision("limits", "closed connections",
            { { "why", "memory" }, { "closed", std::to_string(m_closedForMemory - before) },
                { "bytes", std::to_string(bytes) }, { "limit", std::to_string(m_table.limits().bytes) },
                { "left", std::to_string(m_table.size()) } });
}

bool ConnectionBudget::makeRoom()
{
    if (m_table.hasRoom())
        return true;
    const auto now = readClock();
    const bool closed = close(m_table.closeForRoom(now));
    ++(closed ? m_closedForRoom : m_rejected);
    logRoom(now);
    return closed;
}

void ConnectionBudget::logRoom(Instant now)
{
    if (now < m_roomLoggedAt + roomLogInterval)
        return;
    m_roomLoggedAt = now;
    writeDecision("limits", "connections at their limit",
        { { "open", std::to_string(m_table.size()) }, { "limit", std::to_string(m_table.limits().connections) },
            { "closed_total", std::to_string(m_closedForRoom) }, { "rejected_total", std::to_string(m_rejected) } });
}

void ConnectionBudget::closeSome()
{
    const auto now = readClock();
    for (unsigned i = 0; i < closedPerFailure && close(m_table.closeForRoom(now)); ++i)
        ++m_closedForRoom;
}

void ConnectionBudget::writeMetrics(std::ostream& out) const
{
    const auto write = [&](const char* name, const char* type, std::uint64_t value) {
        out << "# TYPE rosemarymill_connections_" << name << ' ' << type << "\nrosemarymill_connections_" << name << ' '
            << value << '\n';
    };
    write("accepted", "gauge", m_table.size());
    write("bytes", "gauge", m_table.bytes());
    write("bytes_limit", "gauge", m_table.limits().bytes);
    write("limit", "gauge", m_table.limits().connections);
    write("closed_for_memory_total", "counter", m_closedForMemory);
    write("closed_for_room_total", "counter", m_closedForRoom);
    write("rejected_total", "counter", m_rejected);
}

ListenerGuard::ListenerGuard(event_base* base, evconnlistener* listener, ConnectionBudget& budget)
    : m_listener(listener)
    , m_budget(budget)
    , m_resume(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void* self) {
              evconnlistener_enable(static_cast<ListenerGuard*>(self)->m_listener);
          },
          this))
{
    // Accepted sockets inherit the size. A failure is ignored: the kernel then chooses it.
    static_cast<void>(setsockopt(
        evconnlistener_get_fd(listener), SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes)));
}

void ListenerGuard::acceptFailed()
{
    const auto error = EVUTIL_SOCKET_ERROR();
    writeLog(node::LogLevel::Warning, "limits",
        std::string("Failed to accept a connection: ") + evutil_socket_error_to_string(error) + '.');
    m_budget.closeSome();
    evconnlistener_disable(m_listener);
    event_add(m_resume.get(), &acceptPause);
}

} // namespace rosemarymill::runtime
