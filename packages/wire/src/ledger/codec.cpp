#include <rosemarymill/wire/ledger/codec.hpp>

#include <rosemarymill/core/base/sink.hpp>
#include <rosemarymill/wire/generated/ledger_generated.hpp>

#include <memory>
#include <optional>

#include <boost/outcome/try.hpp>

namespace rosemarymill::wire::ledger {

namespace {

namespace core = rosemarymill::ledger;
namespace fb = generated::ledger;

std::unique_ptr<fb::KeyT> pack(const core::Key& it)
{
    auto packed = std::make_unique<fb::KeyT>();
    packed->account = it.account.text();
    packed->text = it.text;
    return packed;
}

std::unique_ptr<fb::TokenT> pack(const core::Token& it)
{
    auto packed = std::make_unique<fb::TokenT>();
    packed->vm = it.vm.text();
    packed->boot = it.boot.text();
    packed->number = it.number;
    return packed;
}

std::unique_ptr<fb::AnswerT> pack(const core::Answer& it)
{
    auto packed = std::make_unique<fb::AnswerT>();
    packed->status = it.status;
    packed->content_type = it.contentType;
    packed->body = it.body;
    return packed;
}

core::Key unpack(const fb::KeyT& it) { return { AccountId { it.account }, it.text }; }
core::Token unpack(const fb::TokenT& it) { return { VmId { it.vm }, BootId { it.boot }, it.number }; }
core::Answer unpack(const fb::AnswerT& it) { return { it.status, it.content_type, it.body }; }

template <typename It> void packKeyed(fb::CommandT& packed, fb::Action action, const It& it)
{
    packed.action = action;
    packed.key = pack(it.key);
    packed.token = pack(it.token);
}

fb::CommandT pack(const core::Command& command)
{
    fb::CommandT packed;
    std::visit(Overloaded {
                   [&](const core::Reserve& it) {
                       packKeyed(packed, fb::Action::Reserve, it);
                       packed.fingerprint_high = it.fingerprint.high;
                       packed.fingerprint_low = it.fingerprint.low;
                   },
                   [&](const core::Complete& it) {
                       packKeyed(packed, fb::Action::Complete, it);
                       packed.answer = pack(it.answer);
                   },
                   [&](const core::Abort& it) { packKeyed(packed, fb::Action::Abort, it); },
                   [&](const core::Lose& it) { packKeyed(packed, fb::Action::Lose, it); },
                   [&](const core::Advance& it) {
                       packed.action = fb::Action::Advance;
                       packed.seconds = it.seconds;
                   },
               },
        command);
    return packed;
}

std::optional<core::Command> unpack(const fb::CommandT& it)
{
    if (it.action == fb::Action::Advance)
        return core::Advance { it.seconds };
    if (!it.key || !it.token)
        return std::nullopt;
    const auto key = unpack(*it.key);
    const auto token = unpack(*it.token);
    switch (it.action) {
    case fb::Action::Reserve:
        return core::Reserve { key, { it.fingerprint_high, it.fingerprint_low }, token };
    case fb::Action::Complete:
        return it.answer ? std::optional<core::Command>(core::Complete { key, token, unpack(*it.answer) })
                         : std::nullopt;
    case fb::Action::Abort:
        return core::Abort { key, token };
    case fb::Action::Lose:
        return core::Lose { key, token };
    case fb::Action::Advance:
        break;
    }
    return std::nullopt;
}

fb::MessageT pack(const core::Message& message)
{
    fb::MessageT packed;
    std::visit([&](const auto& it) { packed.home = it.home.text(); }, message);
    std::visit(Overloaded {
                   [&](const core::Request& it) {
                       packed.kind = fb::MessageKind::Request;
                       packed.command = std::make_unique<fb::CommandT>(pack(it.command));
                   },
                   [&](const core::Reply& it) {
                       packed.kind = fb::MessageKind::Reply;
                       packed.token = pack(it.token);
                       packed.decision = static_cast<std::uint8_t>(it.outcome.decision);
                       if (it.outcome.answer)
                           packed.answer = pack(*it.outcome.answer);
                   },
                   [&](const core::NotLeader& it) {
                       packed.kind = fb::MessageKind::NotLeader;
                       packed.token = pack(it.token);
                       packed.leader = it.leader.text();
                   },
                   [&](const core::Check& it) {
                       packed.kind = fb::MessageKind::Check;
                       packed.key = pack(it.key);
                       packed.token = pack(it.token);
                   },
               },
        message);
    return packed;
}

std::optional<core::Message> unpackRequest(const fb::MessageT& it)
{
    if (!it.command)
        return std::nullopt;
    auto command = unpack(*it.command);
    if (!command)
        return std::nullopt;
    return core::Request { DataCentreId { it.home }, std::move(*command) };
}

std::optional<core::Message> unpackReply(const fb::MessageT& it)
{
    if (it.decision > static_cast<std::uint8_t>(core::Decision::NotHeld))
        return std::nullopt;
    core::Outcome outcome { static_cast<core::Decision>(it.decision), std::nullopt };
    if (it.answer)
        outcome.answer = unpack(*it.answer);
    return core::Reply { DataCentreId { it.home }, unpack(*it.token), std::move(outcome) };
}

std::optional<core::Message> unpack(const fb::MessageT& it)
{
    if (it.kind == fb::MessageKind::Request)
        return unpackRequest(it);
    if (!it.token)
        return std::nullopt;
    switch (it.kind) {
    case fb::MessageKind::Reply:
        return unpackReply(it);
    case fb::MessageKind::NotLeader:
        return core::NotLeader { DataCentreId { it.home }, unpack(*it.token), VmId { it.leader } };
    case fb::MessageKind::Check:
        if (it.key)
            return core::Check { DataCentreId { it.home }, unpack(*it.key), unpack(*it.token) };
        break;
    case fb::MessageKind::Request:
        break;
    }
    return std::nullopt;
}

std::unique_ptr<fb::RecordT> pack(const core::Key& key, const core::Record& record)
{
    auto packed = std::make_unique<fb::RecordT>();
    packed->key = pack(key);
    packed->state = static_cast<std::uint8_t>(record.state);
    packed->fingerprint_high = record.fingerprint.high;
    packed->fingerprint_low = record.fingerprint.low;
    packed->token = pack(record.token);
    packed->answer = pack(record.answer);
    packed->body_dropped = record.bodyDropped;
    packed->changed_at = record.changedAt;
    return packed;
}

bool isValid(const fb::RecordT& it)
{
    return it.key && it.token && it.answer && it.state <= static_cast<std::uint8_t>(core::KeyState::Unknown);
}

} // namespace

void encode(const core::Message& message, Buffer& buf) { packTable(pack(message), buf); }

Result<core::Message> decode(std::span<const std::byte> payload)
{
    BOOST_OUTCOME_TRY(packed, unpackTable<fb::MessageT>(payload));
    auto message = unpack(packed);
    if (!message)
        return DecodeError::Malformed;
    return std::move(*message);
}

void Codec::encodeCommand(const Command& command, Buffer& buf) { packTable(pack(command), buf); }

void Codec::encodeSnapshot(const Snapshot& snapshot, Buffer& buf)
{
    fb::SnapshotT packed;
    packed.now = snapshot.now;
    for (const auto& [key, record] : snapshot.records)
        packed.records.push_back(pack(key, record));
    packTable(packed, buf);
}

Result<Codec::Command> Codec::decodeCommand(std::span<const std::byte> payload)
{
    BOOST_OUTCOME_TRY(packed, unpackTable<fb::CommandT>(payload));
    auto command = unpack(packed);
    if (!command)
        return DecodeError::Malformed;
    return std::move(*command);
}

Result<Codec::Snapshot> Codec::decodeSnapshot(std::span<const std::byte> payload)
{
    BOOST_OUTCOME_TRY(packed, unpackTable<fb::SnapshotT>(payload));
    Snapshot snapshot;
    snapshot.now = packed.now;
    for (const auto& it : packed.records) {
        if (!isValid(*it))
            return DecodeError::Malformed;
        core::Record record { static_cast<core::KeyState>(it->state), { it->fingerprint_high, it->fingerprint_low },
            unpack(*it->token), unpack(*it->answer), it->body_dropped, it->changed_at };
        snapshot.records.emplace(unpack(*it->key), std::move(record));
    }
    return snapshot;
}

} // namespace rosemarymill::wire::ledger
