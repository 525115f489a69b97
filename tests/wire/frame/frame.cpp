#include <rosemarymill/wire/frame/frame.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill::wire;

namespace {

std::vector<std::byte> sampleFrame()
{
    const std::vector<std::byte> payload(100, std::byte { 7 });
    std::vector<std::byte> buf;
    appendFrame(FrameKind::Membership, payload, buf);
    return buf;
}

} // namespace

TEST_CASE("A frame is read only once all of its bytes have been received", "[frame]")
{
    const auto buf = sampleFrame();
    for (std::size_t n = 0; n < buf.size(); ++n) {
        const auto result = readFrame(std::span(buf).first(n));
        REQUIRE(result.has_value());
        CHECK_FALSE(result.value().has_value());
    }
    const auto whole = readFrame(buf).value();
    REQUIRE(whole.has_value());
    CHECK(whole->kind == FrameKind::Membership);
    CHECK(whole->payload.size() == 100);
    CHECK(whole->size == buf.size());
}

TEST_CASE("A frame with a damaged payload, version, kind or length is rejected", "[frame]")
{
    auto buf = sampleFrame();
    buf.back() ^= std::byte { 1 };
    CHECK(readFrame(buf).error() == FrameError::ChecksumMismatch);
    buf = sampleFrame();
    buf[4] ^= std::byte { 1 };
    CHECK(readFrame(buf).error() == FrameError::VersionMismatch);
    buf = sampleFrame();
    buf[6] = std::byte { 200 };
    CHECK(readFrame(buf).error() == FrameError::UnknownKind);
    buf = sampleFrame();
    buf[3] = std::byte { 1 };
    CHECK(readFrame(buf).error() == FrameError::PayloadTooLarge);
}
