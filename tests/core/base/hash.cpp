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

TEST_CASE("A fingerprint does not depend on how its parts are split in memory", "[hash]")
{
    const std::string body(5000, 'b');
    const std::array<std::string_view, 3> parts { "account", "/path", body };
    FingerprintBuilder builder;
    builder.add(parts[0]);
    builder.add(parts[1]);
    builder.begin(body.size());
    for (std::size_t i = 0; i < body.size(); i += 7)
        builder.append(std::string_view { body }.substr(i, 7));
    CHECK(builder.digest() == fingerprint(parts));
}
