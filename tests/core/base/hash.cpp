#include <rosemarymill/core/base/hash.hpp>

#include <catch2/catch.hpp>

#include <array>

using namespace rosemarymill;

TEST_CASE("Fingerprints depend on the boundaries between parts", "[hash]")
{
    const std::array<std::string_view, 2> first { "ab", "c" };
    const std::array<std::string_view, 2> second { "a", "bc" };
    CHECK(fingerprint(first) != fingerprint(second));
    CHECK(fingerprint(first) == fingerprint(first));
}

TEST_CASE("Rendezvous weights differ by key and candidate", "[hash]")
{
    CHECK(rendezvousWeight("key", "a") != rendezvousWeight("key", "b"));
    CHECK(rendezvousWeight("key", "a") != rendezvousWeight("other", "a"));
}
