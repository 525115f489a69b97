#include <rosemarymill/core/fleet/machine.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using fleet::Machine;

TEST_CASE("a document is only replaced by a higher version", "[fleet]")
{
    Machine machine;
    CHECK(machine.apply(1, fleet::StoreDocument { "s1", 5, "five" }).changed);
    CHECK_FALSE(machine.apply(2, fleet::StoreDocument { "s2", 4, "four" }).changed);
    CHECK_FALSE(machine.apply(3, fleet::StoreDocument { "s3", 5, "other five" }).changed);
    CHECK(machine.state().bytes == "five");
    CHECK(machine.apply(4, fleet::StoreDocument { "s4", 9, "nine" }).changed);
    CHECK(machine.state().version == 9);
}

TEST_CASE("data centres are taken out of service and brought back, and a barrier changes nothing", "[fleet]")
{
    Machine machine;
    const DataCentreId mixco { "mixco" };
    CHECK(machine.apply(1, fleet::SetOutOfService { "s1", mixco, true }).changed);
    CHECK_FALSE(machine.apply(2, fleet::SetOutOfService { "s2", mixco, true }).changed);
    const auto before = machine.snapshot();
    CHECK(machine.apply(3, fleet::Barrier { "s3" }).submission == "s3");
    CHECK(machine.snapshot() == before);
    CHECK(machine.apply(4, fleet::SetOutOfService { "s4", mixco, false }).changed);
    CHECK(machine.state().outOfService.empty());
}
