#include <rosemarymill/runtime/nodes/entry_node.hpp>

#include <rosemarymill/wire/fleet/codec.hpp>

#include "support/http.hpp"
#include "support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <sstream>

using namespace rosemarymill;
using test::RawListener;

namespace {

std::string frame(wire::FrameKind kind, const wire::Buffer& payload)
{
    std::vector<std::byte> bytes;
    wire::appendFrame(kind, payload, bytes);
    return { reinterpret_cast<const char*>(bytes.data()), bytes.size() };
}

std::string helloFrame()
{
    wire::Buffer payload;
    encode(wire::link::Hello { VmId { "control" }, DataCentreId { "mixco" }, BootId { "1" } }, payload);
    return frame(wire::FrameKind::Hello, payload);
}

std::string membersFrame(const std::string& leader, const std::vector<std::string>& entryVms)
{
    wire::Buffer payload;
    fleet::Members members;
    members.leader = leader;
    members.controls = { leader };
    members.entryVms = entryVms;
    wire::fleet::encode(members, payload);
    return frame(wire::FrameKind::Fleet, payload);
}

/// Entry VM whose only seed is one control VM.
struct World {
    World()
        : base(event_base_new())
        , control(base.get())
    {
        runtime::nodes::EntryNodeSettings settings;
        settings.vm = VmId { "entry" };
        settings.dataCentre = DataCentreId { "mixco" };
        settings.proxy.address = runtime::parseAddress("127.0.0.1:0").value();
        node = std::make_unique<runtime::nodes::EntryNode>(base.get(), settings, budget);
        node->setSeeds({ control.address() });
    }

    /// Number of entry VMs by which the VM divides limits.
    [[nodiscard]] std::string entryVms() const
    {
        constexpr std::string_view name = "\nrosemarymill_proxy_entry_vms ";
        std::ostringstream metrics;
        node->writeMetrics(metrics);
        const auto text = metrics.str();
        const auto at = text.find(name) + name.size();
        return text.substr(at, text.find('\n', at) - at);
    }

    void waitFor(const std::function<bool()>& done) { REQUIRE(test::runUntil(base.get(), done)); }

    test::EventBase base;
    runtime::ConnectionBudget budget { base.get() };
    RawListener control;
    std::unique_ptr<runtime::nodes::EntryNode> node;
};

} // namespace

TEST_CASE("an entry VM accepts the number of entry VMs from the leader only", "[nodes]")
{
    World world;
    RawListener leader(world.base.get());
    world.waitFor([&] { return !world.control.acceptedConnections.empty(); });
    world.control.acceptedConnections.front().send(
        helloFrame() + membersFrame(leader.address(), { "another", "entry" }));
    // The VM has processed the message once it connects to the leader.
    world.waitFor([&] { return !leader.acceptedConnections.empty(); });
    CHECK(world.entryVms() == "0");
    leader.acceptedConnections.front().send(
        helloFrame() + membersFrame(leader.address(), { "another", "entry", "third" }));
    world.waitFor([&] { return world.entryVms() != "0"; });
    CHECK(world.entryVms() == "3");
}
