#include <rosemarymill/wire/compress/compress.hpp>

#include <catch2/catch.hpp>

#include <random>

using namespace rosemarymill;
using wire::CompressError;

namespace {

std::string randomBytes(std::size_t length)
{
    std::mt19937 random { 1 };
    std::string bytes;
    while (bytes.size() < length)
        bytes.push_back(static_cast<char>(random()));
    return bytes;
}

} // namespace

TEST_CASE("content is unchanged after compression and decompression", "[compress]")
{
    for (const auto& content : { std::string {}, std::string { "\0\xff{}", 4 }, std::string(500'000, 'a'),
             randomBytes(100), randomBytes(500'000) }) {
        const auto compressed = wire::compress(content);
        REQUIRE(compressed);
        CHECK(compressed.value().size() <= content.size() + wire::compressOverhead(content.size()));
        const auto decompressed = wire::decompress(compressed.value(), content.size());
        REQUIRE(decompressed);
        CHECK(decompressed.value() == content);
    }
    CHECK(wire::compress(std::string(500'000, 'a')).value().size() < 1000);
}

TEST_CASE("compressed data that is malformed or too large is rejected", "[compress]")
{
    const auto content = randomBytes(1000) + std::string(1000, 'a');
    const auto compressed = wire::compress(content).value();
    CHECK(wire::decompress(compressed, content.size() - 1).error() == CompressError::TooLarge);
    for (std::size_t n = 0; n < compressed.size(); ++n)
        CHECK(wire::decompress(std::string_view { compressed }.substr(0, n), content.size()).error()
            == CompressError::Malformed);
    CHECK(wire::decompress("{\"version\":7}", content.size()).error() == CompressError::Malformed);
    CHECK(wire::decompress(compressed + "x", content.size()).error() == CompressError::Malformed);
}
