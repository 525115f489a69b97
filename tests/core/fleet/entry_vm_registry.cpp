#include <rosemarymill/core/fleet/entry_vm_registry.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using fleet::EntryVmRegistry;

namespace {

constexpr Instant start { 100s };

const VmId one { "one" };
const VmId two { "two" };

} // namespace

TEST_CASE("a control VM that does not lead tells no entry VMs", "[fleet]")
{
    EntryVmRegistry roster;
    roster.markSeen(one, start);
    CHECK(roster.known(start + EntryVmRegistry::settleTime).empty());
    CHECK(roster.size() == 1);
}

TEST_CASE("a new leader tells no entry VMs until all have found it", "[fleet]")
{
    EntryVmRegistry roster;
    roster.setLeads(true, start);
    roster.markSeen(one, start + 1s);
    CHECK(roster.known(start + 1s).empty());
    roster.markSeen(two, start + 3s);
    roster.setLeads(true, start + 4s);
    CHECK(roster.known(start + EntryVmRegistry::settleTime) == std::vector<std::string> { "one", "two" });
    roster.setLeads(false, start + 6s);
    CHECK(roster.known(start + 6s).empty());
    roster.setLeads(true, start + 7s);
    CHECK(roster.known(start + 8s).empty());
}

TEST_CASE("an entry VM counts for a time after it was heard last", "[fleet]")
{
    EntryVmRegistry roster;
    roster.setLeads(true, start);
    roster.markSeen(one, start);
    roster.markSeen(two, start + 10s);
    roster.expire(start + EntryVmRegistry::memory - 1ms);
    CHECK(roster.known(start + 29s).size() == 2);
    roster.expire(start + EntryVmRegistry::memory);
    CHECK(roster.known(start + 30s) == std::vector<std::string> { "two" });
}
