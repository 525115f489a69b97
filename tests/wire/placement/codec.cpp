#include <rosemarymill/wire/placement/codec.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using namespace rosemarymill::placement;

namespace {

backend::Announcement server()
{
    backend::Announcement it;
    it.id = ServerId { "s" };
    it.bootId = BootId { "b" };
    it.vm = VmId { "v" };
    it.dataCentre = DataCentreId { "mixco" };
    it.fabricDomain = FabricDomainId { "f" };
    it.address = "a:1";
    it.accelerators = 2;
    it.models = { { ModelName { "m" }, "1", { "x", "y" } } };
    it.memoryBytes = 10;
    it.tokenMemory = 11;
    it.maxRequests = 12;
    it.cold = true;
    it.coldRequests = 3;
    it.leaving = true;
    it.load = { 1, 2, 3 };
    it.group = { GroupId { 4 }, FencingNumber { 5 }, 6 };
    it.fencingSeen = FencingNumber { 7 };
    it.checksFencing = true;
    return it;
}

Group group()
{
    return { GroupId { 8 }, FencingNumber { 9 }, ModelName { "m" }, "1", FabricDomainId { "f" },
        { { ServerId { "s" }, VmId { "v" }, BootId { "b" }, "a:1" } }, GroupPhase::Serving };
}

} // namespace

// Guards against fields that the encoder or the decoder omits.
TEST_CASE("Placement messages are unchanged after encoding and decoding", "[codec]")
{
    const HomeDigest digest { 1, 2, 3, 4, 5, { { ModelName { "m" }, 6, 7 } } };
    for (const Message& message : { Message { LeaseRequest { VmId { "v" }, BootId { "b" }, FencingNumber { 1 }, -5 } },
             Message {
                 LeaseReply { BootId { "b" }, FencingNumber { 1 }, 2, true, FencingNumber { 3 }, VmId { "w" }, 4 } },
             Message { LeaseRelease { BootId { "b" }, FencingNumber { 1 } } },
             Message { ServerReport { true, { server() }, { ServerId { "t" } }, digest } }, Message { ServerReport {} },
             Message { ReportRequest { FencingNumber { 2 } } },
             Message { GroupUpdate { FencingNumber { 3 }, true, { group() }, { GroupId { 7 } } } } }) {
        wire::Buffer buf;
        wire::placement::encode(message, buf);
        const auto decoded = wire::placement::decode(buf);
        REQUIRE(decoded.has_value());
        CHECK(decoded.value() == message);
    }
}

// Guards against a crash of the scheduler, which reads the first member of a serving group without a check.
TEST_CASE("A placement message with a serving group without members is rejected", "[codec]")
{
    auto forged = group();
    forged.members.clear();
    wire::Buffer buf;
    wire::placement::encode(GroupUpdate { FencingNumber { 3 }, true, { forged }, {} }, buf);
    CHECK(wire::placement::decode(buf).error() == wire::DecodeError::Malformed);
    CHECK(wire::placement::decode(std::span(buf).first(10)).error() == wire::DecodeError::Malformed);
}
