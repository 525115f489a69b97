#include <rosemarymill/core/routes/table.hpp>
#include <rosemarymill/wire/routes/codec.hpp>

#include "support/documents.hpp"

#include <catch2/catch.hpp>

using namespace rosemarymill;
using routes::DocumentTable;

TEST_CASE("A document rebuilt from encoded and decoded changes equals the original", "[routes]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        test::DocumentGenerator source(seed);
        DocumentTable leader;
        DocumentTable replica;
        for (unsigned step = 0; step < 60; ++step) {
            REQUIRE(leader.replace(source.next()));
            if (source.below(3) == 0)
                continue;
            const auto changes = leader.changesSince(replica.version());
            wire::Buffer buf;
            wire::routes::encode(changes, buf);
            const auto decoded = wire::routes::decode(buf);
            REQUIRE(decoded);
            REQUIRE(replica.apply(decoded.value()));
            REQUIRE(replica.document() == leader.document());
        }
    }
}

TEST_CASE("Encoded changes are much smaller than a large document, and the encoded document is smaller than its text",
    "[routes]")
{
    constexpr std::size_t routeCount = 1320;
    DocumentTable leader;
    leader.replace(test::largeDocument(1, routeCount));
    wire::Buffer whole;
    wire::routes::encode(leader.changesSince(0), whole);
    leader.replace(test::largeDocument(2, routeCount));
    wire::Buffer changed;
    wire::routes::encode(leader.changesSince(1), changed);
    // A route of the submitted JSON text takes about 330 bytes.
    CHECK(whole.size() < routeCount * 330);
    CHECK(changed.size() < 1024);
}

TEST_CASE("A document with as many entries as fit into 4 MiB of JSON is decoded", "[routes]")
{
    // `{"name":"a"},` takes 13 bytes of JSON.
    constexpr std::size_t accountCount = std::size_t { 4 } * 1024 * 1024 / 13;
    routes::Document document;
    document.version = 1;
    for (std::size_t i = 0; i < accountCount; ++i)
        document.accounts.push_back({ AccountId { "a" }, {}, {} });
    DocumentTable leader;
    leader.replace(document);
    wire::Buffer buf;
    wire::routes::encode(leader.changesSince(0), buf);
    CHECK(buf.size() < std::size_t { 32 } * 1024 * 1024);
    const auto decoded = wire::routes::decode(buf);
    REQUIRE(decoded);
    CHECK(decoded.value().entries.size() == accountCount + 1);
}

TEST_CASE("Truncated and empty payloads of changes are rejected", "[routes]")
{
    DocumentTable leader;
    leader.replace(test::largeDocument(1, 10));
    wire::Buffer buf;
    wire::routes::encode(leader.changesSince(0), buf);
    buf.resize(buf.size() / 2);
    CHECK(wire::routes::decode(buf).error() == wire::DecodeError::Malformed);
    CHECK_FALSE(wire::routes::decode({}));
}

TEST_CASE("packed changes of a document are unchanged after unpacking, and truncated or overlong ones are rejected",
    "[routes]")
{
    routes::DocumentTable leader;
    leader.replace(test::largeDocument(1, 100));
    const auto changes = leader.changesSince(0);
    const auto packed = wire::routes::pack(changes);
    REQUIRE(packed);
    const auto bytes = std::as_bytes(std::span { packed.value() });
    CHECK(wire::routes::unpack(bytes, 1024 * 1024).value() == changes);
    CHECK_FALSE(wire::routes::unpack(bytes, 1024));
    CHECK_FALSE(wire::routes::unpack(bytes.first(bytes.size() / 2), 1024 * 1024));
}
