#pragma once

#include <rosemarymill/core/fleet/message.hpp>
#include <rosemarymill/runtime/link/connection.hpp>

#include <functional>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <vector>

struct event_base;

namespace rosemarymill::runtime::nodes {

/// Connections of a control VM to the seeds that are not control VMs, so that processes configured with only such seeds
/// can discover it.
class SeedLinks {
public:
    /// Pause before a seed is connected again.
    static constexpr Duration retryPause = 500ms;

    struct Handlers {
        /// Returns the first message to send on each connection.
        std::function<fleet::Subscribe()> subscription;
        std::function<void(const fleet::Message&)> onMessage;
    };

    SeedLinks(event_base* base, wire::link::Hello self, Handlers handlers);
    ~SeedLinks();

    void setSeeds(std::vector<std::string> seeds) { m_seeds = std::move(seeds); }

    /// Opens and maintains connections to the seeds that are not among the control VMs `controls`, and closes others.
    void tick(const std::set<std::string>& controls, Instant now);

private:
    struct Seed {
        std::string address;
        std::unique_ptr<LinkConnection> link;
        Instant connectedAt;
        Instant sentAt;
        bool closed { false };
    };

    void connect(const std::string& address, Instant now);

    event_base* m_base;
    wire::link::Hello m_self;
    Handlers m_handlers;
    LinkCounters m_counters;
    std::vector<std::string> m_seeds;
    std::list<Seed> m_links;
};

} // namespace rosemarymill::runtime::nodes
