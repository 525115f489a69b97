#include <rosemarymill/wire/forward/codec.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using namespace rosemarymill::wire::forward;

namespace {

wire::Buffer sampleOpen()
{
    call::Request request;
    request.tokenDigest = "digest";
    request.model = ModelName { "planner" };
    request.fingerprint = { 1, 2 };
    request.prefixHashes = { 3 };
    wire::Buffer payload;
    encode(
        { BootId { "b" }, Open { AttemptId { 7 }, "127.0.0.1:1", 4, request, 2, "/v1", "t", "a", "body" } }, payload);
    return payload;
}

} // namespace

TEST_CASE("A forwarded call is unchanged after encoding and decoding", "[forward]")
{
    const auto message = wire::forward::decode(sampleOpen());
    REQUIRE(message.has_value());
    const auto& open = std::get<Open>(message.value().body);
    CHECK(message.value().originBoot == BootId { "b" });
    CHECK(open.attempt == AttemptId { 7 });
    CHECK(open.resumeFrom == 4);
    CHECK(open.body == "body");
    CHECK(open.request.model == ModelName { "planner" });
    CHECK(open.request.fingerprint == Fingerprint { 1, 2 });
    CHECK(open.request.forwarded);
}

// Guards against forged payloads that crash the process or make the decoder read past their end.
TEST_CASE("Truncated and damaged forward messages do not crash the decoder", "[forward]")
{
    const auto payload = sampleOpen();
    // A truncated payload may only be accepted if nothing but trailing padding is missing.
    for (std::size_t n = 0; n < payload.size(); ++n) {
        const auto message = wire::forward::decode(std::span(payload).first(n));
        if (!message)
            continue;
        wire::Buffer reencoded;
        encode(message.value(), reencoded);
        CHECK(reencoded == payload);
    }
    CHECK_FALSE(wire::forward::decode(std::span(payload).first(payload.size() - 4)).has_value());
    for (std::size_t i = 0; i < payload.size(); ++i) {
        auto damaged = payload;
        damaged[i] ^= std::byte { 0x81 };
        (void)wire::forward::decode(damaged);
    }
}
