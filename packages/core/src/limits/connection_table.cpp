#include <rosemarymill/core/limits/connection_table.hpp>

#include <optional>
#include <tuple>

namespace rosemarymill::limits {

namespace {

/// Part of the limit in bytes that large requests may use.
constexpr double largeRequestFraction = 0.75;

/// Part of the limit in bytes above which connections are closed. The rest is for requests that arrive meanwhile.
constexpr double closeFraction = 0.875;

std::size_t partOf(std::size_t bytes, double fraction)
{
    return static_cast<std::size_t>(static_cast<double>(bytes) * fraction);
}

bool isExecuting(Activity it)
{
    return it == Activity::Executing || it == Activity::Streaming || it == Activity::Sending;
}

/// Order in which connections are closed for the memory that they hold; none for those that are not.
std::optional<unsigned> memoryRank(const Connection& it, bool stalled)
{
    switch (it.activity) {
    case Activity::Receiving:
        return stalled ? 0 : 1;
    case Activity::Sending:
        return stalled ? 0 : 2;
    case Activity::Streaming:
        return stalled ? std::optional { 2U } : std::nullopt;
    case Activity::Idle:
    case Activity::Executing:
    case Activity::Closing:
        break;
    }
    return std::nullopt;
}

/// Order in which connections are closed in favour of others. Those that have not completed a request come first, since
/// a client sends its request as soon as it is connected.
std::optional<unsigned> roomRank(const Connection& it, bool stalled)
{
    switch (it.activity) {
    case Activity::Idle:
        return it.served ? 1 : 0;
    case Activity::Receiving:
        return it.served ? 2 : 0;
    case Activity::Streaming:
    case Activity::Sending:
        return stalled ? std::optional { 3U } : std::nullopt;
    case Activity::Executing:
    case Activity::Closing:
        break;
    }
    return std::nullopt;
}

} // namespace

ConnectionTable::Handle ConnectionTable::add(Instant now)
{
    return m_connections.insert(m_connections.end(), { Activity::Idle, 0, false, now });
}

void ConnectionTable::remove(Handle connection)
{
    update(connection, Activity::Idle, 0, connection->changedAt);
    m_closing -= connection->activity == Activity::Closing ? 1 : 0;
    m_connections.erase(connection);
}

void ConnectionTable::update(Handle connection, Activity activity, std::size_t bytes, Instant now)
{
    auto& it = *connection;
    // A connection that is closing gives its memory back.
    if (it.activity == Activity::Closing || (it.activity == activity && it.bytes == bytes))
        return;
    m_bytes = m_bytes - it.bytes + bytes;
    m_executingBytes -= isExecuting(it.activity) ? it.bytes : 0;
    m_executingBytes += isExecuting(activity) ? bytes : 0;
    it.served = it.served || isExecuting(activity);
    it.activity = activity;
    it.bytes = bytes;
    it.changedAt = now;
    m_connections.splice(m_connections.end(), m_connections, connection);
}

bool ConnectionTable::admits(std::size_t bytes) const noexcept
{
    const auto limit = bytes > smallRequestBytes ? partOf(m_limits.bytes, largeRequestFraction) : m_limits.bytes;
    return m_executingBytes + bytes <= limit;
}

bool ConnectionTable::overMemory() const noexcept { return m_bytes > partOf(m_limits.bytes, closeFraction); }

ConnectionTable::Handle ConnectionTable::close(Handle connection)
{
    if (connection == m_connections.end())
        return connection;
    update(connection, Activity::Closing, 0, connection->changedAt);
    ++m_closing;
    return connection;
}

ConnectionTable::Handle ConnectionTable::closeForMemory(Instant now, Handle except)
{
    // Within a rank, the connection that holds most.
    auto chosen = m_connections.end();
    std::optional<std::tuple<unsigned, std::int64_t>> chosenRank;
    for (auto it = m_connections.begin(); it != m_connections.end(); ++it) {
        const auto rank = memoryRank(*it, now >= it->changedAt + stallTime);
        if (!rank || it == except)
            continue;
        const std::tuple itRank { *rank, -static_cast<std::int64_t>(it->bytes) };
        if (!chosenRank || itRank < *chosenRank) {
            chosen = it;
            chosenRank = itRank;
        }
    }
    return close(chosen);
}

ConnectionTable::Handle ConnectionTable::closeForRoom(Instant now)
{
    // Within a rank, the connection that has not changed for the longest time: the first one in the list.
    auto chosen = m_connections.end();
    std::optional<unsigned> chosenRank;
    for (auto it = m_connections.begin(); it != m_connections.end() && chosenRank != 0U; ++it) {
        const auto rank = roomRank(*it, now >= it->changedAt + stallTime);
        if (rank && (!chosenRank || *rank < *chosenRank)) {
            chosen = it;
            chosenRank = rank;
        }
    }
    return close(chosen);
}

} // namespace rosemarymill::limits
