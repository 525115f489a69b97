#pragma once

#include <rosemarymill/core/fleet/server.hpp>

#include <map>
#include <unordered_map>

namespace rosemarymill::fleet {

/// What the registry knows of one server.
struct KnownServer {
    ServerRecord record;
    Instant lastReceivedAt;
    /// Last time that the server answered a probe.
    Instant probedAliveAt;
    Instant probeSentAt;
    /// Probes without an answer since the server was last heard.
    unsigned failedProbes { 0 };
    /// The process is known to be gone.
    bool gone { false };
    /// Model of the server's last group in this life.
    ModelName lastModel;
    /// Last time that the server was told, as a spare, to load a model that it does not hold yet, and to start one.
    Instant stageOrderedAt;
    Instant startOrderedAt;
    /// Not before this time may the server join another group.
    Instant reusableAt;

    [[nodiscard]] Instant aliveAt() const noexcept { return std::max(lastReceivedAt, probedAliveAt); }
};

/// Outcome of a heartbeat.
enum class HeartbeatResult {
    Accepted,
    /// A later heartbeat of the same life is known.
    Outdated,
    /// A later life of the id or of the address is known.
    FromEarlierIncarnation
};

/// Latest record of each server. A new life replaces earlier lives with the same id or the same address.
class Registry {
public:
    HeartbeatResult apply(Instant now, ServerRecord record);

    /// A server said goodbye. It drains for the rest of its life, also when it is not known yet: a late heartbeat of
    /// that life may still come.
    void left(Instant now, const ServerId& id);

    /// Removes a server that is long silent.
    void remove(const ServerId& id);

    [[nodiscard]] KnownServer* find(const ServerId& id);
    [[nodiscard]] const KnownServer* find(const ServerId& id) const;

    [[nodiscard]] std::map<ServerId, KnownServer>& servers() noexcept { return m_servers; }
    [[nodiscard]] const std::map<ServerId, KnownServer>& servers() const noexcept { return m_servers; }

    void clear();

private:
    std::map<ServerId, KnownServer> m_servers;
    std::unordered_map<std::string, ServerId> m_byAddress;
    /// Latest life seen at each address and of each id, also of servers that were removed.
    std::unordered_map<std::string, std::int64_t> m_startedAtByAddress;
    std::unordered_map<ServerId, std::int64_t> m_departed;
    /// When servers said goodbye that were not known.
    std::unordered_map<ServerId, Instant> m_leftUnknown;
};

} // namespace rosemarymill::fleet
