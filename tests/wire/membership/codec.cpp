#include <rosemarymill/wire/membership/codec.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using namespace rosemarymill::membership;

namespace {

Update claim(const char* vm, Status status) { return { VmId { vm }, "a:1", "b:2", BootId { "boot" }, 7, status }; }

Header header()
{
    return { claim("vm-1", Status::Alive), DataCentreId { "mixco" },
        { Revision { 12 }, VmId { "vm-2" }, FencingNumber { 5 }, { 1, 2, 3, 4 } }, 99,
        { claim("vm-3", Status::Suspect), claim("vm-4", Status::Dead) } };
}

} // namespace

// Guards against fields that the encoder or the decoder omits.
TEST_CASE("Membership messages are unchanged after encoding and decoding", "[codec]")
{
    const DataCentreDigest digest { DataCentreId { "antigua" }, 4, 6, header().facts, { { VmId { "vm-9" }, "c:3" } } };
    for (const Message& message : { Message { Probe { header(), 3 } }, Message { Ack { header(), 4, VmId { "vm-5" } } },
             Message { ProbeRequest { header(), 5, VmId { "vm-6" }, "d:4" } }, Message { Gossip { header() } },
             Message { Digest { header(), VmId { "vm-7" }, { digest } } } }) {
        wire::Buffer buf;
        wire::membership::encode(message, buf);
        const auto decoded = wire::membership::decode(buf);
        REQUIRE(decoded.has_value());
        CHECK(decoded.value() == message);
    }
}

TEST_CASE("A membership message that is truncated or has an unknown status is rejected", "[codec]")
{
    wire::Buffer buf;
    auto forged = header();
    forged.updates[0].status = static_cast<Status>(9);
    wire::membership::encode(Gossip { forged }, buf);
    CHECK(wire::membership::decode(buf).error() == wire::DecodeError::Malformed);
    CHECK(wire::membership::decode(std::span(buf).first(20)).error() == wire::DecodeError::Malformed);
}
