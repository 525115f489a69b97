#include <rosemarymill/wire/configuration/codec.hpp>

#include "pack.hpp"

#include <boost/outcome/try.hpp>

namespace rosemarymill::wire::configuration {

namespace {

using namespace detail;

fb::PushT packMessage(const core::Push& it)
{
    fb::PushT packed;
    packed.from = it.from.value;
    packed.to = it.to.value;
    packed.changes = packAll(it.changes);
    packed.standing = static_cast<std::uint8_t>(it.senderReadiness);
    packed.relay = it.relay;
    return packed;
}

fb::PullT packMessage(const core::Pull& it)
{
    fb::PullT packed;
    packed.have = it.have.value;
    return packed;
}

fb::SubmitT packMessage(const core::Submit& it)
{
    fb::SubmitT packed;
    packed.request = it.request;
    packed.command = std::make_unique<fb::CommandT>(pack(it.command));
    packed.hops = it.hops;
    return packed;
}

fb::ReplyT packMessage(const core::Reply& it)
{
    fb::ReplyT packed;
    packed.request = it.request;
    packed.answer = std::make_unique<fb::AnswerT>();
    packed.answer->submission_id = it.answer.submissionId;
    packed.answer->result = static_cast<std::uint8_t>(it.answer.result);
    packed.answer->revision = it.answer.revision.value;
    packed.answer->current = it.answer.current.value;
    packed.answer->detail = it.answer.detail;
    return packed;
}

Result<core::Message> unpackMessage(const fb::PushT& it)
{
    if (it.standing > static_cast<std::uint8_t>(core::SenderReadiness::Quorum))
        return DecodeError::Malformed;
    return core::Push { Revision { it.from }, Revision { it.to }, unpackAll(it.changes),
        static_cast<core::SenderReadiness>(it.standing), it.relay };
}

Result<core::Message> unpackMessage(const fb::SubmitT& it)
{
    auto command = unpack(*it.command);
    if (!command)
        return DecodeError::Malformed;
    return core::Submit { it.request, std::move(*command), it.hops };
}

Result<core::Message> unpackMessage(const fb::ReplyT& it)
{
    const auto& answer = *it.answer;
    if (answer.result > static_cast<std::uint8_t>(core::Result::NotAccepted))
        return DecodeError::Malformed;
    return core::Reply { it.request,
        { answer.submission_id, static_cast<core::Result>(answer.result), Revision { answer.revision },
            Revision { answer.current }, answer.detail } };
}

} // namespace

void encode(const core::Message& message, Buffer& buf)
{
    fb::MessageT packed;
    std::visit([&](const auto& it) { packed.message.Set(packMessage(it)); }, message);
    packTable(packed, buf);
}

Result<core::Message> decode(std::span<const std::byte> payload)
{
    BOOST_OUTCOME_TRY(packed, unpackTable<fb::MessageT>(payload));
    if (const auto* push = packed.message.AsPush())
        return unpackMessage(*push);
    if (const auto* pull = packed.message.AsPull())
        return core::Message { core::Pull { Revision { pull->have } } };
    if (const auto* submit = packed.message.AsSubmit())
        return unpackMessage(*submit);
    if (const auto* reply = packed.message.AsReply())
        return unpackMessage(*reply);
    return DecodeError::Malformed;
}

void Codec::encodeCommand(const Command& command, Buffer& buf) { packTable(pack(command), buf); }

void Codec::encodeSnapshot(const Snapshot& snapshot, Buffer& buf)
{
    fb::SnapshotT packed;
    packed.revision = snapshot.revision.value;
    packed.entries = packAll(snapshot.entries);
    packed.submissions = packAll(snapshot.submissions);
    packed.cancelled = packAll(snapshot.cancelled);
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
    return Snapshot { Revision { packed.revision }, unpackAll(packed.entries), unpackAll(packed.submissions),
        unpackAll(packed.cancelled) };
}

} // namespace rosemarymill::wire::configuration
