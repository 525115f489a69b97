#include <rosemarymill/core/base/versioned_map.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace rosemarymill;

using Map = VersionedMap<std::string, int, unsigned>;

TEST_CASE("Equal entries keep their revision, and removed ones are changes", "[base]")
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

TEST_CASE("Changes lead on only from a revision that is held, and everything replaces what is held", "[base]")
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
    Map odd;
    odd.advance(1);
    odd.set("x", 9);
    REQUIRE(odd.apply(0, 2, map.changesSince(0)));
    CHECK(odd == map);
}

TEST_CASE("The oldest removed entries are forgotten and raise the floor", "[base]")
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
    // An entry that comes back is no longer removed.
    map.advance(5);
    map.set("b", 3);
    map.remove("d");
    map.trim();
    CHECK(map.floor() == 2);
    CHECK(map.entries().size() == 3);
}
