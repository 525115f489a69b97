#include <rosemarymill/core/fleet/registry.hpp>

namespace rosemarymill::fleet {

namespace {

/// Latest sequence number of a heartbeat that shows a new life of a server that said goodbye.
constexpr std::uint64_t firstSequences = 2;

/// Longest time that a heartbeat is under way.
constexpr Duration heartbeatLateness = 30s;

} // namespace

HeartbeatResult Registry::apply(Instant now, ServerRecord record)
{
    if (const auto it = m_departed.find(record.id); it != m_departed.end()) {
        if (record.startedAtMs <= it->second)
            return HeartbeatResult::FromEarlierIncarnation;
        m_departed.erase(it);
    }
    auto& latestStart = m_startedAtByAddress[record.address];
    if (record.startedAtMs < latestStart)
        return HeartbeatResult::FromEarlierIncarnation;
    const auto known = m_servers.find(record.id);
    if (known != m_servers.end()) {
        const auto& held = known->second.record;
        if (record.startedAtMs < held.startedAtMs)
            return HeartbeatResult::FromEarlierIncarnation;
        if (record.startedAtMs == held.startedAtMs && record.sequence <= held.sequence)
            return HeartbeatResult::Outdated;
        // A server that drains or has said goodbye does not return in this life; a late heartbeat may not know it yet.
        record.draining = record.draining || (record.startedAtMs == held.startedAtMs && held.draining);
        if (record.startedAtMs > held.startedAtMs || record.address != held.address)
            m_servers.erase(known);
    }
    if (const auto it = m_leftUnknown.find(record.id); it != m_leftUnknown.end()) {
        record.draining = record.draining || (record.sequence > firstSequences && now < it->second + heartbeatLateness);
        m_leftUnknown.erase(it);
    }
    latestStart = record.startedAtMs;
    // Another process that had the address before is gone.
    if (const auto it = m_byAddress.find(record.address); it != m_byAddress.end() && it->second != record.id)
        m_servers.erase(it->second);
    m_byAddress[record.address] = record.id;
    auto& server = m_servers[record.id];
    server.record = std::move(record);
    server.lastReceivedAt = now;
    server.failedProbes = 0;
    server.gone = false;
    return HeartbeatResult::Accepted;
}

void Registry::left(Instant now, const ServerId& id)
{
    auto* server = find(id);
    if (!server) {
        m_leftUnknown[id] = now;
        return;
    }
    server->record.draining = true;
    server->lastReceivedAt = now;
}

void Registry::remove(const ServerId& id)
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end())
        return;
    const auto& record = it->second.record;
    m_departed[id] = record.startedAtMs;
    if (const auto at = m_byAddress.find(record.address); at != m_byAddress.end() && at->second == id)
        m_byAddress.erase(at);
    m_servers.erase(it);
}

KnownServer* Registry::find(const ServerId& id)
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : &it->second;
}

const KnownServer* Registry::find(const ServerId& id) const
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : &it->second;
}

void Registry::clear()
{
    m_servers.clear();
    m_byAddress.clear();
    m_startedAtByAddress.clear();
    m_departed.clear();
    m_leftUnknown.clear();
}

} // namespace rosemarymill::fleet
