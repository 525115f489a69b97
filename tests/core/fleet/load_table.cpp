#include <rosemarymill/core/fleet/load_table.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using fleet::LoadTable;
using fleet::ServerLoad;

namespace {

unsigned loadOf(LoadTable& table, const std::string& server, Instant now)
{
    for (const auto& it : table.totals(now)) {
        if (it.server == ServerId { server })
            return it.requests;
    }
    return 0;
}

} // namespace

TEST_CASE("loads are summed over entry VMs with a recent report", "[fleet]")
{
    LoadTable table;
    const Instant now { 10s };
    const std::vector<ServerLoad> first { { ServerId { "a" }, 3, 1000 }, { ServerId { "b" }, 1 } };
    const std::vector<ServerLoad> second { { ServerId { "a" }, 2, 460 } };
    table.report(VmId { "one" }, first, now);
    table.report(VmId { "two" }, second, now + 1s);
    CHECK(loadOf(table, "a", now + 1s) == 5);
    CHECK(loadOf(table, "b", now + 1s) == 1);
    CHECK(table.totals(now + 1s).front().promptTokens == 1460);
    CHECK(loadOf(table, "a", now + 1600ms) == 2);
    table.report(VmId { "two" }, {}, now + 2s);
    CHECK(table.totals(now + 2s).empty());
}
