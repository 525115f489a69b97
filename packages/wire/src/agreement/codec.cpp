#include <rosemarymill/wire/agreement/codec.hpp>

#include <rosemarymill/core/base/sink.hpp>
#include <rosemarymill/wire/generated/agreement_generated.hpp>

#include <memory>

namespace rosemarymill::wire::agreement {

namespace {

namespace core = rosemarymill::agreement;
namespace fb = generated::agreement;

std::vector<std::uint8_t> bytesOf(const Buffer& buf)
{
    const auto* data = reinterpret_cast<const std::uint8_t*>(buf.data());
    return { data, data + buf.size() };
}

Buffer bufferOf(const std::vector<std::uint8_t>& bytes)
{
    const auto* data = reinterpret_cast<const std::byte*>(bytes.data());
    return { data, data + bytes.size() };
}

std::vector<std::string> pack(const std::vector<VmId>& voters)
{
    std::vector<std::string> packed;
    packed.reserve(voters.size());
    for (const auto& it : voters)
        packed.push_back(it.text());
    return packed;
}

std::vector<VmId> unpack(const std::vector<std::string>& packed) { return { packed.begin(), packed.end() }; }

std::vector<std::unique_ptr<fb::EntryT>> pack(const std::vector<RawEntry>& entries)
{
    std::vector<std::unique_ptr<fb::EntryT>> packed;
    for (const auto& it : entries) {
        auto& entry = *packed.emplace_back(std::make_unique<fb::EntryT>());
        entry.index = it.index;
        entry.term = it.term;
        entry.has_command = it.command.has_value();
        if (it.command)
            entry.command = bytesOf(*it.command);
        entry.voters = pack(it.voters);
    }
    return packed;
}

std::vector<RawEntry> unpack(const std::vector<std::unique_ptr<fb::EntryT>>& packed)
{
    std::vector<RawEntry> entries;
    for (const auto& it : packed) {
        auto& entry = entries.emplace_back(RawEntry { it->index, it->term, std::nullopt, unpack(it->voters) });
        if (it->has_command)
            entry.command = bufferOf(it->command);
    }
    return entries;
}

std::unique_ptr<fb::SnapshotT> pack(const RawSnapshot& snapshot)
{
    auto packed = std::make_unique<fb::SnapshotT>();
    packed->index = snapshot.index;
    packed->term = snapshot.term;
    packed->state = bytesOf(snapshot.state);
    packed->voters = pack(snapshot.voters);
    return packed;
}

RawSnapshot unpack(const fb::SnapshotT& packed)
{
    return { packed.index, packed.term, bufferOf(packed.state), unpack(packed.voters) };
}

void packBody(const core::VoteRequest& it, fb::BodyUnion& body)
{
    fb::VoteRequestT packed;
    packed.term = it.term;
    packed.last_index = it.lastIndex;
    packed.last_term = it.lastTerm;
    packed.preliminary = it.preliminary;
    body.Set(fb::VoteRequestT { packed });
}

void packBody(const core::VoteReply& it, fb::BodyUnion& body)
{
    fb::VoteReplyT packed;
    packed.term = it.term;
    packed.granted = it.granted;
    packed.preliminary = it.preliminary;
    packed.joined = it.joined;
    body.Set(fb::VoteReplyT { packed });
}

void packBody(const core::Append<Buffer>& it, fb::BodyUnion& body)
{
    fb::AppendT packed;
    packed.term = it.term;
    packed.previous_index = it.previousIndex;
    packed.previous_term = it.previousTerm;
    packed.commit = it.commit;
    packed.receiver_incarnation = it.receiverIncarnation;
    packed.entries = pack(it.entries);
    body.Set(std::move(packed));
}

void packBody(const core::AppendReply& it, fb::BodyUnion& body)
{
    fb::AppendReplyT packed;
    packed.term = it.term;
    packed.accepted = it.accepted;
    packed.match = it.match;
    packed.sync_time = it.syncTime.count();
    body.Set(fb::AppendReplyT { packed });
}

void packBody(const core::InstallSnapshot<Buffer>& it, fb::BodyUnion& body)
{
    fb::InstallSnapshotT packed;
    packed.term = it.term;
    packed.snapshot = pack(it.snapshot);
    body.Set(std::move(packed));
}

void packBody(const core::OutdatedIncarnation& it, fb::BodyUnion& body)
{
    fb::OutdatedIncarnationT packed;
    packed.seen = it.seen;
    body.Set(fb::OutdatedIncarnationT { packed });
}

void packBody(const core::TakeLead& it, fb::BodyUnion& body)
{
    fb::TakeLeadT packed;
    packed.term = it.term;
    body.Set(fb::TakeLeadT { packed });
}

std::optional<core::Body<Buffer, Buffer>> unpackBody(const fb::BodyUnion& body)
{
    if (const auto* it = body.AsVoteRequest())
        return core::VoteRequest { it->term, it->last_index, it->last_term, it->preliminary };
    if (const auto* it = body.AsVoteReply())
        return core::VoteReply { it->term, it->granted, it->preliminary, it->joined };
    if (const auto* it = body.AsAppend())
        return core::Append<Buffer> { it->term, it->previous_index, it->previous_term, it->commit,
            it->receiver_incarnation, unpack(it->entries) };
    if (const auto* it = body.AsAppendReply())
        return core::AppendReply { it->term, it->accepted, it->match, Duration { it->sync_time } };
    if (const auto* it = body.AsInstallSnapshot())
        return core::InstallSnapshot<Buffer> { it->term, unpack(*it->snapshot) };
    if (const auto* it = body.AsOutdatedIncarnation())
        return core::OutdatedIncarnation { it->seen };
    if (const auto* it = body.AsTakeLead())
        return core::TakeLead { it->term };
    return std::nullopt;
}

} // namespace

void encode(const LogMessage& message, Buffer& buf)
{
    fb::MessageT packed;
    packed.log = message.log.text();
    packed.incarnation = message.message.incarnation;
    std::visit([&](const auto& it) { packBody(it, packed.body); }, message.message.body);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(fb::Message::Pack(builder, &packed));
    appendTable(builder, buf);
}

Result<LogMessage> decode(std::span<const std::byte> payload)
{
    const auto* table = verifiedTable<fb::Message>(payload);
    if (!table)
        return DecodeError::Malformed;
    fb::MessageT packed;
    table->UnPackTo(&packed);
    auto body = unpackBody(packed.body);
    if (!body)
        return DecodeError::Malformed;
    return LogMessage { LogId { packed.log }, { packed.incarnation, std::move(*body) } };
}

void encode(const RawRecord& record, Buffer& buf)
{
    fb::RecordT packed;
    packed.hard = std::make_unique<fb::HardStateT>();
    packed.hard->term = record.hard.term;
    packed.hard->vote = record.hard.vote.text();
    packed.hard->commit = record.hard.commit;
    packed.hard->incarnation = record.hard.incarnation;
    packed.hard->joined = record.hard.joined;
    if (record.snapshot)
        packed.snapshot = pack(*record.snapshot);
    packed.truncates = record.truncateFrom.has_value();
    packed.truncate_from = record.truncateFrom.value_or(0);
    packed.entries = pack(record.entries);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(fb::Record::Pack(builder, &packed));
    appendTable(builder, buf);
}

Result<RawRecord> decodeRecord(std::span<const std::byte> payload)
{
    const auto* table = verifiedTable<fb::Record>(payload);
    if (!table)
        return DecodeError::Malformed;
    fb::RecordT packed;
    table->UnPackTo(&packed);
    const auto& hard = *packed.hard;
    RawRecord record;
    record.hard = { hard.term, VmId { hard.vote }, hard.commit, hard.incarnation, hard.joined };
    if (packed.snapshot)
        record.snapshot = unpack(*packed.snapshot);
    if (packed.truncates)
        record.truncateFrom = packed.truncate_from;
    record.entries = unpack(packed.entries);
    return record;
}

} // namespace rosemarymill::wire::agreement
