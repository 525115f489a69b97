#include <rosemarymill/core/fleet/document_feed.hpp>

#include "support/documents.hpp"

#include <catch2/catch.hpp>

using namespace rosemarymill;
using fleet::DocumentFeed;
using Push = DocumentFeed::Push;

namespace {

constexpr Instant start { 10s };

struct FeedFixture {
    void publish(std::uint64_t version) { feed.publish(test::largeDocument(version, 10), now); }

    DocumentFeed feed;
    Instant now { start };
};

} // namespace

TEST_CASE("A subscriber gets one push at a time and no version that was superseded", "[fleet]")
{
    FeedFixture fixture;
    auto& feed = fixture.feed;
    fixture.publish(1);
    feed.subscribed(1, 0, start);
    CHECK(feed.next(1) == Push { 0, 1 });
    for (std::uint64_t version = 2; version <= 50; ++version) {
        fixture.publish(version);
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
    FeedFixture fixture;
    auto& feed = fixture.feed;
    fixture.publish(4);
    fixture.publish(7);
    feed.subscribed(1, 4, start);
    feed.subscribed(2, 4, start);
    CHECK(feed.next(1) == feed.next(2));
    // A version that this leader does not hold, and one that is newer than its newest.
    feed.subscribed(3, 5, start);
    CHECK(feed.next(3) == Push { 0, 7 });
    feed.subscribed(4, 9, start);
    CHECK_FALSE(feed.next(4));
    CHECK_FALSE(feed.next(5));
}

TEST_CASE("The whole document is sent after changes that could not be applied", "[fleet]")
{
    FeedFixture fixture;
    auto& feed = fixture.feed;
    fixture.publish(1);
    fixture.publish(2);
    feed.subscribed(1, 1, start);
    CHECK(feed.next(1) == Push { 1, 2 });
    feed.inForce(1, 1);
    CHECK(feed.next(1) == Push { 0, 2 });
    feed.inForce(1, 2);
    fixture.publish(3);
    CHECK(feed.next(1) == Push { 2, 3 });
    CHECK(feed.statistics(start).whole == 1);
}

TEST_CASE("A new subscription resets the push in flight", "[fleet]")
{
    FeedFixture fixture;
    auto& feed = fixture.feed;
    fixture.publish(1);
    feed.subscribed(1, 0, start);
    CHECK(feed.next(1));
    feed.subscribed(1, 0, start);
    CHECK(feed.next(1) == Push { 0, 1 });
    feed.unsubscribed(1);
    feed.inForce(1, 1);
    CHECK_FALSE(feed.next(1));
}

TEST_CASE("The age is that of the oldest version that a subscriber is missing", "[fleet]")
{
    FeedFixture fixture;
    auto& feed = fixture.feed;
    fixture.publish(1);
    feed.subscribed(1, 1, start);
    feed.subscribed(2, 1, start);
    CHECK(feed.statistics(start + 9s).age == Duration {});
    CHECK(feed.statistics(start).oldestInForce == 1);
    fixture.now = start + 1s;
    fixture.publish(2);
    fixture.now = start + 2s;
    fixture.publish(3);
    CHECK(feed.next(1));
    feed.inForce(1, 3);
    CHECK(feed.statistics(start + 5s).age == 4s);
    CHECK(feed.statistics(start + 5s).oldestInForce == 1);
    CHECK(feed.statistics(start + 5s).behind == 1);
    feed.inForce(2, 2);
    CHECK(feed.statistics(start + 5s).age == 3s);
    // A new subscriber has been waiting since it subscribed.
    feed.inForce(2, 3);
    feed.subscribed(3, 0, start + 8s);
    CHECK(feed.statistics(start + 9s).age == 1s);
}
