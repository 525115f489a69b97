#include <rosemarymill/runtime/nodes/gateway_node.hpp>

#include "runtime/nodes/control_world.hpp"

using namespace rosemarymill;
using runtime::nodes::GatewayNode;
using test::World;

namespace {

/// Free addresses on loopback, in ascending order.
std::vector<std::string> freeAddresses(std::size_t n)
{
    const test::EventBase base(event_base_new());
    std::list<test::RawListener> listeners;
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < n; ++i)
        addresses.push_back(listeners.emplace_back(base.get()).address());
    std::sort(addresses.begin(), addresses.end());
    return addresses;
}

/// Control VMs and gateways, whose only seeds are the gateways.
struct Deployment {
    static constexpr std::size_t gatewayCount = 3;

    Deployment()
        : addresses(freeAddresses(gatewayCount))
        , world(addresses)
    {
        for (auto& it : world.vms)
            execute(it);
        for (const auto& it : addresses)
            gateways.push_back(gateway(it, true));
    }

    std::unique_ptr<GatewayNode> gateway(const std::string& address, bool bootstrap)
    {
        return std::make_unique<GatewayNode>(world.base.get(),
            runtime::nodes::GatewayNodeSettings { address, DataCentreId { "mixco" }, addresses, bootstrap, ++starts });
    }

    /// Makes the control VM execute calls by storing a document of the version in the call's body.
    static void execute(test::Vm& vm)
    {
        vm.node->calls().onExecute([&vm](const fleet::ControlCall& call, const auto& answered) {
            const auto stored = vm.node->storeDocument(
                test::documentOf(test::versionOf(call.body)), call.body, [answered](bool committed) {
                    answered({ committed ? 200U : 503U, {} });
                });
            if (!stored)
                answered({ 413, {} });
        });
    }

    /// Sends a call to the gateway. Returns its status, or 0 when it is not answered within the caller's timeout.
    unsigned call(GatewayNode& it, std::uint64_t version)
    {
        unsigned status = 0;
        it.calls().accept({ "PUT", "/document", test::documentText(version, 100) },
            [&status](const fleet::ControlAnswer& answer) { status = answer.status; });
        const auto until = runtime::readClock() + fleet::callerTimeout;
        test::runUntil(world.base.get(), [&] { return status != 0 || runtime::readClock() >= until; });
        return status;
    }

    /// Retries a call as its caller does. Returns whether it is acknowledged within ten seconds.
    bool storeWithRetries(GatewayNode& it, std::uint64_t version)
    {
        const auto until = runtime::readClock() + 10s;
        while (runtime::readClock() < until) {
            if (call(it, version) == 200)
                return true;
        }
        return false;
    }

    std::uint64_t starts { 100 };
    std::vector<std::string> addresses;
    World world;
    std::vector<std::unique_ptr<GatewayNode>> gateways;
};

} // namespace

TEST_CASE(
    "control VMs with only gateways as seeds bootstrap one log and execute calls forwarded by the gateways", "[nodes]")
{
    Deployment it;
    std::uint64_t version = 0;
    for (auto& gateway : it.gateways)
        CHECK(it.storeWithRetries(*gateway, ++version));
    CHECK(it.world.waitForVersion(version));
    CHECK(World::metric(it.world.waitForLeader(), "rosemarymill_control_voters") == World::initialVoters);
}

TEST_CASE("a gateway forwards a call to the new leader after the previous leader has failed", "[nodes]")
{
    Deployment it;
    REQUIRE(it.storeWithRetries(*it.gateways.front(), 1));
    REQUIRE(it.world.waitForVersion(1));
    it.world.waitForLeader().node.reset();
    CHECK(it.storeWithRetries(*it.gateways.front(), 2));
}

TEST_CASE("control VMs and gateways discover each other after all have restarted", "[nodes]")
{
    Deployment it;
    REQUIRE(it.storeWithRetries(*it.gateways.front(), 1));
    REQUIRE(it.world.waitForVersion(1));
    for (auto& vm : it.world.vms)
        vm.node.reset();
    it.gateways.clear();
    for (const auto& address : it.addresses)
        it.gateways.push_back(it.gateway(address, false));
    for (auto& vm : it.world.vms) {
        it.world.start(vm, false);
        Deployment::execute(vm);
    }
    for (std::uint64_t version = 2; version < 2 + it.gateways.size(); ++version)
        CHECK(it.storeWithRetries(*it.gateways[version - 2], version));
}

TEST_CASE("a gateway without a leader rejects calls immediately once noLeaderTimeout is over", "[nodes]")
{
    const auto addresses = freeAddresses(1);
    const test::EventBase base(event_base_new());
    GatewayNode gateway(base.get(), { addresses.front(), DataCentreId { "mixco" }, addresses, false, 1 });
    const auto submit = [&](unsigned& status) {
        gateway.calls().accept(
            { "GET", "/document", {} }, [&status](const fleet::ControlAnswer& answer) { status = answer.status; });
    };
    unsigned queuedStatus = 0;
    submit(queuedStatus);
    CHECK(queuedStatus == 0);
    test::runFor(base.get(), std::chrono::duration_cast<std::chrono::milliseconds>(fleet::noLeaderTimeout));
    CHECK(queuedStatus == 503);
    unsigned refusedStatus = 0;
    submit(refusedStatus);
    CHECK(refusedStatus == 503);
}
