#include <rosemarymill/runtime/proxy/call.hpp>

#include <rosemarymill/core/base/hash.hpp>
#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/base/log.hpp>
#include <rosemarymill/runtime/proxy/client_connection.hpp>
#include <rosemarymill/runtime/proxy/proxy.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace rosemarymill::runtime::proxy {

namespace {

using dispatch::AttemptOutcome;
using dispatch::Step;

/// Time in which a connection to a server has to be established; the machines are a few milliseconds apart, and a lost
/// packet is sent again within this time.
constexpr Duration connectTimeout = 350ms;

/// A server that is silent to all of this VM's requests for this long is reported to the control VM: a healthy one
/// sends something with each pass, which takes less than 150 ms even at full load.
constexpr Duration suspiciousSilence = 300ms;

/// A stream whose server is silent to all of this VM's requests for this long continues elsewhere.
constexpr Duration serverStall = 500ms;

/// The same before the first event, which may wait for the prompts of other requests.
constexpr Duration firstEventStall = 1500ms;

/// A stream without an event for this long continues elsewhere even if its server answers others: clients give up
/// after two seconds.
constexpr Duration streamStall = 1200ms;

/// A lookup without an answer for this long is sent to a second server.
constexpr Duration lookupStall = 400ms;

/// Time for which a broken stream waits for a server to continue on.
constexpr Duration resumeWait = 1500ms;

/// Bytes that wait for a slow client before reading from the server stops, and at which it starts again.
constexpr std::size_t highWater = 128 * 1024;
constexpr std::size_t lowWater = 32 * 1024;

/// Largest priority number that model servers know.
constexpr unsigned lastPriority = 9;

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

/// Headers of a server's answer that are passed on to the client.
std::string answerHeaders(const MessageHead& head)
{
    std::string headers;
    for (const auto& it : head.headers) {
        if (!isHopByHop(head, it.name) && !equalsIgnoreCase(it.name, "content-length"))
            appendHeader(headers, it.name, it.value);
    }
    return headers;
}

/// Time after which a request that is refused because it crashes servers may come back: soon while the control VM has
/// yet to confirm that the servers have ended, and later than servers announce themselves otherwise.
constexpr Duration unconfirmedRetryAfter = 300ms;
constexpr Duration quarantineRetryAfter = 2500ms;

/// Time in which the control VM confirms a crash.
constexpr Duration crashConfirmation = 1s;

constexpr std::string_view quarantineReason = "the request was running on servers when they ended";

/// Statuses by which a client learns that its request has not run.
bool promisesNotRun(unsigned status) noexcept
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

Call::Call(Proxy& proxy, ClientConnection& client, MessageHead head, std::string body)
    : m_proxy(proxy)
    , m_client(client)
    , m_head(std::move(head))
    , m_body(std::move(body))
    , m_table(proxy.m_table)
    , m_startedAt(readClock())
{
    m_proxy.m_calls.insert(this);
    ++m_proxy.m_counters.requests;
}

Call::~Call()
{
    setCollected(0);
    m_proxy.m_calls.erase(this);
}

bool Call::admit()
{
    const auto& names = m_proxy.m_settings.names;
    m_attemptId = m_head.find(names.attemptId);
    if (!m_table) {
        refuse(503, "no routing table yet", 1s);
        return false;
    }
    m_route = m_table->match(m_head.find("Host"), m_head.target);
    if (!m_route) {
        refuse(404, "no route", {});
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
        refuse(400, "no request id", {});
        return false;
    }
    if (m_proxy.m_shutdown && !dispatch::acceptsDuringShutdown(*m_proxy.m_shutdown, *m_route, m_startedAt)) {
        // Another VM takes the request at once.
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
    const std::array<std::string_view, 3> parts { m_account ? std::string_view { m_account->id.text() } : "",
        m_head.target, m_body };
    m_fingerprint = rosemarymill::fingerprint(parts);
    const auto wait = parseNumber(m_head.find(names.deadline));
    m_clientDeadline = m_startedAt + (wait ? Duration { std::chrono::milliseconds { *wait } } : m_route->timeout);
    m_state.deadline = std::min(m_clientDeadline, m_startedAt + m_route->timeout);
    m_state.retryable = m_route->isRetryable();
    m_state.streaming = m_route->kind == routes::RequestKind::Streaming;
    m_state.maxServers = m_route->maxServers;
    m_events.setLastId(parseEventId(m_head.find(names.lastEventId)));
    m_proxy.budget(m_service->name).countRequest(m_startedAt);
    if (m_proxy.m_quarantine.verdictOf(m_fingerprint) == quarantine::Verdict::Refused) {
        m_trial = m_proxy.m_quarantine.takeTrial(m_fingerprint, m_startedAt);
        if (!m_trial)
            return quarantined();
    }
    attempt();
}

void Call::attempt()
{
    const auto now = readClock();
    if (m_waitingSince && isRefused())
        return waitForServer(now, quarantineReason);
    auto& budget = m_proxy.budget(m_service->name);
    const bool repeats = m_state.arrivals > 0;
    // Streams that waited for a server were allowed to go on before others used the budget.
    if (repeats && m_waitingSince && !budget.available(now, m_proxy.m_balancer.reportedEntryVms()))
        return waitForServer(now, "the retry budget is spent");
    const dispatch::Query query { m_service->name, m_model, m_tried, m_service->coldRate, now, m_work };
    const auto result = m_proxy.m_balancer.choose(query);
    if (const auto* refusal = std::get_if<dispatch::Refusal>(&result))
        return refuseWithoutServer(*refusal);
    const auto& choice = std::get<dispatch::Choice>(result);
    m_server = choice.target->id;
    m_bootId = choice.target->bootId;
    m_chosenLoad = choice.load;
    m_candidates = choice.candidates;
    m_waitingSince.reset();
    m_headSeen = m_streaming = false;
    m_skipped = false;
    m_continues = m_state.headSent;
    m_events.requireIds(m_continues);
    m_attemptEvents = 0;
    m_nextProgress = bodyProgressBytes;
    m_attemptAt = m_lastBytesAt = now;
    if (repeats) {
        ++m_proxy.m_counters.repeats[static_cast<std::size_t>(m_lastEnd)];
        budget.countRepeat(now);
    }
    m_tried.push_back(m_server);
    const auto target = *choice.target;
    m_upstream = &m_proxy.m_pool.acquire(target, m_state.retryable, now);
    m_proxy.m_balancer.sent(m_server, now, m_work);
    m_upstream->send(*this, requestFor(target, now), m_head.method == "HEAD");
}

Duration Call::timeLeft(Instant now) const { return std::max(m_state.deadline - now, Duration { 1ms }); }

std::string Call::requestFor(const fleet::Target& target, Instant now) const
{
    const auto& names = m_proxy.m_settings.names;
    const std::array<std::string_view, 7> replaced { "authorization", "content-length", "expect", names.account,
        names.expectServer, names.priority, names.deadline };
    std::string out;
    out.reserve(1024 + m_body.size());
    out.append(m_head.method).append(" ").append(m_head.target).append(" HTTP/1.1\r\n");
    const bool continues = m_state.streaming && m_events.lastId() && m_state.headSent;
    for (const auto& it : m_head.headers) {
        const bool dropped = isHopByHop(m_head, it.name)
            || std::any_of(replaced.begin(), replaced.end(),
                [&](std::string_view name) { return equalsIgnoreCase(it.name, name); })
            || (continues && equalsIgnoreCase(it.name, names.lastEventId));
        if (!dropped)
            appendHeader(out, it.name, it.value);
    }
    if (continues)
        appendHeader(out, names.lastEventId, std::to_string(*m_events.lastId()));
    appendHeader(out, names.deadline, std::to_string(timeLeft(now) / 1ms));
    appendHeader(out, names.expectServer, target.id.text());
    if (m_account)
        appendHeader(out, names.account, m_account->id.text());
    if (m_service->engine) {
        const auto priority = m_account && m_account->priority ? *m_account->priority : m_route->priority;
        appendHeader(out, names.priority, std::to_string(std::min(priority, lastPriority)));
    }
    if (!m_body.empty() || m_head.length || m_head.chunked)
        appendHeader(out, "Content-Length", std::to_string(m_body.size()));
    out.append("\r\n").append(m_body);
    return out;
}

void Call::onConnected() { m_attemptAt = m_lastBytesAt = readClock(); }

void Call::onAnswer()
{
    if (!m_headSeen) {
        if (!answersThisRequest())
            return;
        m_headSeen = true;
        m_lastBytesAt = readClock();
        m_upstream->rearm(maxResponseBytes);
        onHead();
        if (m_done || !m_upstream || !m_headSeen)
            return;
        // A rejection is no progress: a head whose group is gone still rejects.
        progressed(m_lastBytesAt);
    }
    if (m_streaming)
        onStreamBytes();
    else if (m_upstream->parser().complete())
        onPlainComplete();
    else
        onPlainBytes();
}

bool Call::answersThisRequest()
{
    const auto& head = m_upstream->parser().head();
    const auto id = head.find(m_proxy.m_settings.names.attemptId);
    if (id == m_attemptId)
        return true;
    // The answer to an earlier request says nothing about this one, whose own answer may follow.
    if (!id.empty() && m_upstream->reused() && !std::exchange(m_skipped, true)) {
        writeDecision("call", "answer skipped",
            { { "request", m_attemptId }, { "server", m_server.text() }, { "answers", std::string(id) },
                { "status", std::to_string(head.status) } });
        m_upstream->skipAnswer();
    } else {
        endAttempt(AttemptOutcome::Broken, "answer to another request");
    }
    return false;
}

void Call::progressed(Instant now)
{
    m_lastBytesAt = now;
    m_proxy.m_balancer.succeeded(m_server, now);
    m_proxy.m_progress.insert(m_server);
}

void Call::onPlainBytes()
{
    const auto& body = m_upstream->parser().body();
    if (m_upstream->parser().head().length.value_or(0) > maxResponseBytes)
        return onUpstreamEnd(Upstream::End::TooLong);
    // Only the call's own patience: the server makes progress when the answer is whole.
    if (body.size() >= m_nextProgress) {
        m_nextProgress = body.size() + bodyProgressBytes;
        m_lastBytesAt = readClock();
    }
    setCollected(body.capacity());
}

void Call::setCollected(std::size_t bytes)
{
    m_proxy.m_collected = m_proxy.m_collected - m_collected + bytes;
    const bool grew = bytes > m_collected;
    m_collected = bytes;
    if (grew)
        m_proxy.limitCollected();
}

void Call::dropCollected()
{
    m_proxy.m_balancer.failed(m_server, readClock());
    endAttempt(AttemptOutcome::Broken, "answers take too much memory");
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
        return endAttempt(AttemptOutcome::Broken, "answer is not the server's");
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
    auto& parser = m_upstream->parser();
    const auto status = parser.head().status;
    // A status that promises "not run" must be a promise of the server.
    if (promisesNotRun(status))
        return endAttempt(AttemptOutcome::Broken, "status " + std::to_string(status) + " without the server's promise");
    if (m_state.headSent)
        return endAttempt(AttemptOutcome::Broken, "status " + std::to_string(status) + " instead of the rest");
    if (status >= 500) {
        m_held = { parser.head(), parser.body() };
        m_proxy.m_pool.release(*std::exchange(m_upstream, nullptr), readClock());
        return endAttempt(AttemptOutcome::ServerError, "status " + std::to_string(status));
    }
    if (status < 300)
        completed();
    const auto head = parser.head();
    const auto body = std::move(parser.body());
    m_proxy.m_pool.release(*std::exchange(m_upstream, nullptr), readClock());
    finishAttempt();
    passOn(head, body);
}

void Call::onStreamBytes()
{
    auto& parser = m_upstream->parser();
    std::string whole;
    const auto n = m_events.feed(parser.body(), whole);
    parser.body().clear();
    m_attemptEvents += n;
    if (n > 0 || parser.complete()) {
        progressed(readClock());
        m_upstream->rearm(maxEventBytes);
    }
    if (n > 0 && m_eventCount == 0)
        m_firstEventAt = readClock();
    if (!whole.empty()) {
        m_eventCount += n;
        m_proxy.m_counters.events += n;
        m_client.writeChunk(whole);
        if (m_client.unsentBytes() > highWater && !m_readingPaused) {
            m_readingPaused = true;
            m_upstream->setReading(false);
        }
    }
    if (m_events.withoutId())
        return endAttempt(AttemptOutcome::Broken, "an event without an id instead of the rest");
    if (!parser.complete())
        return setCollected(m_events.partial() ? m_events.heldBytes() : 0);
    if (m_events.partial())
        return endAttempt(AttemptOutcome::Broken, "the stream ended within an event");
    if (m_continues && m_attemptEvents == 0)
        return endAttempt(AttemptOutcome::Broken, "an empty stream instead of the rest");
    finishStream();
}

void Call::clientDrained()
{
    if (!m_readingPaused || m_client.unsentBytes() > lowWater)
        return;
    m_readingPaused = false;
    m_lastBytesAt = readClock();
    if (m_upstream)
        m_upstream->setReading(true);
}

void Call::onUpstreamEnd(Upstream::End end)
{
    const auto now = readClock();
    switch (end) {
    case Upstream::End::Refused:
        m_proxy.m_balancer.terminated(m_server);
        if (m_proxy.m_stallHandler)
            m_proxy.m_stallHandler(m_server);
        return endAttempt(AttemptOutcome::NotSent, "connection refused");
    case Upstream::End::NotConnected:
        m_proxy.m_balancer.failed(m_server, now);
        if (m_proxy.m_stallHandler)
            m_proxy.m_stallHandler(m_server);
        return endAttempt(AttemptOutcome::NotSent, "no connection");
    case Upstream::End::Closed:
    case Upstream::End::Reset:
        if (!m_upstream->reused())
            m_proxy.m_balancer.failed(m_server, now);
        reportEnd(quarantine::ReportKind::Crashed);
        return endAttempt(
            AttemptOutcome::Broken, end == Upstream::End::Closed ? "connection closed" : "connection reset");
    case Upstream::End::Invalid:
    case Upstream::End::TooLong:
        m_proxy.m_balancer.failed(m_server, now);
        return endAttempt(AttemptOutcome::Broken,
            end == Upstream::End::Invalid ? "bytes that are no answer" : "too many bytes without an answer");
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

void Call::completed() { m_proxy.m_quarantine.completed(m_fingerprint, readClock()); }

void Call::reportEnd(quarantine::ReportKind kind)
{
    auto& observer = m_proxy.m_quarantine;
    // A server that was announced without its life is told apart by its id alone.
    observer.ended(kind, { m_server, m_bootId.empty() ? BootId { "unknown" } : m_bootId }, m_fingerprint, readClock());
    m_proxy.m_quarantineChanged = true;
    if (observer.hasReports() && m_proxy.m_crashHandler)
        m_proxy.m_crashHandler();
}

bool Call::unanswered(Instant now) const
{
    return m_upstream && m_upstream->connected() && now >= m_lastBytesAt + suspiciousSilence
        && now >= m_proxy.m_balancer.lastProgress(m_server) + suspiciousSilence;
}

void Call::quarantined()
{
    if (m_done)
        return;
    const bool answered = m_upstream && (m_headSeen || m_upstream->hasReceived());
    // A stream that waits for a server goes on waiting: most servers whose connections broke turn out to live.
    if (answered || m_waitingSince || (m_upstream && (!m_state.retryable || m_trial)))
        return;
    if (m_upstream)
        return endAttempt(AttemptOutcome::Broken, quarantineReason);
    ++m_proxy.m_counters.quarantined;
    const auto* record = m_proxy.m_quarantine.find(m_fingerprint);
    const bool confirmed = !record || readClock() >= record->lastCrash + crashConfirmation;
    refuse(503, quarantineReason, confirmed ? quarantineRetryAfter : unconfirmedRetryAfter);
}

bool Call::isRefused() const
{
    return m_trial ? m_state.arrivals > 0
                   : m_proxy.m_quarantine.verdictOf(m_fingerprint) == quarantine::Verdict::Refused;
}

void Call::endAttempt(AttemptOutcome end, std::string_view why)
{
    const auto now = readClock();
    if (end == AttemptOutcome::Stalled && unanswered(now))
        reportEnd(quarantine::ReportKind::Unanswered);
    // Work of a model server begins with its first token. A head that sent nothing to anybody since the request came to
    // it has not begun; whether one that did is still alive cannot be known here.
    const bool mayHaveBegun = !m_service->engine || m_lastBytesAt > m_attemptAt
        || (m_upstream && m_upstream->hasReceived()) || m_proxy.m_balancer.lastProgress(m_server) > m_attemptAt;
    const auto server = m_server;
    const auto bootId = m_bootId;
    // The answer to a rejection is complete most of the time, and its connection can be used again.
    if (end == AttemptOutcome::Rejected && m_upstream && m_upstream->parser().complete())
        m_proxy.m_pool.release(*std::exchange(m_upstream, nullptr), now);
    dropUpstream();
    finishAttempt();
    m_headSeen = m_streaming = m_readingPaused = false;
    m_events.dropPartial();
    setCollected(0);
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
    m_lastEnd = end;
    const auto entryVms = m_proxy.m_balancer.reportedEntryVms();
    const auto budget = m_proxy.budget(m_service->name).left(now, entryVms);
    const bool budgetLeft = budget >= 1;
    m_state.quarantined = isRefused();
    const auto step = dispatch::nextStep(m_state, end, budgetLeft, now);
    writeDecision("call", "attempt ended",
        { { "request", m_attemptId }, { "server", server.text() }, { "end", std::string(nameOf(end)) },
            { "why", std::string(why) }, { "attempt", std::to_string(m_tried.size()) },
            { "age_ms", std::to_string((now - m_attemptAt) / 1ms) }, { "begun", mayHaveBegun ? "maybe" : "no" },
            { "fingerprint", formatFingerprint(m_fingerprint) }, { "boot", bootId.text() },
            { "quarantined", m_state.quarantined ? "yes" : "no" }, { "budget", budgetLeft ? "left" : "spent" },
            { "budget_left", formatNumber(budget) }, { "entry_vms", std::to_string(entryVms) },
            { "next", step == Step::TryNext ? "try next" : "end" } });
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
        const auto held = std::move(m_held);
        return passOn(held.head, held.body);
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
    constexpr std::array<const char*, 4> reasons { "no server serves it", "all servers fail", "all servers are full",
        "all servers with room are cold" };
    const auto* why = reasons[static_cast<std::size_t>(refusal.reason)];
    ++m_proxy.m_withoutServer[static_cast<std::size_t>(refusal.reason)];
    const auto now = readClock();
    if (m_state.headSent)
        return waitForServer(now, why);
    if (m_state.possibleRuns > 0)
        return m_held.head.status ? giveUp(Step::ForwardResponse, why) : refuse(502, why, {});
    refuse(503, why, refusal.retryAfter);
}

void Call::waitForServer(Instant now, std::string_view why)
{
    if (!m_waitingSince)
        m_waitingSince = now;
    if (now >= *m_waitingSince + resumeWait || now >= m_state.deadline)
        giveUp(Step::Abort, why);
}

void Call::passOn(const MessageHead& head, std::string_view body)
{
    setCollected(0);
    m_done = true;
    ++m_proxy.m_counters.answered;
    log("answered", head.status, {});
    m_client.answer(head.status, head.reason, answerHeaders(head), body, m_client.closing());
}

void Call::beginStream(const MessageHead& head)
{
    m_state.headSent = true;
    std::string out = "HTTP/1.1 " + std::to_string(head.status) + ' ' + head.reason + "\r\n" + answerHeaders(head);
    if (m_client.closing())
        appendHeader(out, "Connection", "close");
    appendHeader(out, "Transfer-Encoding", "chunked");
    out.append("\r\n");
    m_client.beginChunked(out);
}

void Call::finishStream()
{
    m_done = true;
    setCollected(0);
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
    ++(promisesNotRun(status) ? m_proxy.m_counters.refused : m_proxy.m_counters.failed);
    log("refused", status, why);
    std::string headers;
    if (!m_attemptId.empty())
        appendHeader(headers, m_proxy.m_settings.names.attemptId, m_attemptId);
    if (retryAfter > Duration::zero()) {
        appendHeader(headers, "Retry-After", formatNumber(std::chrono::duration<double>(retryAfter).count()));
    }
    m_client.answer(status, status == 503 ? "Service Unavailable" : "Failed", headers, {}, m_client.closing());
}

void Call::clientGone()
{
    if (m_done)
        return;
    m_done = true;
    ++m_proxy.m_counters.abandoned;
    if (unanswered(readClock()))
        reportEnd(quarantine::ReportKind::Unanswered);
    dropUpstream();
    finishAttempt();
    log("client gone", 0, {});
}

void Call::serverLost(const ServerId& server)
{
    if (m_done || server != m_server || !m_state.streaming || !m_state.retryable)
        return;
    reportEnd(quarantine::ReportKind::Unanswered);
    endAttempt(AttemptOutcome::Stalled, "the server's group is lost");
}

void Call::tick(Instant now)
{
    if (m_done)
        return;
    if (now >= m_state.deadline) {
        const auto step = dispatch::deadlineStep(m_state, m_upstream != nullptr);
        if (unanswered(now))
            reportEnd(quarantine::ReportKind::Unanswered);
        dropUpstream();
        finishAttempt();
        if (step == Step::Abort)
            return giveUp(step, "deadline");
        return refuse(step == Step::Refuse ? 503 : 504, "deadline", {});
    }
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
    const auto silent = now - m_lastBytesAt;
    const auto serverSilent = now - m_proxy.m_balancer.lastProgress(m_server);
    if (m_state.streaming && silent >= suspiciousSilence && serverSilent >= suspiciousSilence && m_proxy.m_stallHandler)
        m_proxy.m_stallHandler(m_server);
    const bool stalled = m_state.streaming
        ? (silent >= (m_streaming ? serverStall : firstEventStall) && serverSilent >= serverStall)
            || (m_streaming && silent >= streamStall)
        : silent >= lookupStall;
    if (!stalled)
        return;
    m_proxy.m_balancer.failed(m_server, now);
    m_state.quarantined = isRefused();
    // Without another server to go on with, waiting is better than giving up.
    if (dispatch::nextStep(m_state, AttemptOutcome::Stalled,
            m_proxy.budget(m_service->name).available(now, m_proxy.m_balancer.reportedEntryVms()), now)
        == Step::TryNext)
        endAttempt(AttemptOutcome::Stalled, "silent for " + std::to_string(silent / 1ms) + " ms");
}

void Call::log(std::string_view outcome, unsigned status, std::string_view why)
{
    const auto now = readClock();
    m_proxy.m_total.add(now - m_startedAt);
    if (m_eventCount > 0)
        m_proxy.m_firstByte.add(m_firstEventAt - m_startedAt);
    const auto age = [&](Instant it) { return std::to_string((it - m_startedAt) / 1ms); };
    writeDecision("call", outcome,
        { { "request", m_attemptId }, { "route", m_route ? m_route->name : std::string {} },
            { "account", m_account ? m_account->id.text() : std::string {} }, { "model", m_model.text() },
            { "status", std::to_string(status) }, { "why", std::string(why) },
            { "server", m_tried.empty() ? std::string {} : m_tried.back().text() },
            { "attempts", std::to_string(m_tried.size()) }, { "load", formatNumber(m_chosenLoad) },
            { "candidates", std::to_string(m_candidates) }, { "fingerprint", formatFingerprint(m_fingerprint) },
            { "document", std::to_string(m_table ? m_table->document().version : 0) },
            { "first_event_ms", m_eventCount > 0 ? age(m_firstEventAt) : std::string {} }, { "ms", age(now) } });
}

} // namespace rosemarymill::runtime::proxy
