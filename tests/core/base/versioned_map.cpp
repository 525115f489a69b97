#include <rosemarymill/core/base/versioned_map.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace rosemarymill;

using Map = VersionedMap<std::string, int, unsigned>;

TEST_CASE("Setting an equal value keeps the revision, and a removal counts as a change", "[base]")
{
    Map map;
    map.advance(1);
    map.set("a", 1);
    map.set("b", 2);
    map.advance(2);
    map.set("a", 1);
    map.remove("b");
    map.remove("c");
    const auto changes = map.changesSince(1);
    REQUIRE(changes.size() == 1);
    CHECK(changes.front() == Map::Entry { "b", 2, 0 });
    CHECK(changes.front().removed());
}

TEST_CASE("Changes apply only from a revision already reached, and a full set replaces the content", "[base]")
{
    Map map;
    map.advance(1);
    map.set("a", 1);
    map.advance(2);
    map.set("b", 2);
    Map other;
    CHECK_FALSE(other.apply(1, 2, map.changesSince(1)));
    REQUIRE(other.apply(0, 2, map.changesSince(0)));
    CHECK(other == map);
    CHECK_FALSE(other.apply(0, 2, map.changesSince(0)));
    Map diverged;
    diverged.advance(1);
    diverged.set("x", 9);
    REQUIRE(diverged.apply(0, 2, map.changesSince(0)));
    CHECK(diverged == map);
}

TEST_CASE("The oldest removed entries are dropped, which raises the floor", "[base]")
{
    Map map(2);
    map.advance(1);
    for (const auto* key : { "a", "b", "c", "d" })
        map.set(key, 1);
    map.advance(2);
    map.remove("a");
    map.advance(3);
    map.remove("b");
    map.trim();
    CHECK(map.floor() == 0);
    map.advance(4);
    map.remove("c");
    map.trim();
    CHECK(map.floor() == 2);
    CHECK(map.entries().size() == 3);
    // An entry that is set again no longer counts as removed.
    map.advance(5);
    map.set("b", 3);
    map.remove("d");
    map.trim();
    CHECK(map.floor() == 2);
    CHECK(map.entries().size() == 3);
}
