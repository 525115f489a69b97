#include <rosemarymill/core/fleet/entry_vm_registry.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using fleet::EntryVmRegistry;

namespace {

constexpr Instant start { 100s };

const VmId one { "one" };
const VmId two { "two" };

} // namespace

TEST_CASE("a control VM that does not lead announces no entry VMs", "[fleet]")
{
    EntryVmRegistry registry;
    registry.markSeen(one, start);
    CHECK(registry.announcedVms(start + EntryVmRegistry::leaderDiscoveryTime).empty());
    CHECK(registry.size() == 1);
}

TEST_CASE("a new leader announces no entry VMs until all have connected to it", "[fleet]")
{
    EntryVmRegistry registry;
    registry.setLeads(true, start);
    registry.markSeen(one, start + 1s);
    CHECK(registry.announcedVms(start + 1s).empty());
    registry.markSeen(two, start + 3s);
    registry.setLeads(true, start + 4s);
    CHECK(registry.announcedVms(start + EntryVmRegistry::leaderDiscoveryTime)
        == std::vector<std::string> { "one", "two" });
    registry.setLeads(false, start + 6s);
    CHECK(registry.announcedVms(start + 6s).empty());
    registry.setLeads(true, start + 7s);
    CHECK(registry.announcedVms(start + 8s).empty());
}

TEST_CASE("an entry VM expires after its last connection", "[fleet]")
{
    EntryVmRegistry registry;
    registry.setLeads(true, start);
    registry.markSeen(one, start);
    registry.markSeen(two, start + 10s);
    registry.expire(start + EntryVmRegistry::retention - 1ms);
    CHECK(registry.announcedVms(start + 29s).size() == 2);
    registry.expire(start + EntryVmRegistry::retention);
    CHECK(registry.announcedVms(start + 30s) == std::vector<std::string> { "two" });
}
