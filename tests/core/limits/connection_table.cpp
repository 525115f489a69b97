#include <rosemarymill/core/limits/connection_table.hpp>

#include <catch2/catch.hpp>

#include <vector>

using namespace rosemarymill;
using limits::Activity;
using limits::ConnectionTable;

namespace {

constexpr std::size_t kilobyte = 1000;
constexpr Instant start { 1h };

/// A table with a limit of 1,000 KB, of which connections may hold 875 KB before some are closed.
struct Fixture {
    ConnectionTable::Handle add(Activity activity, std::size_t bytes, Instant at = start)
    {
        const auto it = table.add(at);
        table.update(it, activity, bytes, at);
        return it;
    }

    ConnectionTable table { { 1000 * kilobyte, 4 } };
};

} // namespace

TEST_CASE("Connections are closed for memory only above the limit, those of unfinished requests first", "[limits]")
{
    Fixture fixture;
    auto& table = fixture.table;
    const auto executing = fixture.add(Activity::Executing, 500 * kilobyte);
    const auto small = fixture.add(Activity::Receiving, 10 * kilobyte);
    const auto large = fixture.add(Activity::Receiving, 300 * kilobyte);
    const auto sending = fixture.add(Activity::Sending, 60 * kilobyte);
    CHECK_FALSE(table.overMemory());
    table.update(small, Activity::Receiving, 20 * kilobyte, start);
    REQUIRE(table.overMemory());
    CHECK(table.closeForMemory(start, table.end()) == large);
    CHECK_FALSE(table.overMemory());
    CHECK(table.size() == 3);
    // The next ones, if memory is still short: a request that is executed is never given up.
    CHECK(table.closeForMemory(start, table.end()) == small);
    CHECK(table.closeForMemory(start, table.end()) == sending);
    CHECK(table.closeForMemory(start, table.end()) == table.end());
    CHECK(table.bytes() == executing->bytes);
}

TEST_CASE("A connection that stalls is closed before one that makes progress", "[limits]")
{
    Fixture fixture;
    auto& table = fixture.table;
    const auto stalled = fixture.add(Activity::Receiving, 100 * kilobyte);
    const auto stalledReader = fixture.add(Activity::Sending, 50 * kilobyte);
    const auto now = start + ConnectionTable::stallTime;
    const auto progressing = fixture.add(Activity::Receiving, 800 * kilobyte, now);
    CHECK(table.closeForMemory(now, table.end()) == stalled);
    CHECK(table.closeForMemory(now, table.end()) == stalledReader);
    CHECK(table.closeForMemory(now, table.end()) == progressing);
}

TEST_CASE("A stream is closed for memory only if its client has stopped reading", "[limits]")
{
    Fixture fixture;
    auto& table = fixture.table;
    const auto stream = fixture.add(Activity::Streaming, 900 * kilobyte);
    REQUIRE(table.overMemory());
    CHECK(table.closeForMemory(start + ConnectionTable::stallTime - 1us, table.end()) == table.end());
    CHECK(table.closeForMemory(start + ConnectionTable::stallTime, table.end()) == stream);
}

TEST_CASE("A connection that takes more memory closes others first", "[limits]")
{
    Fixture fixture;
    auto& table = fixture.table;
    const auto growing = fixture.add(Activity::Receiving, 500 * kilobyte);
    const auto other = fixture.add(Activity::Receiving, 400 * kilobyte);
    CHECK(table.closeForMemory(start, growing) == other);
    CHECK(table.closeForMemory(start, growing) == table.end());
}

TEST_CASE("Large requests leave memory to small ones", "[limits]")
{
    Fixture fixture;
    auto& table = fixture.table;
    (void)fixture.add(Activity::Executing, 700 * kilobyte);
    CHECK(table.admits(50 * kilobyte));
    CHECK_FALSE(table.admits(70 * kilobyte));
    (void)fixture.add(Activity::Sending, 280 * kilobyte);
    CHECK(table.admits(20 * kilobyte));
    CHECK_FALSE(table.admits(21 * kilobyte));
    // Unfinished requests are closed if their memory is needed, so they do not count.
    (void)fixture.add(Activity::Receiving, 900 * kilobyte);
    CHECK(table.admits(20 * kilobyte));
}

TEST_CASE("The connection that has not sent a request for the longest time makes room for another one", "[limits]")
{
    Fixture fixture;
    auto& table = fixture.table;
    const auto served = fixture.add(Activity::Executing, kilobyte);
    table.update(served, Activity::Idle, kilobyte, start);
    const auto first = fixture.add(Activity::Receiving, kilobyte, start + 1s);
    const auto executing = fixture.add(Activity::Executing, kilobyte, start + 1s);
    const auto second = fixture.add(Activity::Idle, kilobyte, start + 1s);
    CHECK_FALSE(table.hasRoom());
    table.update(first, Activity::Receiving, 2 * kilobyte, start + 2s);
    const auto now = start + 2s;
    CHECK(table.closeForRoom(now) == second);
    CHECK(table.hasRoom());
    CHECK(table.closeForRoom(now) == first);
    CHECK(table.closeForRoom(now) == served);
    CHECK(table.closeForRoom(now) == table.end());
    CHECK(table.size() == 1);
    table.remove(second);
    table.remove(first);
    table.remove(served);
    CHECK(table.size() == 1);
    table.remove(executing);
    CHECK(table.size() == 0);
    CHECK(table.bytes() == 0);
}

TEST_CASE("Outgoing connections take room", "[limits]")
{
    Fixture fixture;
    (void)fixture.add(Activity::Idle, kilobyte);
    fixture.table.setOutgoing(2);
    CHECK(fixture.table.hasRoom());
    fixture.table.setOutgoing(3);
    CHECK_FALSE(fixture.table.hasRoom());
}
