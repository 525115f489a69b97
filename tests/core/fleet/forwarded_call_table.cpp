#include <rosemarymill/core/fleet/forwarded_call_table.hpp>

#include <rosemarymill/core/fleet/call_times.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using fleet::ForwardedCallTable;

namespace {

constexpr Instant start { 100s };
const fleet::ForwardedCallKey key { "vm/1", 7 };
const fleet::CallOffer offer { 7, 100 };

} // namespace

TEST_CASE("a forwarded call is executed once after its ticket", "[fleet]")
{
    ForwardedCallTable table;
    CHECK_FALSE(table.arrived(key, start));
    CHECK(table.offered(key, offer, start) == ForwardedCallTable::Decision::Ticket);
    CHECK(table.arrived(key, start + 5ms));
    CHECK_FALSE(table.arrived(key, start + 6ms));
    CHECK(table.offered(key, offer, start + 300ms) == ForwardedCallTable::Decision::Running);
}

TEST_CASE("a forwarded call that arrives after its ticket expired is dropped", "[fleet]")
{
    ForwardedCallTable table;
    REQUIRE(table.offered(key, offer, start) == ForwardedCallTable::Decision::Ticket);
    CHECK_FALSE(table.arrived(key, start + fleet::callTimes(offer.bytes).ticketLifetime + 1ms));
}

TEST_CASE("a lost answer is sent again and its call is not executed again", "[fleet]")
{
    ForwardedCallTable table;
    REQUIRE(table.offered(key, offer, start) == ForwardedCallTable::Decision::Ticket);
    REQUIRE(table.arrived(key, start));
    table.finished(key, { 200, "{}" }, start + 10ms);
    CHECK(table.offered(key, offer, start + 400ms) == ForwardedCallTable::Decision::Answered);
    CHECK(table.answer(key).status == 200);
    CHECK_FALSE(table.arrived(key, start + 401ms));
    const fleet::ForwardedCallKey restarted { "vm/2", 7 };
    CHECK(table.offered(restarted, offer, start + 400ms) == ForwardedCallTable::Decision::Ticket);
}

TEST_CASE("long answers are not kept", "[fleet]")
{
    ForwardedCallTable table;
    REQUIRE(table.offered(key, offer, start) == ForwardedCallTable::Decision::Ticket);
    REQUIRE(table.arrived(key, start));
    table.finished(key, { 200, std::string(ForwardedCallTable::maxKeptAnswer + 1, 'x') }, start);
    CHECK(table.offered(key, offer, start) == ForwardedCallTable::Decision::Ticket);
}

TEST_CASE("the number of calls is limited and calls expire", "[fleet]")
{
    ForwardedCallTable table;
    for (fleet::CallId id = 0; id < ForwardedCallTable::maxCalls; ++id)
        REQUIRE(table.offered({ "vm/1", id }, { id, 0 }, start) == ForwardedCallTable::Decision::Ticket);
    CHECK(table.offered({ "vm/2", 1 }, offer, start) == ForwardedCallTable::Decision::Refused);
    CHECK(table.offered({ "vm/2", 1 }, offer, start + 2s) == ForwardedCallTable::Decision::Ticket);
    table.clear();
    CHECK_FALSE(table.arrived({ "vm/2", 1 }, start + 2s));
}
