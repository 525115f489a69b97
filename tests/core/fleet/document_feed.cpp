#include <rosemarymill/core/fleet/document_feed.hpp>

#include "support/documents.hpp"

#include <catch2/catch.hpp>

using namespace rosemarymill;
using fleet::DocumentFeed;
using Push = DocumentFeed::Push;

namespace {

constexpr Instant start { 10s };

struct World {
    void publish(std::uint64_t version) { feed.publish(test::largeDocument(version, 10), now); }

    DocumentFeed feed;
    Instant now { start };
};

} // namespace

TEST_CASE("A subscriber gets one push at a time and no version that was overtaken", "[fleet]")
{
    World world;
    auto& feed = world.feed;
    world.publish(1);
    feed.subscribed(1, 0, start);
    CHECK(feed.next(1) == Push { 0, 1 });
    for (std::uint64_t version = 2; version <= 50; ++version) {
        world.publish(version);
        CHECK_FALSE(feed.next(1));
    }
    feed.inForce(1, 1);
    CHECK(feed.next(1) == Push { 1, 50 });
    CHECK(feed.statistics(start).skipped == 48);
    feed.inForce(1, 50);
    CHECK_FALSE(feed.next(1));
    CHECK(feed.statistics(start).behind == 0);
}

TEST_CASE("Subscribers with the same version get the same push", "[fleet]")
{
    World world;
    auto& feed = world.feed;
    world.publish(4);
    world.publish(7);
    feed.subscribed(1, 4, start);
    feed.subscribed(2, 4, start);
    CHECK(feed.next(1) == feed.next(2));
    // Known, but not to this leader; and newer than what this leader knows.
    feed.subscribed(3, 5, start);
    CHECK(feed.next(3) == Push { 0, 7 });
    feed.subscribed(4, 9, start);
    CHECK_FALSE(feed.next(4));
    CHECK_FALSE(feed.next(5));
}

TEST_CASE("Changes that did not fit are followed by the whole document", "[fleet]")
{
    World world;
    auto& feed = world.feed;
    world.publish(1);
    world.publish(2);
    feed.subscribed(1, 1, start);
    CHECK(feed.next(1) == Push { 1, 2 });
    feed.inForce(1, 1);
    CHECK(feed.next(1) == Push { 0, 2 });
    feed.inForce(1, 2);
    world.publish(3);
    CHECK(feed.next(1) == Push { 2, 3 });
    CHECK(feed.statistics(start).whole == 1);
}

TEST_CASE("A subscriber that subscribes again forgets what was in flight", "[fleet]")
{
    World world;
    auto& feed = world.feed;
    world.publish(1);
    feed.subscribed(1, 0, start);
    CHECK(feed.next(1));
    feed.subscribed(1, 0, start);
    CHECK(feed.next(1) == Push { 0, 1 });
    feed.unsubscribed(1);
    feed.inForce(1, 1);
    CHECK_FALSE(feed.next(1));
}

TEST_CASE("The age is that of the first version that the slowest subscriber lacks", "[fleet]")
{
    World world;
    auto& feed = world.feed;
    world.publish(1);
    feed.subscribed(1, 1, start);
    feed.subscribed(2, 1, start);
    CHECK(feed.statistics(start + 9s).age == Duration {});
    CHECK(feed.statistics(start).oldestInForce == 1);
    world.now = start + 1s;
    world.publish(2);
    world.now = start + 2s;
    world.publish(3);
    CHECK(feed.next(1));
    feed.inForce(1, 3);
    CHECK(feed.statistics(start + 5s).age == 4s);
    CHECK(feed.statistics(start + 5s).oldestInForce == 1);
    CHECK(feed.statistics(start + 5s).behind == 1);
    feed.inForce(2, 2);
    CHECK(feed.statistics(start + 5s).age == 3s);
    // A newcomer waits since it came.
    feed.inForce(2, 3);
    feed.subscribed(3, 0, start + 8s);
    CHECK(feed.statistics(start + 9s).age == 1s);
}
