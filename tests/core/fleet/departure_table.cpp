#include <rosemarymill/core/fleet/departure_table.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using fleet::Departure;
using fleet::DepartureTable;

TEST_CASE("a departure covers this and earlier processes of a server", "[fleet]")
{
    DepartureTable table;
    CHECK(table.add({ ServerId { "a" }, 100 }));
    CHECK_FALSE(table.add({ ServerId { "a" }, 90 }));
    CHECK(table.contains(ServerId { "a" }, 90));
    CHECK(table.contains(ServerId { "a" }, 100));
    CHECK_FALSE(table.contains(ServerId { "a" }, 101));
    CHECK_FALSE(table.contains(ServerId { "b" }, 100));
}

TEST_CASE("a later departure of a server replaces the earlier one", "[fleet]")
{
    DepartureTable table;
    table.add({ ServerId { "a" }, 100 });
    table.add({ ServerId { "b" }, 100 });
    CHECK(table.add({ ServerId { "a" }, 200 }));
    CHECK(table.entries() == std::vector<Departure> { { ServerId { "b" }, 100 }, { ServerId { "a" }, 200 } });
}

TEST_CASE("the oldest departures are dropped first", "[fleet]")
{
    DepartureTable table;
    constexpr std::int64_t n = 5000;
    for (std::int64_t it = 1; it <= n; ++it)
        table.add({ ServerId { "server-" + std::to_string(it) }, it });
    CHECK(table.entries().size() < n);
    CHECK_FALSE(table.contains(ServerId { "server-1" }, 1));
    CHECK(table.contains(ServerId { "server-5000" }, n));
    // A day's departures at the design size: 1,200 replaced servers.
    CHECK(table.entries().size() > 1200);
}
