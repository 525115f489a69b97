#pragma once

#include <rosemarymill/runtime/nodes/control_calls.hpp>
#include <rosemarymill/runtime/nodes/control_link.hpp>
#include <rosemarymill/runtime/nodes/subscriber_server.hpp>

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace rosemarymill::runtime::nodes {

/// Fixed choices of a gateway.
struct GatewayNodeSettings {
    /// Address for other processes.
    std::string address;
    DataCentreId dataCentre;
    /// Addresses of control VMs and gateways to start from.
    std::vector<std::string> seeds;
    /// The system starts for the first time: the first seed chooses the VM that founds the control log.
    bool bootstrap { false };
    std::uint64_t seed { 0 };
};

/// Process that takes calls of operators on a VM without a disk, and carries them to the leader. It also tells other
/// processes of the control VMs that have introduced themselves.
class GatewayNode {
public:
    /// Throws std::runtime_error when the address cannot be bound.
    GatewayNode(event_base* base, GatewayNodeSettings settings);
    GatewayNode(const GatewayNode&) = delete;
    GatewayNode& operator=(const GatewayNode&) = delete;

    void setSeeds(const std::vector<std::string>& seeds);

    [[nodiscard]] ControlCalls& calls() noexcept { return m_calls; }
    /// Address of the leader as far as this VM knows, or an empty text.
    [[nodiscard]] std::string leader() const;

    /// Answers the calls that wait, which takes no longer than their callers wait, and calls `finished`.
    void shutDown(std::function<void()> finished);

    void writeMetrics(std::ostream& out) const;

private:
    void onSubscribed(Subscriber& subscriber);
    [[nodiscard]] fleet::Members members() const;
    void tick();

    GatewayNodeSettings m_settings;
    wire::link::Hello m_self;
    SubscriberServer m_subscribers;
    ControlLink m_link;
    ControlCalls m_calls;
    /// Control VM that was told to found the log.
    std::string m_founder;
    std::function<void()> m_finished;
    EventHandle m_tick;
};

} // namespace rosemarymill::runtime::nodes
