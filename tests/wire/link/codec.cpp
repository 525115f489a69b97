#include <rosemarymill/wire/link/codec.hpp>
#include <rosemarymill/wire/node/codec.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;

TEST_CASE("Hello is unchanged after encoding and decoding; truncated and nameless payloads are rejected", "[link]")
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

// Guards against forged payloads that crash the process or make the decoder read past their end.
TEST_CASE("A Hello with any single flipped bit does not crash the decoder", "[link]")
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

TEST_CASE("The peer message codec rejects Hello and Forward frames and does not encode an empty message", "[link]")
{
    CHECK(wire::node::decode(wire::FrameKind::Hello, {}).error() == wire::DecodeError::UnexpectedKind);
    CHECK(wire::node::decode(wire::FrameKind::Forward, {}).error() == wire::DecodeError::UnexpectedKind);
    wire::Buffer payload;
    CHECK_FALSE(wire::node::encode(node::PeerMessage {}, payload).has_value());
}
