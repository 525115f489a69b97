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

TEST_CASE("a carried call is carried out once after its ticket", "[fleet]")
{
    ForwardedCallTable desk;
    CHECK_FALSE(desk.arrived(key, start));
    CHECK(desk.offered(key, offer, start) == ForwardedCallTable::Decision::Ticket);
    CHECK(desk.arrived(key, start + 5ms));
    CHECK_FALSE(desk.arrived(key, start + 6ms));
    CHECK(desk.offered(key, offer, start + 300ms) == ForwardedCallTable::Decision::Running);
}

TEST_CASE("a carried call that was held up on the way is dropped", "[fleet]")
{
    ForwardedCallTable desk;
    REQUIRE(desk.offered(key, offer, start) == ForwardedCallTable::Decision::Ticket);
    CHECK_FALSE(desk.arrived(key, start + fleet::callTimes(offer.bytes).ticketLifetime + 1ms));
}

TEST_CASE("an answer that was lost is sent again and its call is not repeated", "[fleet]")
{
    ForwardedCallTable desk;
    REQUIRE(desk.offered(key, offer, start) == ForwardedCallTable::Decision::Ticket);
    REQUIRE(desk.arrived(key, start));
    desk.finished(key, { 200, "{}" }, start + 10ms);
    CHECK(desk.offered(key, offer, start + 400ms) == ForwardedCallTable::Decision::Answered);
    CHECK(desk.answer(key).status == 200);
    CHECK_FALSE(desk.arrived(key, start + 401ms));
    const fleet::ForwardedCallKey restarted { "vm/2", 7 };
    CHECK(desk.offered(restarted, offer, start + 400ms) == ForwardedCallTable::Decision::Ticket);
}

TEST_CASE("long answers are not kept", "[fleet]")
{
    ForwardedCallTable desk;
    REQUIRE(desk.offered(key, offer, start) == ForwardedCallTable::Decision::Ticket);
    REQUIRE(desk.arrived(key, start));
    desk.finished(key, { 200, std::string(ForwardedCallTable::maxKeptAnswer + 1, 'x') }, start);
    CHECK(desk.offered(key, offer, start) == ForwardedCallTable::Decision::Ticket);
}

TEST_CASE("open calls are bounded and forgotten", "[fleet]")
{
    ForwardedCallTable desk;
    for (fleet::CallId id = 0; id < ForwardedCallTable::maxCalls; ++id)
        REQUIRE(desk.offered({ "vm/1", id }, { id, 0 }, start) == ForwardedCallTable::Decision::Ticket);
    CHECK(desk.offered({ "vm/2", 1 }, offer, start) == ForwardedCallTable::Decision::Refused);
    CHECK(desk.offered({ "vm/2", 1 }, offer, start + 2s) == ForwardedCallTable::Decision::Ticket);
    desk.clear();
    CHECK_FALSE(desk.arrived({ "vm/2", 1 }, start + 2s));
}
