#include <rosemarymill/core/lifecycle/lifecycle.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using namespace rosemarymill::lifecycle;

TEST_CASE("A shutdown accepts calls during the balancer grace and exits once after the last call", "[lifecycle]")
{
    Shutdown shutdown;
    const Instant now { 100s };
    CHECK(acceptsCalls(shutdown, now));
    CHECK_FALSE(tryExit(shutdown, now, 0));
    requestShutdown(shutdown, now);
    requestShutdown(shutdown, now + 1s);
    CHECK(acceptsCalls(shutdown, now + 1s));
    CHECK_FALSE(tryExit(shutdown, now + 1s, 0));
    CHECK_FALSE(acceptsCalls(shutdown, now + 2s));
    CHECK_FALSE(tryExit(shutdown, now + 2s, 1));
    CHECK(tryExit(shutdown, now + 9s, 0));
    CHECK_FALSE(tryExit(shutdown, now + 10s, 0));
}

TEST_CASE("No work is dispatched to VMs and data centres out of service", "[lifecycle]")
{
    OutOfServiceSet outOfService;
    const DataCentreId mixco { "mixco" };
    CHECK(inService(outOfService, mixco, VmId { "vm-1" }));
    outOfService.vms.insert(VmId { "vm-1" });
    CHECK_FALSE(inService(outOfService, mixco, VmId { "vm-1" }));
    CHECK(inService(outOfService, mixco, VmId { "vm-2" }));
    outOfService.dataCentres.insert(mixco);
    CHECK_FALSE(inService(outOfService, mixco, VmId { "vm-2" }));
}
