#include <rosemarymill/wire/link/codec.hpp>
#include <rosemarymill/wire/node/codec.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;

TEST_CASE("Hello survives the wire; damaged and incomplete payloads are refused", "[link]")
{
    const wire::link::Hello hello { VmId { "entry-1" }, DataCentreId { "mixco" }, BootId { "b-1" }, 1 };
    wire::Buffer payload;
    encode(hello, payload);
    REQUIRE(payload.size() <= 100);
    CHECK(wire::link::decode(payload).value() == hello);
    for (std::size_t n = 0; n < payload.size(); ++n)
        CHECK_FALSE(wire::link::decode(std::span(payload).first(n)).has_value());
    wire::Buffer nameless;
    encode(wire::link::Hello {}, nameless);
    CHECK(wire::link::decode(nameless).error() == wire::DecodeError::Malformed);
}

// A forged payload must neither crash the process nor be read beyond its end.
TEST_CASE("Every single-byte change of a Hello is decoded or refused without a fault", "[link]")
{
    wire::Buffer payload;
    encode(wire::link::Hello { VmId { "entry-1" }, DataCentreId { "mixco" }, BootId { "b-1" }, 1 }, payload);
    for (std::size_t i = 0; i < payload.size(); ++i) {
        for (int bit = 0; bit < 8; ++bit) {
            auto damaged = payload;
            damaged[i] ^= std::byte { 1 } << bit;
            (void)wire::link::decode(damaged);
        }
    }
    SUCCEED();
}

TEST_CASE("Frames that are not the core's messages are refused by the message codec", "[link]")
{
    CHECK(wire::node::decode(wire::FrameKind::Hello, {}).error() == wire::DecodeError::UnexpectedKind);
    CHECK(wire::node::decode(wire::FrameKind::Forward, {}).error() == wire::DecodeError::UnexpectedKind);
    wire::Buffer payload;
    CHECK_FALSE(wire::node::encode(node::PeerMessage {}, payload).has_value());
}
