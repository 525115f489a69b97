#include <rosemarymill/runtime/caller/listener.hpp>

#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/caller/parse_request.hpp>
#include <rosemarymill/runtime/http/problem.hpp>

#include <deque>

namespace rosemarymill::runtime::caller {

/// One call: the caller's HTTP exchange, the request for backend servers and the buffered tokens of the stream.
struct Listener::Call {
    CallId id;
    http::Exchange* exchange { nullptr };
    backend::OutgoingRequest request;
    BufferHandle buffer { evbuffer_new() };
    /// Sizes of the token events in the buffer.
    std::deque<std::uint32_t> tokens;
    /// Index of the first token in the buffer.
    std::uint64_t firstUnsentToken { 0 };
    /// Last values reported to the core.
    std::uint64_t reportedFirstUnsentToken { 0 };
    std::uint64_t reportedBacklogBytes { 0 };
    bool streaming { false };
    /// The end of the response is written or buffered.
    bool answered { false };
    bool writeScheduled { false };
};

namespace {

http::Problem badRequest(const std::string& detail) { return { 400, "Bad request", "not_run", detail, {} }; }

HttpParts httpPartsOf(http::Exchange& exchange)
{
    return { exchange.method(), exchange.path(), exchange.query(), exchange.body(), exchange.header("Authorization"),
        exchange.header("X-Request-Kind"), exchange.header("Idempotency-Key"), exchange.header("X-Request-Deadline-Ms"),
        exchange.header("traceparent") };
}

evhttp_cmd_type commandOf(std::string_view method) noexcept
{
    if (method == "GET")
        return EVHTTP_REQ_GET;
    if (method == "PUT")
        return EVHTTP_REQ_PUT;
    if (method == "DELETE")
        return EVHTTP_REQ_DELETE;
    if (method == "PATCH")
        return EVHTTP_REQ_PATCH;
    if (method == "HEAD")
        return EVHTTP_REQ_HEAD;
    return EVHTTP_REQ_POST;
}

} // namespace

Listener::Listener(event_base* base, http::Server& server, PostEvent post)
    : m_post(std::move(post))
    , m_flush(event_new(
          base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<Listener*>(self)->flush(); }, this))
{
    const auto model = [this](http::Exchange& exchange) { receiveModelCall(exchange); };
    server.route("POST", "/v1/chat/completions", model);
    server.route("POST", "/v1/completions", model);
    server.route("", "/v1/services/", [this](http::Exchange& exchange) { receiveServiceCall(exchange); });
}

Listener::~Listener()
{
    for (auto& [id, call] : m_calls)
        call->exchange->onClosed = nullptr;
}

void Listener::receiveModelCall(http::Exchange& exchange)
{
    auto parsed = parseModelRequest(httpPartsOf(exchange));
    if (const auto* fault = std::get_if<BadRequest>(&parsed)) {
        http::replyProblem(exchange, badRequest(fault->detail));
        return;
    }
    accept(exchange, std::move(std::get<call::Request>(parsed)), std::string { exchange.path() });
}

void Listener::receiveServiceCall(http::Exchange& exchange)
{
    auto parsed = parseServiceRequest(httpPartsOf(exchange));
    if (const auto* fault = std::get_if<BadRequest>(&parsed)) {
        http::replyProblem(exchange, badRequest(fault->detail));
        return;
    }
    auto& request = std::get<call::Request>(parsed);
    auto target = request.path;
    if (!exchange.query().empty())
        target += "?" + std::string { exchange.query() };
    accept(exchange, std::move(request), std::move(target));
}

void Listener::accept(http::Exchange& exchange, call::Request request, std::string target)
{
    m_lastCallId = m_lastCallId.next();
    auto call = std::make_unique<Call>();
    call->id = m_lastCallId;
    call->exchange = &exchange;
    call->request = { commandOf(exchange.method()), std::move(target), std::string { exchange.header("Content-Type") },
        std::string { exchange.header("Accept") }, request.idempotencyKey, request.traceparent,
        std::move(exchange.body()) };
    exchange.onClosed = [this, id = m_lastCallId] { exchangeClosed(id); };
    m_calls.emplace(m_lastCallId, std::move(call));
    m_post(node::CallArrived { readClock(), m_lastCallId, std::move(request) });
}

const backend::OutgoingRequest* Listener::find(CallId call) const
{
    const auto it = m_calls.find(call);
    return it == m_calls.end() ? nullptr : &it->second->request;
}

void Listener::exchangeClosed(CallId id)
{
    const auto it = m_calls.find(id);
    const bool answered = it->second->answered;
    m_calls.erase(it);
    if (!answered)
        m_post(node::CallerGone { readClock(), id });
}

void Listener::begin(const node::BeginResponse& effect)
{
    const auto it = m_calls.find(effect.call);
    if (it == m_calls.end() || it->second->streaming)
        return;
    auto& call = *it->second;
    call.streaming = true;
    call.exchange->onDrained = [this, &call] { scheduleWrite(call); };
    call.exchange->begin(effect.status, "text/event-stream", { { "Cache-Control", "no-cache" } });
}

void Listener::append(CallId id, std::string_view token)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    auto& call = *it->second;
    evbuffer_add(call.buffer.get(), token.data(), token.size());
    call.tokens.push_back(static_cast<std::uint32_t>(token.size()));
    scheduleWrite(call);
}

void Listener::finish(CallId id, const backend::BufferedResponse& answer)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    auto& call = *it->second;
    call.answered = true;
    if (!call.streaming && !answer.body) {
        http::replyProblem(
            *call.exchange, { 502, "Answer lost", "unknown", "the response body is no longer available", {} });
        return;
    }
    if (!call.streaming) {
        call.exchange->reply(answer.status, answer.contentType, answer.body);
        return;
    }
    append(id, "data: [DONE]\n\n");
}

void Listener::answer(const node::AnswerCall& effect)
{
    const auto it = m_calls.find(effect.call);
    if (it == m_calls.end() || it->second->answered)
        return;
    it->second->answered = true;
    it->second->exchange->reply(effect.status, effect.contentType, effect.body);
}

void Listener::refuse(const node::RefuseCall& effect)
{
    const auto it = m_calls.find(effect.call);
    if (it == m_calls.end() || it->second->answered)
        return;
    auto& call = *it->second;
    const auto problem = http::problemOf(effect.refusal);
    call.answered = true;
    if (call.streaming)
        append(effect.call, "event: error\ndata: " + http::formatProblem(problem) + "\n\n");
    else
        http::replyProblem(*call.exchange, problem);
}

void Listener::scheduleWrite(Call& call)
{
    if (call.writeScheduled)
        return;
    call.writeScheduled = true;
    if (m_callsToWrite.empty())
        event_active(m_flush.get(), EV_TIMEOUT, 0);
    m_callsToWrite.push_back(call.id);
}

void Listener::flush()
{
    const auto callsToWrite = std::move(m_callsToWrite);
    m_callsToWrite.clear();
    for (const auto id : callsToWrite) {
        if (const auto it = m_calls.find(id); it != m_calls.end())
            writePending(*it->second);
    }
}

void Listener::writePending(Call& call)
{
    call.writeScheduled = false;
    std::size_t bytes = 0;
    std::uint64_t movedTokens = 0;
    const auto unsent = call.exchange->unsentBytes();
    while (!call.tokens.empty() && unsent + bytes < writeWindowBytes) {
        bytes += call.tokens.front();
        call.tokens.pop_front();
        ++movedTokens;
    }
    call.firstUnsentToken += movedTokens;
    if (bytes > 0) {
        BufferHandle chunk(evbuffer_new());
        evbuffer_remove_buffer(call.buffer.get(), chunk.get(), bytes);
        call.exchange->write(chunk.get());
    }
    if (call.answered && call.tokens.empty()) {
        call.exchange->onDrained = nullptr;
        call.exchange->end();
        return;
    }
    if (!call.answered)
        reportBacklog(call);
}

void Listener::reportBacklog(Call& call)
{
    const auto bytes = evbuffer_get_length(call.buffer.get()) + call.exchange->unsentBytes();
    if (call.firstUnsentToken == call.reportedFirstUnsentToken && bytes == call.reportedBacklogBytes)
        return;
    call.reportedFirstUnsentToken = call.firstUnsentToken;
    call.reportedBacklogBytes = bytes;
    m_post(node::CallerBacklogChanged { readClock(), call.id, call.firstUnsentToken, bytes });
}

void Listener::suspend(const node::ParkStream& effect)
{
    const auto it = m_calls.find(effect.call);
    if (it == m_calls.end())
        return;
    auto& call = *it->second;
    call.tokens.clear();
    call.tokens.shrink_to_fit();
    // Replacing the buffer releases its memory.
    call.buffer.reset(evbuffer_new());
    reportBacklog(call);
}

} // namespace rosemarymill::runtime::caller
