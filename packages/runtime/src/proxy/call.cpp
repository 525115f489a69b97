#include <rosemarymill/runtime/proxy/call.hpp>

#include <rosemarymill/core/base/hash.hpp>
#include <rosemarymill/core/quarantine/coordinator.hpp>
#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/base/log.hpp>
#include <rosemarymill/runtime/proxy/client_connection.hpp>
#include <rosemarymill/runtime/proxy/prompt_parts.hpp>
#include <rosemarymill/runtime/proxy/proxy.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <concepts>
#include <cstdio>
#include <utility>

#include <event2/buffer.h>

namespace rosemarymill::runtime::proxy {

namespace {

using dispatch::AttemptOutcome;
using dispatch::Step;

/// A server that makes no progress on any of this VM's requests for this long is reported to the control VM as
/// suspected: a healthy one sends something in each pass, which takes less than 150 ms even at full load.
constexpr Duration suspectTimeout = 300ms;

/// A stream is resumed on another server if its own makes no progress on any of this VM's requests for this long.
constexpr Duration serverStallTimeout = 500ms;

/// The same for a stream before its response head, which may have to wait for other requests' prompts.
constexpr Duration firstEventTimeout = 1500ms;

/// A stream without an event for this long is resumed on another server even if its own makes progress on other
/// requests: clients time out after two seconds.
constexpr Duration streamStallTimeout = 1200ms;

/// A lookup without progress of its response for this long is sent to a second server.
constexpr Duration lookupTimeout = 400ms;

/// Time for which an interrupted stream waits for a server on which it can be resumed.
constexpr Duration resumeTimeout = 1500ms;

/// Unsent bytes for a slow client above which reading from the server is paused, and below which it is resumed.
constexpr std::size_t highWaterBytes = 128 * 1024;
constexpr std::size_t lowWaterBytes = 32 * 1024;

/// Largest priority number that model servers accept.
constexpr unsigned maxPriority = 9;

/// Calls a function with the bytes of each segment of a buffer, which may be null.
template <std::invocable<std::string_view> Function> void forEachSegment(evbuffer* buf, Function function)
{
    evbuffer_iovec segment {};
    evbuffer_ptr at {};
    if (!buf || evbuffer_ptr_set(buf, &at, 0, EVBUFFER_PTR_SET) != 0)
        return;
    while (evbuffer_peek(buf, -1, &at, &segment, 1) > 0 && segment.iov_len > 0) {
        function(std::string_view { static_cast<const char*>(segment.iov_base), segment.iov_len });
        if (evbuffer_ptr_set(buf, &at, segment.iov_len, EVBUFFER_PTR_ADD) != 0)
            return;
    }
}

std::optional<std::uint64_t> parseNumber(std::string_view text) noexcept
{
    std::uint64_t value = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc {} || end == text.data())
        return std::nullopt;
    return value;
}

void appendHeader(std::string& out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

/// Headers of a server's response that are forwarded to the client.
std::string responseHeaders(const MessageHead& head)
{
    std::string headers;
    for (const auto& it : head.headers) {
        if (!isHopByHop(head, it.name) && !equalsIgnoreCase(it.name, "content-length"))
            appendHeader(headers, it.name, it.value);
    }
    return headers;
}

/// Retry-After of a quarantined request: short while the control VM has yet to confirm that the servers have ended, and
/// otherwise longer than servers take to announce themselves again.
constexpr Duration unconfirmedRetryAfter = 300ms;
constexpr Duration quarantineRetryAfter = 2500ms;

/// Time within which the control VM confirms a crash.
constexpr Duration crashConfirmationTime = 1s;

constexpr std::string_view quarantineReason = "the request was in flight on servers when they crashed";
constexpr std::string_view partReason = "a part of the prompt was in flight on servers when they crashed";

/// Whether clients take this status as a guarantee that the request has not run.
bool impliesNotRun(unsigned status) noexcept
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string formatNumber(double value)
{
    std::array<char, 16> text {};
    const auto n = std::snprintf(text.data(), text.size(), "%.2f", value);
    return { text.data(), std::min(static_cast<std::size_t>(n), text.size() - 1) };
}

} // namespace

Call::Call(Proxy& proxy, ClientConnection& client, MessageHead head, BufferHandle body)
    : m_proxy(proxy)
    , m_client(client)
    , m_head(std::move(head))
    , m_body(std::move(body))
    , m_requestBytes(memoryOf(m_head) + bodyBytes())
    , m_table(proxy.m_table)
    , m_startedAt(readClock())
{
    m_proxy.m_calls.insert(this);
    ++m_proxy.m_counters.requests;
}

Call::~Call()
{
    setBuffered(0);
    m_proxy.m_calls.erase(this);
}

bool Call::admit()
{
    const auto& names = m_proxy.m_settings.names;
    m_attemptId = m_head.find(names.attemptId);
    if (!m_table) {
        refuse(503, "no routing table received", 1s);
        return false;
    }
    m_route = m_table->match(m_head.find("Host"), m_head.target);
    if (!m_route) {
        refuse(404, "no matching route", {});
        return false;
    }
    if (!m_route->isPublic && !m_table->document().accounts.empty()) {
        constexpr std::string_view scheme = "Bearer ";
        auto key = m_head.find("Authorization");
        if (key.size() > scheme.size() && equalsIgnoreCase(key.substr(0, scheme.size()), scheme))
            m_account = m_table->accountOf(key.substr(scheme.size()));
        if (!m_account) {
            refuse(401, "unknown API key", {});
            return false;
        }
    }
    if (m_attemptId.empty()) {
        refuse(400, "missing request id", {});
        return false;
    }
    if (m_proxy.m_shutdown && !dispatch::acceptsDuringShutdown(*m_proxy.m_shutdown, *m_route, m_startedAt)) {
        // The client can retry at once on another entry VM.
        refuse(503, "shutting down", 20ms);
        return false;
    }
    return true;
}

void Call::start()
{
    const auto& names = m_proxy.m_settings.names;
    if (!admit())
        return;
    m_service = m_table->service(routes::Table::choose(*m_route, hash64(m_attemptId)));
    if (m_service->engine) {
        m_model = ModelName { m_head.find(names.model) };
        const auto usage = m_head.find(names.tokenUsage);
        const auto promptTokens = parseNumber(usage.substr(0, usage.find(',')));
        m_work = dispatch::workOf(*m_service->engine, m_model, static_cast<unsigned>(promptTokens.value_or(0)));
    }
    setTraits();
    const auto wait = parseNumber(m_head.find(names.deadline));
    m_clientDeadline = m_startedAt + (wait ? Duration { std::chrono::milliseconds { *wait } } : m_route->timeout);
    m_state.deadline = std::min(m_clientDeadline, m_startedAt + m_route->timeout);
    m_state.retryable = m_route->isRetryable();
    m_state.streaming = m_route->kind == routes::RequestKind::Streaming;
    m_state.maxServers = m_route->maxServers;
    m_events.setLastId(parseEventId(m_head.find(names.lastEventId)));
    m_proxy.budget(m_service->name).countRequest(m_startedAt);
    if (const auto* refused = refusedTrait()) {
        m_trial = m_proxy.m_quarantine.takeTrial(*refused, m_startedAt);
        if (!m_trial)
            return quarantined();
    }
    attempt();
}

std::size_t Call::bodyBytes() const noexcept { return m_body ? evbuffer_get_length(m_body.get()) : 0; }

void Call::setTraits()
{
    FingerprintBuilder identity;
    identity.add(m_account ? std::string_view { m_account->id.text() } : "");
    identity.add(m_head.target);
    identity.begin(bodyBytes());
    forEachSegment(m_body.get(), [&](std::string_view bytes) { identity.append(bytes); });
    m_traits.request = identity.digest();
    for (const auto id : sharedPromptParts(m_head.find(m_proxy.m_settings.names.promptParts))) {
        const std::array<std::string_view, 2> part { "prompt part", id };
        m_traits.parts.push_back(fingerprint(part));
    }
}

const Fingerprint* Call::refusedTrait() const
{
    const auto& tracker = m_proxy.m_quarantine;
    if (tracker.verdictOf(m_traits.request) == quarantine::Verdict::Refused)
        return &m_traits.request;
    return tracker.refusedPart(m_traits);
}

void Call::attempt()
{
    const auto now = readClock();
    if (m_waitingSince && isHeldBack())
        return waitForServer(now, quarantineReason);
    m_proxy.m_budget.setOutgoing(m_proxy.m_pool.connections());
    if (!m_proxy.m_budget.makeRoom())
        return refuseWithoutServer({ dispatch::NoServer::Full, overloadRetryAfter });
    auto& budget = m_proxy.budget(m_service->name);
    const bool repeats = m_state.arrivals > 0;
    // The budget was checked when the stream began to wait, but other streams may have used it since.
    if (repeats && m_waitingSince && !budget.available(now, m_proxy.m_balancer.reportedEntryVms()))
        return waitForServer(now, "retry budget exhausted");
    const dispatch::Query query { m_service->name, m_model, m_tried, m_service->coldRate, now, m_work };
    const auto result = m_proxy.m_balancer.choose(query);
    const auto* refusal = std::get_if<dispatch::Refusal>(&result);
    if (refusal || !std::get<dispatch::Choice>(result).unreachable)
        m_proxy.connectToUnreachableServers(query);
    if (refusal)
        return refuseWithoutServer(*refusal);
    const auto& choice = std::get<dispatch::Choice>(result);
    m_server = choice.target->id;
    m_bootId = choice.target->bootId;
    m_chosenLoad = choice.load;
    m_candidates = choice.candidates;
    m_waitingSince.reset();
    m_headReceived = m_streaming = false;
    m_skipped = false;
    m_resumesStream = m_state.headSent;
    m_events.requireIds(m_resumesStream);
    m_attemptEvents = 0;
    m_survived = false;
    m_mayHaveCrashedServer = false;
    m_nextProgress = bodyProgressBytes;
    m_attemptAt = m_lastProgressAt = m_sentAt = now;
    if (repeats) {
        ++m_proxy.m_counters.repeats[static_cast<std::size_t>(m_lastOutcome)];
        budget.countRepeat(now);
    }
    m_tried.push_back(m_server);
    const auto target = *choice.target;
    m_upstream = &m_proxy.m_pool.acquire(target, m_state.retryable, now);
    m_proxy.m_balancer.sent(m_server, now, m_work);
    m_upstream->send(*this, buildHead(target, now), m_body.get(), m_head.method == "HEAD");
}

Duration Call::timeLeft(Instant now) const { return std::max(m_state.deadline - now, Duration { 1ms }); }

std::string Call::buildHead(const fleet::Target& target, Instant now) const
{
    const auto& names = m_proxy.m_settings.names;
    const std::array<std::string_view, 7> replaced { "authorization", "content-length", "expect", names.account,
        names.expectServer, names.priority, names.deadline };
    std::string out;
    constexpr std::size_t usualHeadBytes = 1024;
    out.reserve(usualHeadBytes);
    out.append(m_head.method).append(" ").append(m_head.target).append(" HTTP/1.1\r\n");
    const bool resumesStream = m_state.streaming && m_events.lastId() && m_state.headSent;
    for (const auto& it : m_head.headers) {
        const bool dropped = isHopByHop(m_head, it.name)
            || std::any_of(replaced.begin(), replaced.end(),
                [&](std::string_view name) { return equalsIgnoreCase(it.name, name); })
            || (resumesStream && equalsIgnoreCase(it.name, names.lastEventId));
        if (!dropped)
            appendHeader(out, it.name, it.value);
    }
    if (resumesStream)
        appendHeader(out, names.lastEventId, std::to_string(*m_events.lastId()));
    appendHeader(out, names.deadline, std::to_string(timeLeft(now) / 1ms));
    appendHeader(out, names.expectServer, target.id.text());
    if (m_account)
        appendHeader(out, names.account, m_account->id.text());
    if (m_service->engine) {
        const auto priority = m_account && m_account->priority ? *m_account->priority : m_route->priority;
        appendHeader(out, names.priority, std::to_string(std::min(priority, maxPriority)));
    }
    if (bodyBytes() > 0 || m_head.length || m_head.chunked)
        appendHeader(out, "Content-Length", std::to_string(bodyBytes()));
    out.append("\r\n");
    return out;
}

void Call::onConnected()
{
    m_attemptAt = m_lastProgressAt = readClock();
    m_proxy.serverConnected(m_server, m_attemptAt);
}

void Call::onResponse()
{
    if (!m_headReceived) {
        if (!checkResponseId())
            return;
        m_headReceived = true;
        m_lastProgressAt = readClock();
        m_upstream->rearm(maxResponseBytes);
        onHead();
        if (m_done || !m_upstream || !m_headReceived)
            return;
        // A rejection is no progress: the head server of a group whose other members have failed still rejects
        // requests.
        progressed(m_lastProgressAt);
    }
    if (m_streaming)
        onStreamBytes();
    else if (m_upstream->parser().complete())
        onPlainComplete();
    else
        onPlainBytes();
}

bool Call::checkResponseId()
{
    const auto& head = m_upstream->parser().head();
    const auto id = head.find(m_proxy.m_settings.names.attemptId);
    if (id == m_attemptId)
        return true;
    // The response to an earlier request does not affect this one, whose own response may follow.
    if (!id.empty() && m_upstream->reused() && !std::exchange(m_skipped, true)) {
        writeDecision("call", "skipped response",
            { { "request", m_attemptId }, { "server", m_server.text() }, { "answers", std::string(id) },
                { "status", std::to_string(head.status) } });
        m_upstream->skipResponse();
    } else {
        endAttempt(AttemptOutcome::Broken, "response to another request");
    }
    return false;
}

void Call::progressed(Instant now)
{
    m_lastProgressAt = now;
    m_proxy.m_balancer.succeeded(m_server, now);
    m_proxy.m_serversWithProgress.insert(m_server);
}

void Call::onPlainBytes()
{
    takeResponseBody();
    const auto n = evbuffer_get_length(m_responseBody.get());
    if (m_upstream->parser().head().length.value_or(0) > maxResponseBytes)
        return onUpstreamEnd(Upstream::End::TooLong);
    // Restarts only this call's stall timeout: the server counts as making progress once the response is complete.
    if (n >= m_nextProgress) {
        m_nextProgress = n + bodyProgressBytes;
        m_lastProgressAt = readClock();
    }
    setBuffered(n);
}

void Call::takeResponseBody()
{
    if (!m_responseBody)
        m_responseBody.reset(evbuffer_new());
    auto& parsed = m_upstream->parser().body();
    evbuffer_add(m_responseBody.get(), parsed.data(), parsed.size());
    parsed = {};
}

void Call::setBuffered(std::size_t bytes)
{
    m_proxy.m_bufferedBytes = m_proxy.m_bufferedBytes - m_bufferedBytes + bytes;
    const bool grew = bytes > m_bufferedBytes;
    m_bufferedBytes = bytes;
    if (grew) {
        m_client.updateUsage();
        m_proxy.limitBuffered();
    }
}

void Call::dropBuffered()
{
    m_proxy.m_balancer.failed(m_server, readClock());
    endAttempt(AttemptOutcome::Broken, "buffered responses exceed the memory limit");
}

void Call::onHead()
{
    const auto now = readClock();
    const auto& names = m_proxy.m_settings.names;
    const auto& head = m_upstream->parser().head();
    if (const auto load = head.find(names.serverLoad); !load.empty()) {
        const auto comma = std::min(load.find(','), load.size() - 1);
        const auto running = parseNumber(load.substr(0, comma));
        const auto waiting = parseNumber(load.substr(comma + 1));
        if (running && waiting)
            m_proxy.m_balancer.loadReported(m_server, static_cast<unsigned>(*running + *waiting), now);
    }
    if (head.status == 421 || head.has(names.notExecuted)) {
        const auto faulty = head.find(names.faultyServer);
        if (head.status == 421 || (!faulty.empty() && m_model != ModelName {})) {
            if (head.status == 421)
                m_proxy.m_balancer.misdirected(m_server, now);
            else
                m_proxy.m_balancer.failed(m_server, now);
            if (m_proxy.m_stallHandler)
                m_proxy.m_stallHandler(m_server);
        } else {
            m_proxy.m_balancer.full(m_server, now);
        }
        return endAttempt(AttemptOutcome::Rejected, "status " + std::to_string(head.status));
    }
    const bool success = head.status >= 200 && head.status < 300;
    if ((success && !head.has(names.seal)) || head.has("Content-Encoding"))
        return endAttempt(AttemptOutcome::Broken, "response without a seal or with a content encoding");
    if (success && m_state.streaming && head.find("Content-Type").starts_with("text/event-stream")) {
        m_streaming = true;
        m_upstream->rearm(maxEventBytes);
        if (!m_state.headSent)
            beginStream(head);
    }
}

void Call::onPlainComplete()
{
    progressed(readClock());
    takeResponseBody();
    auto& parser = m_upstream->parser();
    const auto status = parser.head().status;
    // Clients take such a status as "not run", which the server has not stated here: its not-executed header is
    // missing.
    if (impliesNotRun(status))
        return endAttempt(
            AttemptOutcome::Broken, "status " + std::to_string(status) + " without the not-executed header");
    if (m_state.headSent)
        return endAttempt(
            AttemptOutcome::Broken, "status " + std::to_string(status) + " instead of the rest of the stream");
    if (status >= 500) {
        m_heldResponse = { parser.head(), std::move(m_responseBody) };
        m_proxy.m_pool.release(*std::exchange(m_upstream, nullptr), readClock());
        return endAttempt(AttemptOutcome::ServerError, "status " + std::to_string(status));
    }
    if (status < 300)
        completed();
    const auto head = parser.head();
    m_proxy.m_pool.release(*std::exchange(m_upstream, nullptr), readClock());
    finishAttempt();
    forwardResponse(head, std::move(m_responseBody));
}

void Call::onStreamBytes()
{
    auto& parser = m_upstream->parser();
    std::string completeEvents;
    const auto n = m_events.feed(parser.body(), completeEvents);
    parser.body().clear();
    if (n > 0 && m_attemptEvents == 0)
        m_attemptFirstEventAt = readClock();
    m_attemptEvents += n;
    if (n > 0 || parser.complete()) {
        progressed(readClock());
        if (m_attemptEvents > 1 && m_lastProgressAt >= m_attemptFirstEventAt + quarantine::survivalTime)
            survived(m_lastProgressAt);
        m_upstream->rearm(maxEventBytes);
    }
    if (n > 0 && m_eventCount == 0)
        m_firstEventAt = readClock();
    if (!completeEvents.empty()) {
        m_eventCount += n;
        m_proxy.m_counters.events += n;
        m_client.writeChunk(completeEvents);
        if (m_client.unsentBytes() > highWaterBytes && !m_readingPaused) {
            m_readingPaused = true;
            m_upstream->setReading(false);
        }
    }
    if (m_events.missingId())
        return endAttempt(AttemptOutcome::Broken, "event without an id in a resumed stream");
    if (!parser.complete())
        return setBuffered(m_events.partial() ? m_events.allocatedBytes() : 0);
    if (m_events.partial())
        return endAttempt(AttemptOutcome::Broken, "stream ended within an event");
    if (m_resumesStream && m_attemptEvents == 0)
        return endAttempt(AttemptOutcome::Broken, "resumed stream without events");
    if (endsWithConnection() && m_attemptEvents == 0)
        return endAttempt(AttemptOutcome::Broken, "connection closed before the first event");
    finishStream();
}

void Call::clientDrained()
{
    if (!m_readingPaused || m_client.unsentBytes() > lowWaterBytes)
        return;
    m_readingPaused = false;
    m_lastProgressAt = readClock();
    if (m_upstream)
        m_upstream->setReading(true);
}

void Call::onUpstreamEnd(Upstream::End end)
{
    const auto now = readClock();
    switch (end) {
    case Upstream::End::Refused:
        m_proxy.serverNotConnected(m_server, true, now);
        if (m_proxy.m_stallHandler)
            m_proxy.m_stallHandler(m_server);
        return endAttempt(AttemptOutcome::NotSent, "connection refused");
    case Upstream::End::NotConnected:
        m_proxy.serverNotConnected(m_server, false, now);
        if (m_proxy.m_stallHandler)
            m_proxy.m_stallHandler(m_server);
        return endAttempt(AttemptOutcome::NotSent, "connection not established");
    case Upstream::End::Closed:
    case Upstream::End::Reset:
        if (!m_upstream->reused())
            m_proxy.m_balancer.failed(m_server, now);
        m_mayHaveCrashedServer = !m_survived;
        reportEnd(quarantine::ReportKind::Crashed);
        return endAttempt(
            AttemptOutcome::Broken, end == Upstream::End::Closed ? "connection closed" : "connection reset");
    case Upstream::End::Invalid:
    case Upstream::End::TooLong:
        m_proxy.m_balancer.failed(m_server, now);
        return endAttempt(AttemptOutcome::Broken,
            end == Upstream::End::Invalid ? "malformed response" : "too many bytes without progress");
    }
}

void Call::dropUpstream()
{
    if (m_upstream)
        m_proxy.m_pool.discard(*std::exchange(m_upstream, nullptr));
}

void Call::finishAttempt()
{
    if (!m_server.empty())
        m_proxy.m_balancer.ended(m_server);
    m_server = {};
}

void Call::completed()
{
    const auto now = readClock();
    // A crash may have closed the connection that ended the response.
    if (endsWithConnection())
        return;
    m_proxy.m_quarantine.completed(m_traits.request, now);
    survived(now);
}

bool Call::endsWithConnection() const
{
    const auto& head = m_upstream->parser().head();
    return !head.length && !head.chunked;
}

void Call::survived(Instant now)
{
    if (!std::exchange(m_survived, true))
        m_proxy.m_quarantine.survived(m_traits.parts, m_attemptEvents > 0 ? m_attemptFirstEventAt : m_attemptAt, now);
}

void Call::reportEnd(quarantine::ReportKind kind)
{
    auto& observer = m_proxy.m_quarantine;
    const auto now = readClock();
    // A server that was announced without a boot id is identified by its server id alone.
    const quarantine::Crash crash { m_server, m_bootId.empty() ? BootId { "unknown" } : m_bootId };
    observer.ended(kind, { crash, now - m_sentAt, m_survived }, m_traits, now);
    m_proxy.m_quarantineChanged = true;
    if (observer.hasReports() && m_proxy.m_crashHandler)
        m_proxy.m_crashHandler();
}

bool Call::unanswered(Instant now) const
{
    return m_upstream && m_upstream->connected() && now >= m_lastProgressAt + suspectTimeout
        && now >= m_proxy.m_balancer.lastProgress(m_server) + suspectTimeout;
}

void Call::enforceQuarantine()
{
    if (!m_done && !m_trial && refusedTrait())
        quarantined();
}

void Call::quarantined()
{
    const bool part = m_proxy.m_quarantine.refusedPart(m_traits) != nullptr;
    const auto reason = part ? partReason : quarantineReason;
    const bool answered = m_upstream && (m_headReceived || m_upstream->hasReceived());
    // A stream that waits for a server keeps waiting: most servers whose connections broke turn out not to have
    // crashed.
    if (m_waitingSince && part)
        return giveUp(Step::Abort, reason);
    if (answered || m_waitingSince || (m_upstream && !m_state.retryable))
        return;
    if (m_upstream)
        return endAttempt(AttemptOutcome::Broken, reason);
    ++m_proxy.m_counters.quarantined;
    if (part)
        return refuse(503, reason, quarantine::firstTrialDelay);
    const auto* record = m_proxy.m_quarantine.find(m_traits.request);
    const bool confirmed = !record || readClock() >= record->lastCrash + crashConfirmationTime;
    refuse(503, quarantineReason, confirmed ? quarantineRetryAfter : unconfirmedRetryAfter);
}

bool Call::isRefused() const { return m_trial ? m_state.arrivals > 0 : refusedTrait() != nullptr; }

bool Call::isHeldBack() const
{
    return isRefused() || (m_mayHaveCrashedServer && m_proxy.m_quarantine.holdsSuspectedPart(m_traits));
}

void Call::endAttempt(AttemptOutcome end, std::string_view why)
{
    const auto now = readClock();
    if (end == AttemptOutcome::Stalled && unanswered(now))
        reportEnd(quarantine::ReportKind::Unanswered);
    // A model server begins to run a request with its first token. A group's head server that has sent nothing on any
    // request since it received this one cannot have begun; one that has sent something may have.
    const bool mayHaveBegun = !m_service->engine || m_lastProgressAt > m_attemptAt
        || (m_upstream && m_upstream->hasReceived()) || m_proxy.m_balancer.lastProgress(m_server) > m_attemptAt;
    const auto server = m_server;
    const auto bootId = m_bootId;
    // A rejection is usually a complete response, so its connection can be reused.
    if (end == AttemptOutcome::Rejected && m_upstream && m_upstream->parser().complete())
        m_proxy.m_pool.release(*std::exchange(m_upstream, nullptr), now);
    dropUpstream();
    finishAttempt();
    m_headReceived = m_streaming = m_readingPaused = false;
    m_responseBody.reset();
    m_events.dropPartial();
    setBuffered(0);
    m_state.arrivals += end == AttemptOutcome::NotSent ? 0 : 1;
    switch (end) {
    case AttemptOutcome::NotSent:
        ++m_state.unsent;
        break;
    case AttemptOutcome::Rejected:
        ++m_state.rejections;
        break;
    case AttemptOutcome::ServerError:
    case AttemptOutcome::Broken:
    case AttemptOutcome::Stalled:
        ++m_state.possibleRuns;
        m_state.runs += mayHaveBegun ? 1 : 0;
        break;
    }
    m_lastOutcome = end;
    const auto entryVms = m_proxy.m_balancer.reportedEntryVms();
    const auto budget = m_proxy.budget(m_service->name).remaining(now, entryVms);
    const bool budgetLeft = budget >= 1;
    m_state.quarantined = isHeldBack();
    const auto step = dispatch::nextStep(m_state, end, budgetLeft, now);
    writeDecision("call", "ended attempt",
        { { "request", m_attemptId }, { "server", server.text() }, { "end", std::string(nameOf(end)) },
            { "why", std::string(why) }, { "attempt", std::to_string(m_tried.size()) },
            { "age_ms", std::to_string((now - m_attemptAt) / 1ms) }, { "begun", mayHaveBegun ? "maybe" : "no" },
            { "events", std::to_string(m_attemptEvents) },
            { "writing_ms",
                m_attemptEvents > 0 ? std::to_string((now - m_attemptFirstEventAt) / 1ms) : std::string {} },
            { "parts", formatParts(sharedPromptParts(m_head.find(m_proxy.m_settings.names.promptParts))) },
            { "fingerprint", formatFingerprint(m_traits.request) }, { "boot", bootId.text() },
            { "quarantined", m_state.quarantined ? "yes" : "no" }, { "budget", budgetLeft ? "left" : "spent" },
            { "budget_left", formatNumber(budget) }, { "entry_vms", std::to_string(entryVms) },
            { "next", step == Step::TryNext ? "try next" : "end" } });
    if (step == Step::Wait && m_proxy.m_quarantine.refusedPart(m_traits))
        return giveUp(Step::Abort, partReason);
    if (step == Step::Wait)
        return waitForServer(now, quarantineReason);
    if (step != Step::TryNext) {
        m_proxy.m_counters.quarantined += m_state.quarantined ? 1 : 0;
        return giveUp(step, why);
    }
    if (m_state.headSent)
        ++m_proxy.m_counters.resumed;
    attempt();
}

void Call::giveUp(Step step, std::string_view why)
{
    switch (step) {
    case Step::ForwardResponse: {
        auto held = std::move(m_heldResponse);
        return forwardResponse(held.head, std::move(held.body));
    }
    case Step::Refuse:
        return refuse(503, why, 300ms);
    case Step::Fail:
        return refuse(502, why, {});
    case Step::Abort:
    case Step::Wait:
    case Step::TryNext:
        break;
    }
    m_done = true;
    ++m_proxy.m_counters.aborted;
    log("aborted", 200, why);
    m_client.abort();
}

void Call::refuseWithoutServer(const dispatch::Refusal& refusal)
{
    constexpr std::array<const char*, 4> reasons { "no server offers the model or service",
        "all servers failed this call or failed recently", "all servers are full",
        "all servers with free capacity are cold" };
    const auto* why = reasons[static_cast<std::size_t>(refusal.reason)];
    ++m_proxy.m_withoutServer[static_cast<std::size_t>(refusal.reason)];
    const auto now = readClock();
    if (m_state.headSent)
        return waitForServer(now, why);
    if (m_state.possibleRuns > 0)
        return m_heldResponse.head.status ? giveUp(Step::ForwardResponse, why) : refuse(502, why, {});
    refuse(503, why, refusal.retryAfter);
}

void Call::waitForServer(Instant now, std::string_view why)
{
    if (!m_waitingSince)
        m_waitingSince = now;
    if (now >= *m_waitingSince + resumeTimeout || now >= m_state.deadline)
        giveUp(Step::Abort, why);
}

void Call::forwardResponse(const MessageHead& head, BufferHandle body)
{
    setBuffered(0);
    m_done = true;
    ++m_proxy.m_counters.answered;
    log("answered", head.status, {});
    m_client.sendResponse(head.status, head.reason, responseHeaders(head), body.get(), m_client.closing());
}

void Call::beginStream(const MessageHead& head)
{
    m_state.headSent = true;
    std::string out = "HTTP/1.1 " + std::to_string(head.status) + ' ' + head.reason + "\r\n" + responseHeaders(head);
    if (m_client.closing())
        appendHeader(out, "Connection", "close");
    appendHeader(out, "Transfer-Encoding", "chunked");
    out.append("\r\n");
    m_client.beginChunked(out);
}

void Call::finishStream()
{
    m_done = true;
    setBuffered(0);
    completed();
    m_proxy.m_pool.release(*std::exchange(m_upstream, nullptr), readClock());
    finishAttempt();
    ++m_proxy.m_counters.answered;
    log("answered", 200, {});
    m_client.endChunked(m_client.closing());
}

void Call::refuse(unsigned status, std::string_view why, Duration retryAfter)
{
    m_done = true;
    ++(impliesNotRun(status) ? m_proxy.m_counters.refused : m_proxy.m_counters.failed);
    log("refused", status, why);
    std::string headers;
    if (!m_attemptId.empty())
        appendHeader(headers, m_proxy.m_settings.names.attemptId, m_attemptId);
    if (retryAfter > Duration::zero())
        headers.append(retryAfterLine(retryAfter));
    m_client.sendResponse(
        status, status == 503 ? "Service Unavailable" : "Failed", headers, nullptr, m_client.closing());
}

void Call::clientDisconnected()
{
    if (m_done)
        return;
    m_done = true;
    ++m_proxy.m_counters.abandoned;
    if (unanswered(readClock()))
        reportEnd(quarantine::ReportKind::Unanswered);
    dropUpstream();
    finishAttempt();
    log("client disconnected", 0, {});
}

void Call::serverLost(const ServerId& server)
{
    if (m_done || server != m_server || !m_state.streaming || !m_state.retryable)
        return;
    reportEnd(quarantine::ReportKind::Unanswered);
    endAttempt(AttemptOutcome::Stalled, "server reported as lost");
}

void Call::end(Instant now, std::string_view why)
{
    if (m_done)
        return;
    const auto step = dispatch::deadlineStep(m_state, m_upstream != nullptr);
    if (unanswered(now))
        reportEnd(quarantine::ReportKind::Unanswered);
    dropUpstream();
    finishAttempt();
    if (step == Step::Abort)
        return giveUp(step, why);
    refuse(step == Step::Refuse ? 503 : 504, why, {});
}

void Call::tick(Instant now)
{
    if (m_done)
        return;
    if (now >= m_state.deadline)
        return end(now, "deadline");
    if (m_waitingSince)
        return attempt();
    if (!m_upstream || m_readingPaused)
        return;
    if (!m_upstream->connected()) {
        if (now >= m_attemptAt + connectTimeout)
            onUpstreamEnd(Upstream::End::NotConnected);
        return;
    }
    if (!m_state.retryable)
        return;
    const auto idleTime = now - m_lastProgressAt;
    const auto serverIdleTime = now - m_proxy.m_balancer.lastProgress(m_server);
    if (m_state.streaming && idleTime >= suspectTimeout && serverIdleTime >= suspectTimeout && m_proxy.m_stallHandler)
        m_proxy.m_stallHandler(m_server);
    const bool stalled = m_state.streaming
        ? (idleTime >= (m_streaming ? serverStallTimeout : firstEventTimeout) && serverIdleTime >= serverStallTimeout)
            || (m_streaming && idleTime >= streamStallTimeout)
        : idleTime >= lookupTimeout;
    if (!stalled)
        return;
    m_proxy.m_balancer.failed(m_server, now);
    m_state.quarantined = isRefused();
    // Keep waiting if the request cannot be retried now: the server may still respond.
    if (dispatch::nextStep(m_state, AttemptOutcome::Stalled,
            m_proxy.budget(m_service->name).available(now, m_proxy.m_balancer.reportedEntryVms()), now)
        == Step::TryNext)
        endAttempt(AttemptOutcome::Stalled, "no progress for " + std::to_string(idleTime / 1ms) + " ms");
}

void Call::log(std::string_view outcome, unsigned status, std::string_view why)
{
    const auto now = readClock();
    m_proxy.m_callTimes.add(now - m_startedAt);
    if (m_eventCount > 0)
        m_proxy.m_firstEventTimes.add(m_firstEventAt - m_startedAt);
    const auto age = [&](Instant it) { return std::to_string((it - m_startedAt) / 1ms); };
    const auto* refusedPart = m_proxy.m_quarantine.refusedPart(m_traits);
    writeDecision("call", outcome,
        { { "request", m_attemptId }, { "route", m_route ? m_route->name : std::string {} },
            { "account", m_account ? m_account->id.text() : std::string {} }, { "model", m_model.text() },
            { "status", std::to_string(status) }, { "why", std::string(why) },
            { "server", m_tried.empty() ? std::string {} : m_tried.back().text() },
            { "attempts", std::to_string(m_tried.size()) }, { "load", formatNumber(m_chosenLoad) },
            { "candidates", std::to_string(m_candidates) }, { "fingerprint", formatFingerprint(m_traits.request) },
            { "parts", formatParts(sharedPromptParts(m_head.find(m_proxy.m_settings.names.promptParts))) },
            { "refused_part", refusedPart ? formatFingerprint(*refusedPart) : std::string {} },
            { "document", std::to_string(m_table ? m_table->document().version : 0) },
            { "first_event_ms", m_eventCount > 0 ? age(m_firstEventAt) : std::string {} }, { "ms", age(now) } });
}

} // namespace rosemarymill::runtime::proxy
