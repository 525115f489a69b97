#pragma once

#include <rosemarymill/runtime/nodes/control_calls.hpp>
#include <rosemarymill/runtime/nodes/control_link.hpp>
#include <rosemarymill/runtime/nodes/subscriber_server.hpp>

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace rosemarymill::runtime::nodes {

/// Settings of a gateway that do not change while it runs.
struct GatewayNodeSettings {
    /// Address for other processes.
    std::string address;
    DataCentreId dataCentre;
    /// Addresses of control VMs and gateways to connect to first.
    std::vector<std::string> seeds;
    /// The system starts for the first time: the first seed chooses the VM that bootstraps the control log.
    bool bootstrap { false };
    std::uint64_t seed { 0 };
};

/// Process that accepts calls of operators on a VM without a disk, and forwards them to the leader. It also sends other
/// processes the addresses of the control VMs that have subscribed to it.
class GatewayNode {
public:
    /// Throws std::runtime_error when the address cannot be bound.
    GatewayNode(event_base* base, GatewayNodeSettings settings);
    GatewayNode(const GatewayNode&) = delete;
    GatewayNode& operator=(const GatewayNode&) = delete;

    void setSeeds(const std::vector<std::string>& seeds);

    [[nodiscard]] ControlCalls& calls() noexcept { return m_calls; }
    /// Address of the connected leader. Empty when no leader is connected or nothing was received from it lately.
    [[nodiscard]] std::string leader() const;

    /// Calls `finished` once all accepted calls are answered, which takes no longer than the callers' timeout.
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
    /// Control VM that was chosen to bootstrap the log; empty before.
    std::string m_bootstrapVm;
    std::function<void()> m_onFinished;
    EventHandle m_tick;
};

} // namespace rosemarymill::runtime::nodes
