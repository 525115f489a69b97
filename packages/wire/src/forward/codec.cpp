#include <rosemarymill/wire/forward/codec.hpp>

#include <rosemarymill/core/base/sink.hpp>
#include <rosemarymill/wire/generated/forward_generated.hpp>

#include <utility>

namespace rosemarymill::wire::forward {

namespace {

namespace fb = generated::forward;
using Builder = flatbuffers::FlatBufferBuilder;
using Packed = std::pair<fb::Body, flatbuffers::Offset<void>>;

auto bytesOf(Builder& builder, const std::string& text)
{
    return builder.CreateVector(reinterpret_cast<const std::uint8_t*>(text.data()), text.size());
}

std::string textOfBytes(const flatbuffers::Vector<std::uint8_t>* field)
{
    return field ? std::string(reinterpret_cast<const char*>(field->data()), field->size()) : std::string {};
}

flatbuffers::Offset<fb::Request> pack(Builder& builder, const call::Request& it)
{
    const auto text = [&](const std::string& value) { return builder.CreateString(value); };
    const auto digest = text(it.tokenDigest);
    const auto model = text(it.model.text());
    const auto adapter = text(it.adapter);
    const auto version = text(it.version);
    const auto service = text(it.service.text());
    const auto method = text(it.method);
    const auto path = text(it.path);
    const auto kind = text(it.kind);
    const auto key = text(it.idempotencyKey);
    const auto hashes = builder.CreateVector(it.prefixHashes);
    const auto traceparent = text(it.traceparent);
    return fb::CreateRequest(builder, digest, static_cast<std::uint8_t>(it.target), model, adapter, version, service,
        method, path, kind, key, it.fingerprint.high, it.fingerprint.low, hashes, it.promptTokens, it.maxOutputTokens,
        it.bodyBytes, it.stream, it.deadline.count(), traceparent);
}

Packed pack(Builder& builder, const Open& it)
{
    const auto address = builder.CreateString(it.replyAddress);
    const auto request = pack(builder, it.request);
    const auto target = builder.CreateString(it.httpTarget);
    const auto type = builder.CreateString(it.contentType);
    const auto accept = builder.CreateString(it.accept);
    const auto body = bytesOf(builder, it.body);
    return { fb::Body::Open,
        fb::CreateOpen(
            builder, it.attempt.value, address, it.resumeFrom, request, it.httpMethod, target, type, accept, body)
            .Union() };
}

Packed pack(Builder& builder, const Cancel& it)
{
    return { fb::Body::Cancel, fb::CreateCancel(builder, it.attempt.value).Union() };
}

Packed pack(Builder& builder, const Flow& it)
{
    return { fb::Body::Flow, fb::CreateFlow(builder, it.attempt.value, it.reading).Union() };
}

Packed pack(Builder& builder, const Check& it)
{
    std::vector<std::uint64_t> attempts;
    attempts.reserve(it.attempts.size());
    for (const auto& attempt : it.attempts)
        attempts.push_back(attempt.value);
    return { fb::Body::Check, fb::CreateCheckDirect(builder, it.replyAddress.c_str(), &attempts).Union() };
}

Packed pack(Builder& builder, const Alive&) { return { fb::Body::Alive, fb::CreateAlive(builder).Union() }; }

Packed pack(Builder& builder, const Head& it)
{
    return { fb::Body::Head,
        fb::CreateHeadDirect(builder, it.attempt.value, it.status, it.stream, it.contentType.c_str()).Union() };
}

Packed pack(Builder& builder, const Chunk& it)
{
    const auto bytes = bytesOf(builder, it.bytes);
    return { fb::Body::Chunk, fb::CreateChunk(builder, it.attempt.value, it.index, bytes).Union() };
}

Packed pack(Builder& builder, const Close& it)
{
    const auto body = bytesOf(builder, it.body);
    return { fb::Body::Close, fb::CreateClose(builder, it.attempt.value, it.complete, it.mayHaveRun, body).Union() };
}

call::Request unpack(const fb::Request& it)
{
    call::Request request;
    request.tokenDigest = textOf(it.token_digest());
    request.target = it.target() == 0 ? call::Target::Model : call::Target::Service;
    request.model = ModelName { textOf(it.model()) };
    request.adapter = textOf(it.adapter());
    request.version = textOf(it.version());
    request.service = ServiceName { textOf(it.service()) };
    request.method = textOf(it.method());
    request.path = textOf(it.path());
    request.kind = textOf(it.kind());
    request.idempotencyKey = textOf(it.idempotency_key());
    request.fingerprint = { it.fingerprint_high(), it.fingerprint_low() };
    if (const auto* hashes = it.prefix_hashes())
        request.prefixHashes.assign(hashes->begin(), hashes->end());
    request.promptTokens = it.prompt_tokens();
    request.maxOutputTokens = it.max_output_tokens();
    request.bodyBytes = it.body_bytes();
    request.stream = it.stream();
    request.deadline = Duration { it.deadline_us() };
    request.traceparent = textOf(it.traceparent());
    request.forwarded = true;
    return request;
}

Open unpack(const fb::Open& it)
{
    return { AttemptId { it.attempt() }, textOf(it.reply_address()), it.resume_from(), unpack(*it.request()),
        it.http_method(), textOf(it.http_target()), textOf(it.content_type()), textOf(it.accept()),
        textOfBytes(it.body()) };
}

Check unpack(const fb::Check& it)
{
    Check check { textOf(it.reply_address()), {} };
    if (const auto* attempts = it.attempts()) {
        for (const auto attempt : *attempts)
            check.attempts.push_back(AttemptId { attempt });
    }
    return check;
}

} // namespace

void encode(const Message& message, Buffer& buf)
{
    Builder builder;
    const auto boot = builder.CreateString(message.originBoot.text());
    const auto [type, body] = std::visit([&](const auto& it) { return pack(builder, it); }, message.body);
    builder.Finish(fb::CreateMessage(builder, boot, type, body));
    appendTable(builder, buf);
}

Result<Message> decode(std::span<const std::byte> payload)
{
    const auto* table = verifiedTable<fb::Message>(payload);
    if (!table)
        return DecodeError::Malformed;
    Message message { BootId { textOf(table->origin_boot()) }, Alive {} };
    switch (table->body_type()) {
    case fb::Body::Open:
        message.body = unpack(*table->body_as_Open());
        return message;
    case fb::Body::Cancel:
        message.body = Cancel { AttemptId { table->body_as_Cancel()->attempt() } };
        return message;
    case fb::Body::Flow:
        message.body = Flow { AttemptId { table->body_as_Flow()->attempt() }, table->body_as_Flow()->reading() };
        return message;
    case fb::Body::Check:
        message.body = unpack(*table->body_as_Check());
        return message;
    case fb::Body::Alive:
        return message;
    case fb::Body::Head: {
        const auto& it = *table->body_as_Head();
        message.body = Head { AttemptId { it.attempt() }, it.status(), it.stream(), textOf(it.content_type()) };
        return message;
    }
    case fb::Body::Chunk: {
        const auto& it = *table->body_as_Chunk();
        message.body = Chunk { AttemptId { it.attempt() }, it.index(), textOfBytes(it.bytes()) };
        return message;
    }
    case fb::Body::Close: {
        const auto& it = *table->body_as_Close();
        message.body = Close { AttemptId { it.attempt() }, it.complete(), it.may_have_run(), textOfBytes(it.body()) };
        return message;
    }
    case fb::Body::NONE:
        break;
    }
    return DecodeError::Malformed;
}

} // namespace rosemarymill::wire::forward
