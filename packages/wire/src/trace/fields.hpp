#pragma once

#include "archive.hpp"

#include <rosemarymill/core/node/effect.hpp>
#include <rosemarymill/core/node/event.hpp>
#include <rosemarymill/core/node/state.hpp>

#include <concepts>

/// Members of the structs that occur in traces, each listed once for both directions.
namespace rosemarymill::backend {

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, ModelVersion>
void fields(Archive& archive, T& it)
{
    archive("name", it.name);
    archive("version", it.version);
    archive("adapters", it.adapters);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, Load>
void fields(Archive& archive, T& it)
{
    archive("running", it.running);
    archive("queued", it.queued);
    archive("tokens_held", it.tokensHeld);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, GroupMembership>
void fields(Archive& archive, T& it)
{
    archive("id", it.id);
    archive("fencing", it.fencing);
    archive("rank", it.rank);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, CacheEvents>
void fields(Archive& archive, T& it)
{
    archive("sequence", it.sequence);
    archive("added", it.added);
    archive("removed", it.removed);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, Announcement>
void fields(Archive& archive, T& it)
{
    archive("id", it.id);
    archive("boot_id", it.bootId);
    archive("vm", it.vm);
    archive("data_centre", it.dataCentre);
    archive("fabric_domain", it.fabricDomain);
    archive("address", it.address);
    archive("accelerators", it.accelerators);
    archive("kind", it.kind);
    archive("service", it.service);
    archive("models", it.models);
    archive("memory_bytes", it.memoryBytes);
    archive("token_memory", it.tokenMemory);
    archive("max_requests", it.maxRequests);
    archive("cold", it.cold);
    archive("cold_requests", it.coldRequests);
    archive("leaving", it.leaving);
    archive("load", it.load);
    archive("group", it.group);
    archive("fencing_seen", it.fencingSeen);
    archive("checks_fencing", it.checksFencing);
    archive("cache_events", it.cacheEvents);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, Order>
void fields(Archive& archive, T& it)
{
    archive("order_id", it.orderId);
    archive("fencing", it.fencing);
    archive("action", it.action);
    archive("model", it.model);
    archive("version", it.version);
    archive("adapter", it.adapter);
    archive("group", it.group);
    archive("members", it.members);
    archive("rank", it.rank);
}

} // namespace rosemarymill::backend

namespace rosemarymill::call {

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, Request>
void fields(Archive& archive, T& it)
{
    archive("token_digest", it.tokenDigest);
    archive("target", it.target);
    archive("model", it.model);
    archive("adapter", it.adapter);
    archive("version", it.version);
    archive("service", it.service);
    archive("method", it.method);
    archive("path", it.path);
    archive("kind", it.kind);
    archive("idempotency_key", it.idempotencyKey);
    archive("fingerprint", it.fingerprint);
    archive("prefix_hashes", it.prefixHashes);
    archive("prompt_tokens", it.promptTokens);
    archive("max_output_tokens", it.maxOutputTokens);
    archive("body_bytes", it.bodyBytes);
    archive("stream", it.stream);
    archive("deadline", it.deadline);
    archive("traceparent", it.traceparent);
    archive("forwarded", it.forwarded);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, Refusal>
void fields(Archive& archive, T& it)
{
    archive("reason", it.reason);
    archive("outcome", it.outcome);
    archive("retry_after", it.retryAfter);
    archive("detail", it.detail);
}

} // namespace rosemarymill::call

namespace rosemarymill::ledger {

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, Answer>
void fields(Archive& archive, T& it)
{
    archive("status", it.status);
    archive("content_type", it.contentType);
    archive("body", it.body);
}

} // namespace rosemarymill::ledger

namespace rosemarymill::node {

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, PeerSetting>
void fields(Archive& archive, T& it)
{
    archive("vm", it.vm);
    archive("data_centre", it.dataCentre);
    archive("address", it.address);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, Settings>
void fields(Archive& archive, T& it)
{
    archive("vm", it.vm);
    archive("data_centre", it.dataCentre);
    archive("announce_address", it.announceAddress);
    archive("seed", it.seed);
    archive("boot_id", it.bootId);
    archive("peer_address", it.peerAddress);
    archive("peers", it.peers);
    archive("configuration_voters", it.configurationVoters);
    archive("ledger_voters", it.ledgerVoters);
    archive("placement_acceptors", it.placementAcceptors);
    archive("has_disk", it.hasDisk);
    archive("policy", it.policy);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, Started>
void fields(Archive& archive, T& it) { archive("now", it.now); }

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, Tick>
void fields(Archive& archive, T& it) { archive("now", it.now); }

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, AnnouncementReceived>
void fields(Archive& archive, T& it)
{
    archive("now", it.now);
    archive("request", it.request);
    archive("announcement", it.announcement);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, OrderAnswered>
void fields(Archive& archive, T& it)
{
    archive("now", it.now);
    archive("server", it.server);
    archive("order_id", it.orderId);
    archive("accepted", it.accepted);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, CallArrived>
void fields(Archive& archive, T& it)
{
    archive("now", it.now);
    archive("call", it.call);
    archive("request", it.request);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, CallerGone>
void fields(Archive& archive, T& it)
{
    archive("now", it.now);
    archive("call", it.call);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, CallerBacklogChanged>
void fields(Archive& archive, T& it)
{
    archive("now", it.now);
    archive("call", it.call);
    archive("bytes", it.bytes);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, ResponseStarted>
void fields(Archive& archive, T& it)
{
    archive("now", it.now);
    archive("attempt", it.attempt);
    archive("status", it.status);
    archive("stream", it.stream);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, TokenReceived>
void fields(Archive& archive, T& it)
{
    archive("now", it.now);
    archive("attempt", it.attempt);
    archive("index", it.index);
    archive("bytes", it.bytes);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, ResponseFinished>
void fields(Archive& archive, T& it)
{
    archive("now", it.now);
    archive("attempt", it.attempt);
    archive("answer", it.answer);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, AttemptFailed>
void fields(Archive& archive, T& it)
{
    archive("now", it.now);
    archive("attempt", it.attempt);
    archive("error", it.error);
    archive("request_sent", it.requestSent);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, ManifestSubmitted>
void fields(Archive& archive, T& it)
{
    archive("now", it.now);
    archive("request", it.request);
    archive("expected", it.expected);
    archive("submission_id", it.submissionId);
    archive("digest", it.digest);
    archive("manifest", it.manifest);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, AvailabilityCommand>
void fields(Archive& archive, T& it)
{
    archive("now", it.now);
    archive("request", it.request);
    archive("unit", it.unit);
    archive("name", it.name);
    archive("take_out", it.takeOut);
    archive("submission_id", it.submissionId);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, PeerMessageReceived>
void fields(Archive& archive, T& it)
{
    archive("now", it.now);
    archive("from", it.from);
    archive("message", it.message);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, ShutdownRequested>
void fields(Archive& archive, T& it) { archive("now", it.now); }

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, ReplyAnnouncement>
void fields(Archive& archive, T& it)
{
    archive("request", it.request);
    archive("accepted", it.accepted);
    archive("reason", it.reason);
    archive("interval", it.interval);
    archive("home", it.home);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, SendOrder>
void fields(Archive& archive, T& it)
{
    archive("server", it.server);
    archive("address", it.address);
    archive("order", it.order);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, Dispatch>
void fields(Archive& archive, T& it)
{
    archive("attempt", it.attempt);
    archive("call", it.call);
    archive("server", it.server);
    archive("address", it.address);
    archive("group", it.group);
    archive("fencing", it.fencing);
    archive("resume_from", it.resumeFrom);
    archive("capture_answer", it.captureAnswer);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, ForwardCall>
void fields(Archive& archive, T& it)
{
    archive("attempt", it.attempt);
    archive("call", it.call);
    archive("vm", it.vm);
    archive("address", it.address);
    archive("resume_from", it.resumeFrom);
    archive("capture_answer", it.captureAnswer);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, CancelAttempt>
void fields(Archive& archive, T& it)
{
    archive("attempt", it.attempt);
    archive("notify_server", it.notifyServer);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, BeginResponse>
void fields(Archive& archive, T& it)
{
    archive("call", it.call);
    archive("attempt", it.attempt);
    archive("status", it.status);
    archive("stream", it.stream);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, ForwardToken>
void fields(Archive& archive, T& it)
{
    archive("call", it.call);
    archive("attempt", it.attempt);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, FinishCall>
void fields(Archive& archive, T& it)
{
    archive("call", it.call);
    archive("attempt", it.attempt);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, AnswerCall>
void fields(Archive& archive, T& it)
{
    archive("call", it.call);
    archive("status", it.status);
    archive("content_type", it.contentType);
    archive("body", it.body);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, RefuseCall>
void fields(Archive& archive, T& it)
{
    archive("call", it.call);
    archive("refusal", it.refusal);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, SetReading>
void fields(Archive& archive, T& it)
{
    archive("attempt", it.attempt);
    archive("enabled", it.enabled);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, ReplyOperator>
void fields(Archive& archive, T& it)
{
    archive("request", it.request);
    archive("result", it.result);
    archive("revision", it.revision);
    archive("current", it.current);
    archive("detail", it.detail);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, SendPeer>
void fields(Archive& archive, T& it)
{
    archive("to", it.to);
    archive("address", it.address);
    archive("message", it.message);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, WriteLog>
void fields(Archive& archive, T& it)
{
    archive("level", it.level);
    archive("part", it.part);
    archive("text", it.text);
}

template <typename Archive, typename T>
requires std::same_as<std::remove_const_t<T>, Exit>
void fields(Archive& archive, T& it)
{
    (void)archive;
    (void)it;
}

} // namespace rosemarymill::node
