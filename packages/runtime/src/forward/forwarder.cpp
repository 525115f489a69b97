#include <rosemarymill/runtime/forward/forwarder.hpp>

#include <rosemarymill/runtime/base/clock.hpp>

#include <utility>
#include <vector>

namespace rosemarymill::runtime::forward {

namespace {

using namespace wire::forward;

// Ids of forwarded calls start here, so that they never collide with the ids of calls from local callers.
constexpr std::uint64_t firstForwardedCallId = std::uint64_t { 1 } << 62;
constexpr timeval tickInterval { 1, 0 };
// Any backlog above the core's high water mark pauses the stream.
constexpr std::uint64_t pausedBacklogBytes = 64 * 1024 + 1;

} // namespace

Forwarder::Forwarder(event_base* base, PeerLinks& links, const node::Settings& self, std::string replyAddress,
    PostEvent post, backend::RequestLookup findOutgoingRequest, CallRequestLookup findCallRequest)
    : m_links(links)
    , m_boot(self.bootId)
    , m_replyAddress(std::move(replyAddress))
    , m_post(std::move(post))
    , m_findOutgoingRequest(std::move(findOutgoingRequest))
    , m_findCallRequest(std::move(findCallRequest))
    , m_timer(event_new(
          base, -1, EV_PERSIST, [](evutil_socket_t, short, void* it) { static_cast<Forwarder*>(it)->tick(); }, this))
    , m_lastCallId { firstForwardedCallId }
{
    event_add(m_timer.get(), &tickInterval);
    links.onForward([this](const VmId& from, std::span<const std::byte> payload) { return receive(from, payload); });
    links.onLost([this](const VmId& vm) { peerLost(vm); });
}

Forwarder::~Forwarder()
{
    m_links.onForward({});
    m_links.onLost({});
}

bool Forwarder::send(const VmId& to, const std::string& address, Message&& message)
{
    wire::Buffer payload;
    encode(message, payload);
    return m_links.send(to, address, wire::FrameKind::Forward, payload);
}

bool Forwarder::receive(const VmId& from, std::span<const std::byte> payload)
{
    auto message = decode(payload);
    if (!message)
        return false;
    std::visit([&](auto&& it) { handle(from, message.value().originBoot, std::forward<decltype(it)>(it)); },
        std::move(message.value().body));
    return true;
}

// Origin.

void Forwarder::forward(const node::ForwardCall& effect)
{
    const auto* outgoing = m_findOutgoingRequest(effect.call);
    const auto callRequest = m_findCallRequest(effect.call);
    bool sent = false;
    if (outgoing && callRequest)
        sent = send(effect.vm, effect.address,
            { m_boot,
                Open { effect.attempt, m_replyAddress, effect.resumeFrom, *callRequest,
                    static_cast<std::uint32_t>(outgoing->method), outgoing->target, outgoing->contentType,
                    outgoing->accept, outgoing->body } });
    if (!sent) {
        m_post(node::AttemptFailed { readClock(), effect.attempt, node::AttemptError::ConnectFailed, false });
        return;
    }
    m_attempts[effect.attempt]
        = { effect.vm, effect.address, 0, {}, BufferHandle(evbuffer_new()), effect.captureAnswer };
    m_servers.try_emplace(effect.vm, Server { readClock(), readClock() });
}

void Forwarder::cancel(const node::CancelAttempt& effect)
{
    const auto it = m_attempts.find(effect.attempt);
    if (it == m_attempts.end())
        return;
    const auto attempt = std::move(it->second);
    m_attempts.erase(it);
    if (effect.notifyServer)
        (void)send(attempt.server, attempt.address, { m_boot, Cancel { effect.attempt } });
}

void Forwarder::setReading(const node::SetReading& effect)
{
    if (const auto it = m_attempts.find(effect.attempt); it != m_attempts.end())
        (void)send(it->second.server, it->second.address, { m_boot, Flow { effect.attempt, effect.enabled } });
}

backend::BufferedResponse Forwarder::answer(AttemptId attempt) noexcept
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end())
        return {};
    return { it->second.status, it->second.contentType, it->second.body.get() };
}

Forwarder::Attempt* Forwarder::attemptOf(const VmId& from, const BootId& boot, AttemptId id)
{
    const auto it = m_attempts.find(id);
    if (boot != m_boot || it == m_attempts.end() || it->second.server != from)
        return nullptr;
    m_servers[from].lastReceivedAt = readClock();
    return &it->second;
}

void Forwarder::handle(const VmId& from, const BootId& boot, const Alive&)
{
    if (const auto it = m_servers.find(from); boot == m_boot && it != m_servers.end())
        it->second.lastReceivedAt = readClock();
}

void Forwarder::handle(const VmId& from, const BootId& boot, Head&& message)
{
    auto* attempt = attemptOf(from, boot, message.attempt);
    if (!attempt)
        return;
    attempt->status = message.status;
    attempt->contentType = std::move(message.contentType);
    m_post(node::ResponseStarted { readClock(), message.attempt, message.status, message.stream });
}

void Forwarder::handle(const VmId& from, const BootId& boot, const Chunk& message)
{
    if (!attemptOf(from, boot, message.attempt))
        return;
    m_currentToken = message.bytes;
    m_post(node::TokenReceived {
        readClock(), message.attempt, message.index, static_cast<std::uint32_t>(message.bytes.size()) });
    m_currentToken = {};
}

void Forwarder::handle(const VmId& from, const BootId& boot, const Close& message)
{
    auto* attempt = attemptOf(from, boot, message.attempt);
    if (!attempt)
        return;
    if (!message.complete) {
        failAttempt(message.attempt, message.mayHaveRun);
        return;
    }
    evbuffer_add(attempt->body.get(), message.body.data(), message.body.size());
    std::optional<ledger::Answer> captured;
    if (attempt->captureAnswer && message.body.size() <= ledger::maxKeptBodyBytes)
        captured = ledger::Answer { attempt->status, attempt->contentType, message.body };
    m_post(node::ResponseFinished { readClock(), message.attempt, std::move(captured) });
    m_attempts.erase(message.attempt);
}

void Forwarder::failAttempt(AttemptId id, bool mayHaveRun)
{
    m_attempts.erase(id);
    const auto error = mayHaveRun ? node::AttemptError::ConnectionLost : node::AttemptError::ConnectFailed;
    m_post(node::AttemptFailed { readClock(), id, error, mayHaveRun });
}

void Forwarder::failAttemptsAt(const VmId& server)
{
    std::vector<AttemptId> failed;
    for (const auto& [id, attempt] : m_attempts) {
        if (attempt.server == server)
            failed.push_back(id);
    }
    m_servers.erase(server);
    // The request may have arrived before the link broke.
    for (const auto id : failed)
        failAttempt(id, true);
}

// Server.

const backend::OutgoingRequest* Forwarder::find(CallId call) const
{
    const auto it = m_calls.find(call);
    return it == m_calls.end() ? nullptr : &it->second.request;
}

void Forwarder::handle(const VmId& from, const BootId& boot, Open&& message)
{
    const Key key { from, boot, message.attempt };
    if (m_callsByKey.contains(key))
        return;
    m_lastCallId = m_lastCallId.next();
    backend::OutgoingRequest request { static_cast<evhttp_cmd_type>(message.httpMethod), std::move(message.httpTarget),
        std::move(message.contentType), std::move(message.accept), message.request.idempotencyKey,
        message.request.traceparent, std::move(message.body) };
    m_calls[m_lastCallId] = { key, std::move(message.replyAddress), std::move(request), message.resumeFrom, 0, false };
    m_callsByKey[key] = m_lastCallId;
    m_post(node::CallArrived { readClock(), m_lastCallId, std::move(message.request) });
}

void Forwarder::handle(const VmId& from, const BootId& boot, const Cancel& message)
{
    if (const auto it = m_callsByKey.find({ from, boot, message.attempt }); it != m_callsByKey.end())
        cancelCall(it->second);
}

void Forwarder::handle(const VmId& from, const BootId& boot, const Flow& message)
{
    const auto it = m_callsByKey.find({ from, boot, message.attempt });
    if (it == m_callsByKey.end())
        return;
    auto& call = m_calls.at(it->second);
    call.paused = !message.reading;
    reportBacklog(it->second, call);
}

void Forwarder::handle(const VmId& from, const BootId& boot, const Check& message)
{
    (void)send(from, message.replyAddress, { boot, Alive {} });
    for (const auto attempt : message.attempts) {
        if (!m_callsByKey.contains({ from, boot, attempt }))
            (void)send(from, message.replyAddress, { boot, Close { attempt, false, true, {} } });
    }
}

bool Forwarder::reply(const Call& call, decltype(Message::body)&& body)
{
    const auto& [vm, boot, attempt] = call.key;
    return send(vm, call.replyAddress, { boot, std::move(body) });
}

void Forwarder::end(std::unordered_map<CallId, Call>::iterator call)
{
    m_callsByKey.erase(call->second.key);
    m_calls.erase(call);
}

void Forwarder::cancelCall(CallId id)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    end(it);
    m_post(node::CallerGone { readClock(), id });
}

void Forwarder::begin(const node::BeginResponse& effect)
{
    const auto it = m_calls.find(effect.call);
    if (it == m_calls.end())
        return;
    it->second.begun = true;
    const auto attempt = std::get<AttemptId>(it->second.key);
    if (!reply(it->second, Head { attempt, effect.status, effect.stream, "text/event-stream" }))
        cancelCall(effect.call);
}

void Forwarder::append(CallId call, std::string_view token)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end())
        return;
    // The core forwards token events without gaps, starting at index 0.
    const auto index = it->second.nextToken++;
    reportBacklog(call, it->second);
    if (index < it->second.resumeFrom)
        return;
    // A stream with a gap must not continue. The origin's next Check is answered with Close for this attempt.
    if (!reply(it->second, Chunk { std::get<AttemptId>(it->second.key), index, std::string(token) }))
        cancelCall(call);
}

/// Reports to the core that all tokens so far were handed to the link. For a paused stream the reported backlog is
/// above the high water mark, so that the core stops reading from the backend server.
void Forwarder::reportBacklog(CallId id, const Call& call)
{
    m_post(node::CallerBacklogChanged { readClock(), id, call.nextToken, call.paused ? pausedBacklogBytes : 0 });
}

void Forwarder::finish(CallId call, const backend::BufferedResponse& answer)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end())
        return;
    const auto attempt = std::get<AttemptId>(it->second.key);
    Close close { attempt, true, true, {} };
    if (!it->second.begun) {
        const auto size = answer.body ? evbuffer_get_length(answer.body) : 0;
        if (size <= maxForwardedResponseBytes) {
            close.body.resize(size);
            if (size > 0)
                evbuffer_copyout(answer.body, close.body.data(), size);
            (void)reply(it->second, Head { attempt, answer.status, false, answer.contentType });
        } else {
            close.complete = false;
        }
    }
    (void)reply(it->second, std::move(close));
    end(it);
}

void Forwarder::answer(const node::AnswerCall& effect)
{
    const auto it = m_calls.find(effect.call);
    if (it == m_calls.end())
        return;
    const auto attempt = std::get<AttemptId>(it->second.key);
    (void)reply(it->second, Head { attempt, effect.status, false, effect.contentType });
    (void)reply(it->second, Close { attempt, true, true, effect.body });
    end(it);
}

void Forwarder::refuse(const node::RefuseCall& effect)
{
    const auto it = m_calls.find(effect.call);
    if (it == m_calls.end())
        return;
    const bool mayHaveRun = effect.refusal.outcome != call::Outcome::NotRun;
    (void)reply(it->second, Close { std::get<AttemptId>(it->second.key), false, mayHaveRun, {} });
    end(it);
}

// Both.

void Forwarder::peerLost(const VmId& vm)
{
    failAttemptsAt(vm);
    std::vector<CallId> cancelled;
    for (const auto& [id, call] : m_calls) {
        if (std::get<VmId>(call.key) == vm)
            cancelled.push_back(id);
    }
    for (const auto id : cancelled)
        cancelCall(id);
}

void Forwarder::tick()
{
    const auto now = readClock();
    std::map<VmId, Check> checks;
    std::map<VmId, std::string> addresses;
    for (const auto& [id, attempt] : m_attempts) {
        auto& check = checks[attempt.server];
        check.replyAddress = m_replyAddress;
        check.attempts.push_back(id);
        addresses[attempt.server] = attempt.address;
    }
    std::erase_if(m_servers, [&](const auto& entry) { return !checks.contains(entry.first); });
    for (auto& [vm, check] : checks) {
        auto& server = m_servers[vm];
        if (now - server.lastReceivedAt > serverTimeout) {
            failAttemptsAt(vm);
        } else if (now - server.lastCheckAt >= checkInterval) {
            server.lastCheckAt = now;
            (void)send(vm, addresses[vm], { m_boot, std::move(check) });
        }
    }
}

} // namespace rosemarymill::runtime::forward
