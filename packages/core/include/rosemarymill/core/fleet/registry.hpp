#pragma once

#include <rosemarymill/core/fleet/departure_table.hpp>
#include <rosemarymill/core/fleet/server.hpp>

#include <map>
#include <unordered_map>

namespace rosemarymill::fleet {

/// Registry entry of one server.
struct RegisteredServer {
    ServerRecord record;
    /// Last receipt of a heartbeat or a leave notice.
    Instant lastReceivedAt;
    /// End of the server's cold start.
    Instant coldUntil;
    /// Last time that the server answered a probe.
    Instant probedAliveAt;
    Instant probeSentAt;
    /// Unanswered probes since the last heartbeat or answered probe.
    unsigned failedProbes { 0 };
    /// The process has ended: a probe or an order found no process, or another one, at its address.
    bool gone { false };
    /// Model of the server's last group in this incarnation.
    ModelName lastModel;
    /// Last time that the server, as a spare, was ordered to load the weights of a model, and to start a model.
    Instant stageOrderedAt;
    Instant startOrderedAt;
    /// Last time that the server, as the head of a released group, was ordered to leave it.
    Instant leaveOrderedAt;

    [[nodiscard]] Instant aliveAt() const noexcept { return std::max(lastReceivedAt, probedAliveAt); }

    /// Remaining time of the cold start, which entry VMs count down from the time at which they receive it.
    [[nodiscard]] Duration coldLeft(Instant now) const noexcept { return std::max(coldUntil - now, Duration::zero()); }
};

/// Result of applying a heartbeat.
enum class HeartbeatResult {
    Accepted,
    /// A heartbeat of the same incarnation with the same or a higher sequence number was applied before.
    Outdated,
    /// A later incarnation of the same id or address was seen before.
    FromEarlierIncarnation
};

/// Latest record of each server. A new incarnation replaces earlier ones with the same id or the same address.
class Registry {
public:
    HeartbeatResult apply(Instant now, ServerRecord record);

    /// Applies a server's leave notice. The server drains for the rest of its incarnation. This also holds if it is not
    /// registered yet, since a delayed heartbeat of that incarnation may still arrive.
    void markLeft(Instant now, const Departure& departure);

    /// Incarnation that a leave notice refers to, which does not name it: the registered one, or otherwise each that
    /// has started until now. `nowMs` is the wall clock in milliseconds.
    [[nodiscard]] Departure departureOf(const ServerId& id, std::int64_t nowMs) const;

    /// Whether this incarnation has announced that it drains or ends.
    [[nodiscard]] bool hasDeparted(const ServerId& id, std::int64_t startedAtMs) const
    {
        return m_departures.contains(id, startedAtMs);
    }

    /// Removes all servers, and takes over the departures that the control log holds.
    void reset(DepartureTable departures);

    /// Removes a server. It is accepted again with a heartbeat later than the last one, as after a long partition.
    void remove(const ServerId& id);

    /// Rejects heartbeats of earlier incarnations, and those of this one up to a sequence number.
    void rejectUpTo(const ServerId& id, std::int64_t startedAtMs, std::uint64_t sequence);

    [[nodiscard]] RegisteredServer* find(const ServerId& id);
    [[nodiscard]] const RegisteredServer* find(const ServerId& id) const;

    [[nodiscard]] std::map<ServerId, RegisteredServer>& servers() noexcept { return m_servers; }
    [[nodiscard]] const std::map<ServerId, RegisteredServer>& servers() const noexcept { return m_servers; }

private:
    /// The server drains for the rest of the incarnation.
    void markDrained(const Departure& departure);

    std::map<ServerId, RegisteredServer> m_servers;
    std::unordered_map<std::string, ServerId> m_byAddress;
    /// Start time of the latest incarnation at each address, also of removed servers.
    std::unordered_map<std::string, std::int64_t> m_startedAtByAddress;
    struct Heartbeat {
        std::int64_t startedAtMs { 0 };
        std::uint64_t sequence { 0 };
    };
    /// Last heartbeat of each server that is known to be outdated.
    std::unordered_map<ServerId, Heartbeat> m_outdated;
    DepartureTable m_departures;
};

} // namespace rosemarymill::fleet
