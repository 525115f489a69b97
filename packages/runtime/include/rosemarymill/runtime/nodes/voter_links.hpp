#pragma once

#include <rosemarymill/core/fleet/machine.hpp>
#include <rosemarymill/runtime/link/connection.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

struct event_base;

namespace rosemarymill::runtime::nodes {

/// Outgoing connections of a voter to the other voters of the control log. Voters are identified by their addresses.
/// Messages are dropped while a connection is down: the log's protocol sends again what is needed.
class VoterLinks {
public:
    /// Pause between two attempts to connect to a voter.
    static constexpr Duration retryPause = 200ms;
    /// Maximum of unsent bytes to one voter. With more, the voter is assumed not to read and the connection is reset.
    static constexpr std::size_t maxUnsentBytes = 4 * 1024 * 1024;

    VoterLinks(event_base* base, wire::link::Hello self);
    ~VoterLinks();

    void send(const VmId& to, const fleet::LogMessage& message, Instant now);

    /// Calls `use(const VmId&, bytes)` for each connected voter with the unsent bytes in its connection's buffer.
    template <typename Use> void forEachUnsent(Use&& use) const
    {
        for (const auto& [vm, link] : m_links) {
            if (link.connection)
                use(vm, link.connection->unsentBytes());
        }
    }

    /// Destroys closed connections. Not to be called from within a callback.
    void tick() { m_closed.clear(); }

private:
    struct Link {
        std::unique_ptr<LinkConnection> connection;
        Instant retryAt;
        std::uint64_t generation { 0 };
    };

    event_base* m_base;
    wire::link::Hello m_self;
    LinkCounters m_counters;
    std::map<VmId, Link> m_links;
    std::vector<std::unique_ptr<LinkConnection>> m_closed;
};

} // namespace rosemarymill::runtime::nodes
