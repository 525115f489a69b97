#include <rosemarymill/core/fleet/call_desk.hpp>

#include <rosemarymill/core/fleet/call_times.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using fleet::CallDesk;

namespace {

constexpr Instant start { 100s };
const fleet::CarriedCallKey key { "vm/1", 7 };
const fleet::CallOffer offer { 7, 100 };

} // namespace

TEST_CASE("a carried call is carried out once after its ticket", "[fleet]")
{
    CallDesk desk;
    CHECK_FALSE(desk.arrived(key, start));
    CHECK(desk.offered(key, offer, start) == CallDesk::Decision::Ticket);
    CHECK(desk.arrived(key, start + 5ms));
    CHECK_FALSE(desk.arrived(key, start + 6ms));
    CHECK(desk.offered(key, offer, start + 300ms) == CallDesk::Decision::Running);
}

TEST_CASE("a carried call that was held up on the way is dropped", "[fleet]")
{
    CallDesk desk;
    REQUIRE(desk.offered(key, offer, start) == CallDesk::Decision::Ticket);
    CHECK_FALSE(desk.arrived(key, start + fleet::callTimes(offer.bytes).ticketLife + 1ms));
}

TEST_CASE("an answer that was lost is sent again and its call is not repeated", "[fleet]")
{
    CallDesk desk;
    REQUIRE(desk.offered(key, offer, start) == CallDesk::Decision::Ticket);
    REQUIRE(desk.arrived(key, start));
    desk.finished(key, { 200, "{}" }, start + 10ms);
    CHECK(desk.offered(key, offer, start + 400ms) == CallDesk::Decision::Answered);
    CHECK(desk.answer(key).status == 200);
    CHECK_FALSE(desk.arrived(key, start + 401ms));
    const fleet::CarriedCallKey restarted { "vm/2", 7 };
    CHECK(desk.offered(restarted, offer, start + 400ms) == CallDesk::Decision::Ticket);
}

TEST_CASE("long answers are not kept", "[fleet]")
{
    CallDesk desk;
    REQUIRE(desk.offered(key, offer, start) == CallDesk::Decision::Ticket);
    REQUIRE(desk.arrived(key, start));
    desk.finished(key, { 200, std::string(CallDesk::maxKeptAnswer + 1, 'x') }, start);
    CHECK(desk.offered(key, offer, start) == CallDesk::Decision::Ticket);
}

TEST_CASE("open calls are bounded and forgotten", "[fleet]")
{
    CallDesk desk;
    for (fleet::CallId id = 0; id < CallDesk::maxCalls; ++id)
        REQUIRE(desk.offered({ "vm/1", id }, { id, 0 }, start) == CallDesk::Decision::Ticket);
    CHECK(desk.offered({ "vm/2", 1 }, offer, start) == CallDesk::Decision::Refused);
    CHECK(desk.offered({ "vm/2", 1 }, offer, start + 2s) == CallDesk::Decision::Ticket);
    desk.clear();
    CHECK_FALSE(desk.arrived({ "vm/2", 1 }, start + 2s));
}
