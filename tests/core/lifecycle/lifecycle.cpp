#include <rosemarymill/core/lifecycle/lifecycle.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using namespace rosemarymill::lifecycle;

TEST_CASE("A shutdown serves calls until the balancer has noticed and exits once after the last call", "[lifecycle]")
{
    Shutdown shutdown;
    const Instant now { 100s };
    CHECK(acceptsCalls(shutdown, now));
    CHECK_FALSE(tryExit(shutdown, now, 0));
    request(shutdown, now);
    request(shutdown, now + 1s);
    CHECK(acceptsCalls(shutdown, now + 1s));
    CHECK_FALSE(tryExit(shutdown, now + 1s, 0));
    CHECK_FALSE(acceptsCalls(shutdown, now + 2s));
    CHECK_FALSE(tryExit(shutdown, now + 2s, 1));
    CHECK(tryExit(shutdown, now + 9s, 0));
    CHECK_FALSE(tryExit(shutdown, now + 10s, 0));
}

TEST_CASE("Nothing on a VM or in a data centre out of service gets work", "[lifecycle]")
{
    OutOfServiceSet out;
    const DataCentreId mixco { "mixco" };
    CHECK(inService(out, mixco, VmId { "vm-1" }));
    out.vms.insert(VmId { "vm-1" });
    CHECK_FALSE(inService(out, mixco, VmId { "vm-1" }));
    CHECK(inService(out, mixco, VmId { "vm-2" }));
    out.dataCentres.insert(mixco);
    CHECK_FALSE(inService(out, mixco, VmId { "vm-2" }));
}
