#include <rosemarymill/core/fleet/registry.hpp>

#include <utility>

namespace rosemarymill::fleet {

namespace {

/// Difference of the network delays of heartbeats. Remaining times that differ by less describe the same cold start.
constexpr Duration heartbeatJitter = 50ms;

/// End of a cold start after a heartbeat that arrived at `now`, given the end that earlier ones stated.
Instant updatedColdEnd(Instant before, Duration coldLeft, Instant now)
{
    if (coldLeft == Duration::zero())
        return std::min(before, now);
    const auto end = now + coldLeft;
    return std::chrono::abs(end - before) < heartbeatJitter ? before : end;
}

} // namespace

HeartbeatResult Registry::apply(Instant now, ServerRecord record)
{
    // Draining is final for an incarnation, also when a heartbeat from before it started arrives later.
    if (record.draining)
        markDrained({ record.id, record.startedAtMs });
    record.draining = m_departures.contains(record.id, record.startedAtMs);
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
        if (record.startedAtMs > current.startedAtMs || record.address != current.address)
            m_servers.erase(existing);
    }
    latestStart = record.startedAtMs;
    // The process that used the address before has ended.
    if (const auto it = m_byAddress.find(record.address); it != m_byAddress.end() && it->second != record.id)
        m_servers.erase(it->second);
    m_byAddress[record.address] = record.id;
    auto& server = m_servers[record.id];
    server.coldUntil = updatedColdEnd(server.coldUntil, record.coldLeft, now);
    server.record = std::move(record);
    server.lastReceivedAt = now;
    server.failedProbes = 0;
    server.gone = false;
    return HeartbeatResult::Accepted;
}

void Registry::markDrained(const Departure& departure)
{
    m_departures.add(departure);
    auto* server = find(departure.server);
    if (server && m_departures.contains(departure.server, server->record.startedAtMs))
        server->record.draining = true;
}

void Registry::markLeft(Instant now, const Departure& departure)
{
    markDrained(departure);
    if (auto* server = find(departure.server); server && server->record.draining)
        server->lastReceivedAt = now;
}

Departure Registry::departureOf(const ServerId& id, std::int64_t nowMs) const
{
    const auto* server = find(id);
    return { id, server ? server->record.startedAtMs : nowMs };
}

void Registry::remove(const ServerId& id)
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end())
        return;
    const auto& record = it->second.record;
    rejectUpTo(id, record.startedAtMs, record.sequence);
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

void Registry::reset(DepartureTable departures)
{
    m_servers.clear();
    m_byAddress.clear();
    m_startedAtByAddress.clear();
    m_outdated.clear();
    m_departures = std::move(departures);
}

} // namespace rosemarymill::fleet
