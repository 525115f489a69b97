#include <rosemarymill/wire/fleet/codec.hpp>

#include <rosemarymill/wire/frame/frame.hpp>
#include <rosemarymill/wire/generated/fleet_generated.hpp>

#include <catch2/catch.hpp>

#include <limits>

#include <charconv>
#include <string_view>

using namespace rosemarymill;
using wire::fleet::Codec;

namespace {

template <typename Message> Message roundTrip(const Message& message)
{
    wire::Buffer buf;
    wire::fleet::encode(message, buf);
    const auto decoded = wire::fleet::decode(buf);
    REQUIRE(decoded);
    return std::get<Message>(decoded.value());
}

template <typename Command> Command roundTripCommand(const Command& command)
{
    wire::Buffer buf;
    Codec::encodeCommand(command, buf);
    const auto decoded = Codec::decodeCommand(buf);
    REQUIRE(decoded);
    return std::get<Command>(decoded.value());
}

/// Decodes hexadecimal digits.
wire::Buffer bytesOf(std::string_view digits)
{
    wire::Buffer buf;
    for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
        unsigned value = 0;
        std::from_chars(digits.data() + i, digits.data() + i + 2, value, 16);
        buf.push_back(static_cast<std::byte>(value));
    }
    return buf;
}

} // namespace

TEST_CASE("messages between entry and control VMs are unchanged after encoding and decoding", "[fleet]")
{
    const auto members = roundTrip(fleet::Members { "10.0.0.1:1", 3, { "a", "b" }, { "a" }, { "one", "two" } });
    CHECK(members.leader == "10.0.0.1:1");
    CHECK(members.term == 3);
    CHECK(members.controls.size() == 2);
    CHECK(members.voters.size() == 1);
    CHECK(members.entryVms == std::vector<std::string> { "one", "two" });

    fleet::TargetsPush push;
    push.delta.full = true;
    push.delta.upserts = { { ServerId { "s" }, "10.0.0.2:1", ServiceName { "llm" }, DataCentreId { "z" },
        ModelName { "m" }, 26, 1500ms } };
    push.delta.withdrawn = { ServerId { "w" } };
    push.delta.lost = { ServerId { "l" } };
    const auto targets = roundTrip(push).delta;
    CHECK(targets.full);
    CHECK(targets.upserts == push.delta.upserts);
    CHECK(targets.withdrawn == push.delta.withdrawn);
    CHECK(targets.lost == push.delta.lost);

    const auto report
        = roundTrip(fleet::Report { { { ServerId { "s" }, 4 } }, { ServerId { "p" } }, { ServerId { "q" } }, true, 9 });
    CHECK(report.loads.front().requests == 4);
    CHECK(report.progressed.front() == ServerId { "p" });
    CHECK(report.stalled.front() == ServerId { "q" });
    CHECK(report.traffic);
    CHECK(report.documentVersion == 9);

    const fleet::DocumentPart part { 4, 5, 1, 3, { std::byte { 0 }, std::byte { 0xff }, std::byte { '{' } } };
    CHECK(roundTrip(part) == part);
    CHECK(roundTrip(fleet::DocumentInForce { 8 }).version == 8);
    const auto loads = roundTrip(fleet::LoadsPush { { { ServerId { "s" }, 2, 1460 } } }).loads;
    REQUIRE(loads.size() == 1);
    CHECK(loads.front().promptTokens == 1460);
    CHECK(roundTrip(fleet::Subscribe { "a", true, 4 }).control);
    const auto subscribe = roundTrip(fleet::Subscribe { "a", false, 4, true, true });
    CHECK_FALSE(subscribe.control);
    CHECK(subscribe.gateway);
    CHECK(subscribe.mayBootstrap);
    const quarantine::CrashReport crash { quarantine::ReportKind::Unanswered, { ServerId { "s" }, BootId { "1" } },
        { { 1, 2 }, { 3, 4 } } };
    const quarantine::CrashReport cleared { quarantine::ReportKind::Cleared, {}, { { 1, 2 } } };
    const quarantine::CrashReport parts { quarantine::ReportKind::Crashed, { ServerId { "s" }, BootId { "1" } }, {},
        { { { 5, 6 }, 7, 300ms, 1 } }, 2s };
    const auto suspected
        = quarantine::partReport(quarantine::ReportKind::PartSuspected, std::vector { Fingerprint { 5, 6 } });
    const std::vector reports { crash, cleared, parts, suspected };
    CHECK(roundTrip(fleet::CrashReports { reports }).reports == reports);
    roundTrip(fleet::Bootstrap {});
    roundTrip(fleet::Alive {});
}

TEST_CASE("crash reports of a kind that this version does not know are skipped, and their times are limited", "[fleet]")
{
    namespace fb = wire::generated::fleet;
    namespace fbq = wire::generated::quarantine;
    fb::CrashReportsT packed;
    for (const auto kind : { static_cast<fbq::ReportKind>(200), fbq::ReportKind::Cleared }) {
        packed.reports.push_back(std::make_unique<fbq::CrashReportT>());
        packed.reports.back()->kind = kind;
    }
    packed.reports.back()->age_us = std::numeric_limits<std::int64_t>::max();
    fb::MessageT message;
    message.message.Set(std::move(packed));
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(fb::Message::Pack(builder, &message));
    const auto decoded
        = wire::fleet::decode(std::as_bytes(std::span { builder.GetBufferPointer(), builder.GetSize() }));
    const auto& reports = std::get<fleet::CrashReports>(decoded.value()).reports;
    REQUIRE(reports.size() == 1);
    CHECK(reports.front().kind == quarantine::ReportKind::Cleared);
    CHECK(reports.front().age == quarantine::recordRetention);
}

TEST_CASE("forwarded calls and their answers are unchanged after encoding and decoding", "[fleet]")
{
    const fleet::CallOffer offer { 7, 900 };
    CHECK(roundTrip(offer) == offer);
    CHECK(roundTrip(fleet::CallTicket { 7 }).id == 7);
    const fleet::ForwardedCall call { 7, { "PUT", "/a", std::string("\0\xff", 2) } };
    CHECK(roundTrip(call) == call);
    const fleet::ForwardedAnswer answer { 7, { 200, "{}" } };
    CHECK(roundTrip(answer) == answer);
}

TEST_CASE("commands and snapshots of the control log are unchanged after encoding and decoding", "[fleet]")
{
    const fleet::StoreDocument store { "s1", 7, "{}" };
    CHECK(roundTripCommand(store) == store);
    const fleet::SetOutOfService leave { "s2", DataCentreId { "z" }, true };
    CHECK(roundTripCommand(leave) == leave);
    CHECK(roundTripCommand(fleet::Barrier { "s3" }) == fleet::Barrier { "s3" });
    const fleet::StoreCrashes crashes { "s4",
        { { quarantine::ReportKind::Crashed, { ServerId { "s" }, BootId { "1" } }, { { 1, 2 } } } } };
    CHECK(roundTripCommand(crashes) == crashes);
    const fleet::StoreCrashes parts { "s5",
        { quarantine::partReport(quarantine::ReportKind::PartRefused, std::vector { Fingerprint { 5, 6 } }) } };
    CHECK(roundTripCommand(parts) == parts);
    const fleet::GroupRecord group { "g7", 7, ServiceName { "llm" }, ModelName { "m" },
        { { ServerId { "a" }, 1'700'000'000'000, 5 }, { ServerId { "b" }, 1'700'000'000'001, 9 } }, true };
    const fleet::StoreGroup storeGroup { "s6", group };
    CHECK(roundTripCommand(storeGroup) == storeGroup);
    const fleet::EraseGroup eraseGroup { "s7", "g7", 7 };
    CHECK(roundTripCommand(eraseGroup) == eraseGroup);
    const fleet::StoreDeparture departure { "s8", { ServerId { "a" }, 1'700'000'000'000 } };
    CHECK(roundTripCommand(departure) == departure);

    fleet::Snapshot snapshot { 7, "{}", { DataCentreId { "y" }, DataCentreId { "z" } } };
    const quarantine::Crash first { ServerId { "a" }, BootId { "1" } };
    const quarantine::Crash second { ServerId { "a" }, BootId { "2" } };
    snapshot.crashes = { { { 9, 9 }, { second } }, { { 1, 2 }, { first, second } } };
    snapshot.refusedParts = { { { 5, 6 }, 1 }, { { 7, 8 } } };
    snapshot.groups = { group };
    snapshot.departures.add({ ServerId { "b" }, 2 });
    snapshot.departures.add({ ServerId { "a" }, 1 });
    wire::Buffer buf;
    Codec::encodeSnapshot(snapshot, buf);
    CHECK(Codec::decodeSnapshot(buf).value() == snapshot);
    CHECK(Codec::decodeSnapshot({}).error() == wire::DecodeError::Malformed);
}

TEST_CASE("stored documents keep the encoding of their bytes", "[fleet]")
{
    const fleet::StoreDocument store { "s1", 7, "{}", fleet::Encoding::Zstd };
    CHECK(roundTripCommand(store) == store);
    const fleet::Snapshot snapshot { 7, "{}", {}, fleet::Encoding::Zstd };
    wire::Buffer buf;
    Codec::encodeSnapshot(snapshot, buf);
    CHECK(Codec::decodeSnapshot(buf).value() == snapshot);
}

TEST_CASE("documents stored without an encoding are decoded as plain", "[fleet]")
{
    // Encoded by the codec of commit 648d7d3, which did not store an encoding.
    const auto command = bytesOf("0c00000008000e000700080008000000000000011000000000000a00140004000c0008000a0000001800"
                                 "00000c0000000700000000000000020000007b7d00000200000073310000");
    CHECK(std::get<fleet::StoreDocument>(Codec::decodeCommand(command).value())
        == fleet::StoreDocument { "s1", 7, "{}", fleet::Encoding::Plain });
    const auto snapshot
        = bytesOf("0c00000008000c0004000800080000003000000004000000010000000c000000000006000800040006000000"
                  "04000000010000007a0000000800100008000400080000000c0000000700000000000000020000007b7d0000");
    CHECK(Codec::decodeSnapshot(snapshot).value()
        == fleet::Snapshot { 7, "{}", { DataCentreId { "z" } }, fleet::Encoding::Plain });
}

TEST_CASE("a document with an unknown encoding is rejected", "[fleet]")
{
    wire::Buffer buf;
    Codec::encodeCommand(fleet::StoreDocument { "s1", 7, "{}", fleet::Encoding { 2 } }, buf);
    CHECK(Codec::decodeCommand(buf).error() == wire::DecodeError::UnexpectedKind);
    buf.clear();
    Codec::encodeSnapshot(fleet::Snapshot { 7, "{}", {}, fleet::Encoding { 2 } }, buf);
    CHECK(Codec::decodeSnapshot(buf).error() == wire::DecodeError::UnexpectedKind);
}

TEST_CASE("a stored group without members is rejected", "[fleet]")
{
    wire::Buffer buf;
    Codec::encodeCommand(fleet::StoreGroup { "s1", { "g1", 1, {}, {}, {}, false } }, buf);
    CHECK(Codec::decodeCommand(buf).error() == wire::DecodeError::UnexpectedKind);
}

TEST_CASE("a snapshot with the largest document, all groups and all departures fits into a frame", "[fleet]")
{
    fleet::Snapshot snapshot { 7, std::string(fleet::maxStoredDocumentBytes, 'x'), {} };
    for (std::uint64_t epoch = 1; epoch <= 1000; ++epoch) {
        fleet::GroupRecord group { "g" + std::to_string(epoch), epoch, ServiceName { "s" }, ModelName { "m" }, {} };
        for (std::uint64_t member = 0; member < 12; ++member)
            group.members.push_back({ ServerId { std::to_string(epoch) + '/' + std::to_string(member) }, 1, 1 });
        static_cast<void>(store(snapshot.groups, group));
    }
    CHECK(snapshot.groups.size() < 1000);
    constexpr std::int64_t departures = 10'000;
    for (std::int64_t it = 1; it <= departures; ++it)
        snapshot.departures.add({ ServerId { std::to_string(it) }, it });
    CHECK(snapshot.departures.entries().size() < departures);
    wire::Buffer buf;
    Codec::encodeSnapshot(snapshot, buf);
    CHECK(buf.size() <= wire::maxFramePayloadBytes - 32 * 1024);
}

TEST_CASE("truncated and empty control messages are rejected", "[fleet]")
{
    wire::Buffer buf;
    wire::fleet::encode(fleet::Members { "leader", 1, {}, {}, { "one", "two" } }, buf);
    buf.resize(buf.size() / 2);
    CHECK_FALSE(wire::fleet::decode(buf));
    CHECK_FALSE(wire::fleet::decode({}));
}
