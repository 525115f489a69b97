#include <rosemarymill/core/fleet/registry.hpp>

#include <utility>

namespace rosemarymill::fleet {

namespace {

/// Highest sequence number at which a heartbeat after a leave notice is taken for that of a new incarnation.
constexpr std::uint64_t maxRestartSequence = 2;

/// Maximum delay of a heartbeat on its way.
constexpr Duration maxHeartbeatDelay = 30s;

} // namespace

HeartbeatResult Registry::apply(Instant now, ServerRecord record)
{
    if (const auto it = m_removedStartedAtMs.find(record.id); it != m_removedStartedAtMs.end()) {
        if (record.startedAtMs <= it->second)
            return HeartbeatResult::FromEarlierIncarnation;
        m_removedStartedAtMs.erase(it);
    }
    if (const auto it = m_outdated.find(record.id); it != m_outdated.end()) {
        if (record.startedAtMs < it->second.startedAtMs)
            return HeartbeatResult::FromEarlierIncarnation;
        if (record.startedAtMs == it->second.startedAtMs && record.sequence <= it->second.sequence)
            return HeartbeatResult::Outdated;
    }
    auto& latestStart = m_startedAtByAddress[record.address];
    if (record.startedAtMs < latestStart)
        return HeartbeatResult::FromEarlierIncarnation;
    const auto existing = m_servers.find(record.id);
    if (existing != m_servers.end()) {
        const auto& current = existing->second.record;
        if (record.startedAtMs < current.startedAtMs)
            return HeartbeatResult::FromEarlierIncarnation;
        if (record.startedAtMs == current.startedAtMs && record.sequence <= current.sequence)
            return HeartbeatResult::Outdated;
        // Draining is final for an incarnation. A delayed heartbeat may have been sent before draining started.
        record.draining = record.draining || (record.startedAtMs == current.startedAtMs && current.draining);
        if (record.startedAtMs > current.startedAtMs || record.address != current.address)
            m_servers.erase(existing);
    }
    if (const auto it = m_leftUnregistered.find(record.id); it != m_leftUnregistered.end()) {
        record.draining
            = record.draining || (record.sequence > maxRestartSequence && now < it->second + maxHeartbeatDelay);
        m_leftUnregistered.erase(it);
    }
    latestStart = record.startedAtMs;
    // The process that used the address before has ended.
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

void Registry::markLeft(Instant now, const ServerId& id)
{
    auto* server = find(id);
    if (!server) {
        m_leftUnregistered[id] = now;
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
    m_removedStartedAtMs[id] = record.startedAtMs;
    if (const auto at = m_byAddress.find(record.address); at != m_byAddress.end() && at->second == id)
        m_byAddress.erase(at);
    m_servers.erase(it);
}

void Registry::rejectUpTo(const ServerId& id, std::int64_t startedAtMs, std::uint64_t sequence)
{
    auto& it = m_outdated[id];
    if (std::pair(startedAtMs, sequence) > std::pair(it.startedAtMs, it.sequence))
        it = { startedAtMs, sequence };
}

RegisteredServer* Registry::find(const ServerId& id)
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : &it->second;
}

const RegisteredServer* Registry::find(const ServerId& id) const
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : &it->second;
}

void Registry::clear()
{
    m_servers.clear();
    m_byAddress.clear();
    m_startedAtByAddress.clear();
    m_removedStartedAtMs.clear();
    m_outdated.clear();
    m_leftUnregistered.clear();
}

} // namespace rosemarymill::fleet
