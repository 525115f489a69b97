#include <rosemarymill/wire/agreement/codec.hpp>
#include <rosemarymill/wire/configuration/codec.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
namespace core = rosemarymill::agreement;
namespace logs = rosemarymill::wire::agreement;
using Codec = wire::configuration::Codec;

namespace {

configuration::SubmitManifest submission()
{
    configuration::SubmitManifest command { "id", "digest", Revision { 7 }, {} };
    auto& manifest = command.manifest;
    manifest.dataCentres = { DataCentreId { "mixco" }, DataCentreId { "antigua" } };
    manifest.ledgerHomes = { DataCentreId { "mixco" } };
    manifest.weightStoreBytesPerSecond = 5;
    manifest.models
        = { { ModelName { "m" }, "1", 8, 9, { { "a", "2" } }, { { DataCentreId { "mixco" }, { 1, 2 } } } } };
    manifest.accounts = { { AccountId { "brand" }, 2.5, { "token" }, { { "draft", 3.0, 4s } } } };
    manifest.services = { { ServiceName { "kits" }, { { "POST", "/orders", false } }, 3 } };
    return command;
}

/// Encodes and decodes a message of the configuration log, and checks that truncated payloads are rejected.
void checkRoundTrip(const core::Message<Codec::Command, Codec::Snapshot>& message)
{
    wire::Buffer buf;
    logs::encode(logs::LogMessage { logs::LogId { "configuration" }, logs::toRaw<Codec>(message) }, buf);
    const auto raw = logs::decode(buf);
    REQUIRE(raw);
    CHECK(raw.value().log == logs::LogId { "configuration" });
    const auto decoded = logs::fromRaw<Codec>(raw.value().message);
    REQUIRE(decoded);
    CHECK(decoded.value() == message);
    for (std::size_t size = 0; size < buf.size(); size += 7)
        CHECK_FALSE(logs::decode(std::span(buf).first(size)));
}

} // namespace

TEST_CASE("Log messages and commands are unchanged after encoding and decoding, and truncated payloads are rejected",
    "[wire][agreement]")
{
    checkRoundTrip({ 1, core::VoteRequest { 2, 3, 4, true } });
    checkRoundTrip({ 1, core::VoteReply { 2, true, false, true } });
    checkRoundTrip({ 1, core::AppendReply { 2, true, 9, 15ms } });
    checkRoundTrip({ 1, core::TakeLead { 2 } });
    checkRoundTrip({ 1, core::OutdatedIncarnation { 5 } });
    core::Append<configuration::Command> append { 1, 2, 3, 4, 5, {} };
    append.entries.push_back({ 3, 1, std::nullopt });
    append.entries.push_back({ 4, 1, submission() });
    append.entries.push_back({ 5, 1,
        configuration::AddTakeOut { "out",
            { { DataCentreId { "mixco" }, BootId { "b" }, 3 }, configuration::TakeOutUnit::DataCentre, "mixco" } } });
    append.entries.push_back(
        { 6, 1, configuration::BringBack { "back", configuration::TakeOutUnit::Vm, "vm", { { {}, {}, 4 } } } });
    checkRoundTrip({ 1, append });
    configuration::Machine machine;
    auto first = submission();
    first.expected.reset();
    machine.apply(1, first);
    machine.apply(2, std::get<configuration::AddTakeOut>(*append.entries[2].command));
    checkRoundTrip({ 1, core::InstallSnapshot<configuration::Snapshot> { 2, { 3, 1, machine.snapshot() } } });
}

TEST_CASE("Configuration messages are unchanged after encoding and decoding", "[wire][configuration]")
{
    configuration::Machine machine;
    auto first = submission();
    first.expected.reset();
    machine.apply(1, first);
    const std::vector<configuration::Message> messages {
        configuration::Push { Revision { 0 }, Revision { 1 }, machine.table().changesSince({}),
            configuration::SenderReadiness::Quorum, true },
        configuration::Pull { Revision { 4 } },
        configuration::Submit { 8, submission(), 1 },
        configuration::Reply { 8, { "id", configuration::Result::Conflict, Revision { 1 }, Revision { 2 }, "why" } },
    };
    for (const auto& message : messages) {
        wire::Buffer buf;
        wire::configuration::encode(message, buf);
        const auto decoded = wire::configuration::decode(buf);
        REQUIRE(decoded);
        CHECK(decoded.value() == message);
    }
}
