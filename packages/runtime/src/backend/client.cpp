#include <rosemarymill/runtime/backend/client.hpp>

#include <rosemarymill/runtime/backend/sse_parser.hpp>
#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/base/log.hpp>
#include <rosemarymill/runtime/base/reset_on_close.hpp>
#include <rosemarymill/runtime/base/response_head.hpp>
#include <rosemarymill/runtime/base/response_watchdog.hpp>

#include <nlohmann/json.hpp>

#include <array>

#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>

namespace rosemarymill::runtime::backend {

namespace {

const char* nameOf(node::AttemptError error) noexcept
{
    constexpr std::array<const char*, 6> names { "connection not established", "connection lost", "no progress in time",
        "response to another request", "malformed response", "response too large" };
    return names[static_cast<std::size_t>(error)];
}

/// Timeout for the response to a cancellation, equal to orderTimeout.
constexpr Duration cancelTimeout = 5s;

} // namespace

namespace detail {

/// One attempt: its request, its connection and the state of its response.
struct Exchange {
    Client* client { nullptr };
    AttemptId id;
    std::string address;
    HttpConnectionHandle connection;
    std::optional<ResponseWatchdog> watchdog;
    evhttp_request* request { nullptr };
    SseParser parser;
    BufferHandle body { evbuffer_new() };
    std::string contentType;
    int status { 0 };
    bool stream { false };
    bool finished { false };
    bool failed { false };
    bool captureAnswer { false };
    /// Set with the response head or by the error callback, which evhttp calls only once the connection is established.
    bool connected { false };
    /// Body size in bytes at which the response has made progress again.
    std::size_t nextProgress { bodyProgressBytes };
    node::AttemptError error { node::AttemptError::ConnectFailed };

    [[nodiscard]] bool registered() const { return client->m_exchanges.contains(id); }

    /// Fails the attempt and closes its connection, from which evhttp would otherwise continue to read.
    void fail(node::AttemptError why)
    {
        failed = true;
        writeDecision("backend", "ended attempt",
            { { "attempt", std::to_string(id.value) }, { "server", address }, { "why", nameOf(why) } });
        client->fail(id, why, true);
        client->finish(id, false);
    }

    static void onFault(ResponseWatchdog::Fault fault, void* arg)
    {
        auto& it = *static_cast<Exchange*>(arg);
        if (it.failed)
            return;
        // Bytes after the end of a stream belong to no request.
        if (it.finished)
            return it.client->finish(it.id, false);
        if (fault == ResponseWatchdog::Fault::NoProgress)
            return it.fail(node::AttemptError::TimedOut);
        it.fail(it.status != 0 && !it.stream ? node::AttemptError::ResponseTooLarge
                                             : node::AttemptError::MalformedResponse);
    }

    /// Returns false to close the connection.
    bool readHead()
    {
        if (!isValidHead(*request)) {
            connected = true;
            error = node::AttemptError::MalformedResponse;
            return false;
        }
        const auto* headers = evhttp_request_get_input_headers(request);
        const auto* responseId = evhttp_find_header(headers, "X-Request-Id");
        connected = true;
        if (!responseId || client->requestIdOf(id) != responseId) {
            error = node::AttemptError::MismatchedResponse;
            return false;
        }
        status = evhttp_request_get_response_code(request);
        const auto* type = evhttp_find_header(headers, "Content-Type");
        contentType = type ? type : "application/octet-stream";
        stream = contentType.starts_with("text/event-stream");
        watchdog->rearm(stream ? maxEventBytes : maxResponseBytes, client->m_progressTimeout);
        client->m_post(node::ResponseStarted { readClock(), id, status, stream });
        return true;
    }

    bool receive(const SseEvent& event)
    {
        if (finished)
            return false;
        if (event.empty)
            return true;
        if (event.done) {
            finished = true;
            watchdog->rearm(maxResponseHeadBytes, client->m_progressTimeout);
            client->m_post(node::ResponseFinished { readClock(), id });
            return false;
        }
        if (!event.id) {
            fail(node::AttemptError::MalformedResponse);
            return false;
        }
        watchdog->rearm(maxEventBytes, client->m_progressTimeout);
        client->m_currentAttempt = id;
        client->m_currentToken = event.bytes;
        client->m_post(
            node::TokenReceived { readClock(), id, *event.id, static_cast<std::uint32_t>(event.bytes.size()) });
        client->m_currentAttempt = {};
        return registered();
    }

    void readBody()
    {
        auto* input = evhttp_request_get_input_buffer(request);
        if (finished || failed)
            return;
        if (!stream) {
            // Copies the bytes: moving the input's segments would keep a memory block for each chunk, however small.
            const auto added = evbuffer_get_length(input);
            evbuffer_add(body.get(), evbuffer_pullup(input, -1), added);
            evbuffer_drain(input, added);
            const auto size = evbuffer_get_length(body.get());
            if (size > maxResponseBytes)
                return fail(node::AttemptError::ResponseTooLarge);
            if (size >= nextProgress) {
                nextProgress = size + bodyProgressBytes;
                watchdog->rearm(maxResponseBytes - size, client->m_progressTimeout);
            }
            return;
        }
        const auto size = evbuffer_get_length(input);
        const std::string_view bytes { reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), size };
        const bool fed = parser.feed(bytes, [this](const SseEvent& event) { return receive(event); });
        if (!fed && !finished && !failed && registered())
            fail(node::AttemptError::MalformedResponse);
    }

    /// Copy of the response for the ledger; none if the body is longer than ledger::maxKeptBodyBytes.
    [[nodiscard]] std::optional<ledger::Answer> captured() const
    {
        const auto size = evbuffer_get_length(body.get());
        if (size > ledger::maxKeptBodyBytes)
            return std::nullopt;
        ledger::Answer answer { status, contentType, std::string(size, '\0') };
        evbuffer_copyout(body.get(), answer.body.data(), size);
        return answer;
    }

    void ended(bool complete)
    {
        request = nullptr;
        if (complete && !stream && !finished && !failed) {
            finished = true;
            client->m_post(node::ResponseFinished { readClock(), id, captureAnswer ? captured() : std::nullopt });
        }
        if (!finished && !failed)
            client->fail(id, complete ? node::AttemptError::ConnectionLost : error, connected);
        client->finish(id, complete && !failed);
    }
};

namespace {

Exchange& exchangeOf(void* arg) { return *static_cast<Exchange*>(arg); }

int onHead(evhttp_request*, void* arg) { return exchangeOf(arg).readHead() ? 0 : -1; }

void onBody(evhttp_request*, void* arg) { exchangeOf(arg).readBody(); }

void onEnd(evhttp_request* request, void* arg)
{
    exchangeOf(arg).ended(request != nullptr && evhttp_request_get_response_code(request) != 0);
}

void onError(evhttp_request_error error, void* arg)
{
    auto& exchange = exchangeOf(arg);
    exchange.connected = true;
    if (exchange.error != node::AttemptError::ConnectFailed)
        return;
    switch (error) {
    case EVREQ_HTTP_TIMEOUT:
        exchange.error = node::AttemptError::TimedOut;
        break;
    case EVREQ_HTTP_INVALID_HEADER:
        exchange.error = node::AttemptError::MalformedResponse;
        break;
    case EVREQ_HTTP_DATA_TOO_LONG:
        exchange.error = node::AttemptError::ResponseTooLarge;
        break;
    default:
        exchange.error = node::AttemptError::ConnectionLost;
        break;
    }
}

void addHeader(evhttp_request* request, const char* name, const std::string& value)
{
    if (!value.empty())
        evhttp_add_header(evhttp_request_get_output_headers(request), name, value.c_str());
}

} // namespace

} // namespace detail

Client::Client(event_base* base, ConnectionPool& pool, PostEvent post, RequestLookup findRequest, std::string idPrefix,
    Duration progressTimeout)
    : m_base(base)
    , m_pool(pool)
    , m_post(std::move(post))
    , m_findRequest(std::move(findRequest))
    , m_idPrefix(std::move(idPrefix))
    , m_progressTimeout(progressTimeout)
    , m_cleanUp(event_new(
          base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<Client*>(self)->m_disposed.clear(); },
          this))
{
}

Client::~Client() = default;

std::string Client::requestIdOf(AttemptId attempt) const { return m_idPrefix + "-" + std::to_string(attempt.value); }

void Client::addHeaders(evhttp_request* request, const node::Dispatch& effect, const OutgoingRequest& outgoing) const
{
    detail::addHeader(request, "Host", effect.address);
    detail::addHeader(request, "Content-Type", outgoing.contentType);
    detail::addHeader(request, "Accept", outgoing.accept);
    detail::addHeader(request, "Idempotency-Key", outgoing.idempotencyKey);
    detail::addHeader(request, "traceparent", outgoing.traceparent);
    detail::addHeader(request, "X-Request-Id", requestIdOf(effect.attempt));
    if (effect.resumeFrom > 0)
        detail::addHeader(request, "X-Resume-From", std::to_string(effect.resumeFrom));
    if (effect.group) {
        detail::addHeader(request, "X-Group", std::to_string(effect.group.value));
        detail::addHeader(request, "X-Fencing", std::to_string(effect.fencing.value));
    }
}

void Client::dispatch(const node::Dispatch& effect)
{
    const auto* outgoing = m_findRequest(effect.call);
    auto connection = outgoing ? m_pool.take(effect.address) : nullptr;
    if (!connection) {
        fail(effect.attempt, node::AttemptError::ConnectFailed, false);
        return;
    }
    auto exchange = std::make_unique<detail::Exchange>();
    auto* it = exchange.get();
    it->client = this;
    it->id = effect.attempt;
    it->address = effect.address;
    it->captureAnswer = effect.captureAnswer;
    it->connection = std::move(connection);
    it->watchdog.emplace(m_base, it->connection.get(), &detail::Exchange::onFault, it);
    it->watchdog->rearm(maxResponseHeadBytes, m_progressTimeout);
    it->request = evhttp_request_new(detail::onEnd, it);
    evhttp_request_set_header_cb(it->request, detail::onHead);
    evhttp_request_set_chunked_cb(it->request, detail::onBody);
    evhttp_request_set_error_cb(it->request, detail::onError);
    addHeaders(it->request, effect, *outgoing);
    evbuffer_add(evhttp_request_get_output_buffer(it->request), outgoing->body.data(), outgoing->body.size());
    m_exchanges.emplace(effect.attempt, std::move(exchange));
    auto* request = it->request;
    if (evhttp_make_request(it->connection.get(), request, outgoing->method, outgoing->target.c_str()) != 0) {
        // evhttp has freed the request and calls none of its callbacks.
        it->request = nullptr;
        fail(effect.attempt, node::AttemptError::ConnectFailed, false);
        finish(effect.attempt, false);
    }
}

void Client::cancel(const node::CancelAttempt& effect)
{
    const auto it = m_exchanges.find(effect.attempt);
    if (it == m_exchanges.end())
        return;
    auto exchange = std::move(it->second);
    m_exchanges.erase(it);
    if (effect.notifyServer)
        sendCancel(exchange->address, effect.attempt);
    dispose(std::move(exchange));
}

void Client::setReading(const node::SetReading& effect)
{
    const auto it = m_exchanges.find(effect.attempt);
    if (it == m_exchanges.end())
        return;
    auto* bev = evhttp_connection_get_bufferevent(it->second->connection.get());
    if (effect.enabled)
        bufferevent_enable(bev, EV_READ);
    else
        bufferevent_disable(bev, EV_READ);
}

std::string_view Client::currentToken(AttemptId attempt) const noexcept
{
    return attempt == m_currentAttempt ? m_currentToken : std::string_view {};
}

BufferedResponse Client::answer(AttemptId attempt) noexcept
{
    const auto it = m_exchanges.find(attempt);
    if (it == m_exchanges.end())
        return {};
    return { it->second->status, it->second->contentType, it->second->body.get() };
}

void Client::fail(AttemptId attempt, node::AttemptError error, bool requestSent)
{
    m_post(node::AttemptFailed { readClock(), attempt, error, requestSent });
}

void Client::finish(AttemptId attempt, bool reuseConnection)
{
    const auto it = m_exchanges.find(attempt);
    if (it == m_exchanges.end())
        return;
    auto exchange = std::move(it->second);
    m_exchanges.erase(it);
    if (reuseConnection)
        exchange->watchdog.reset();
    if (reuseConnection)
        m_pool.put(exchange->address, std::move(exchange->connection));
    dispose(std::move(exchange));
}

void Client::dispose(std::unique_ptr<detail::Exchange> exchange)
{
    // The connection owns a request in progress and frees it. Both are freed outside of their own callbacks.
    exchange->finished = true;
    if (exchange->connection) {
        bufferevent_disable(evhttp_connection_get_bufferevent(exchange->connection.get()), EV_READ | EV_WRITE);
        resetOnClose(exchange->connection.get());
    }
    m_disposed.push_back(std::move(exchange));
    event_active(m_cleanUp.get(), EV_TIMEOUT, 0);
}

void Client::sendCancel(const std::string& address, AttemptId attempt)
{
    auto connection = m_pool.take(address);
    if (!connection)
        return;
    struct Cancel {
        ConnectionPool& pool;
        std::string address;
        HttpConnectionHandle connection;
        std::optional<ResponseWatchdog> watchdog {};
    };
    auto* cancel = new Cancel { m_pool, address, std::move(connection) };
    cancel->watchdog.emplace(
        m_base, cancel->connection.get(),
        [](ResponseWatchdog::Fault fault, void* arg) {
            const std::unique_ptr<Cancel> unanswered(static_cast<Cancel*>(arg));
            writeDecision("backend", "stopped waiting for cancellation response",
                { { "server", unanswered->address }, { "why", std::string(nameOf(fault)) } });
        },
        cancel);
    cancel->watchdog->rearm(maxResponseHeadBytes, cancelTimeout);
    auto* request = evhttp_request_new(
        [](evhttp_request* response, void* arg) {
            const std::unique_ptr<Cancel> done(static_cast<Cancel*>(arg));
            done->watchdog.reset();
            if (response && evhttp_request_get_response_code(response) != 0)
                done->pool.put(done->address, std::move(done->connection));
            else
                done->pool.discard(std::move(done->connection));
        },
        cancel);
    evhttp_request_set_header_cb(request, rejectInvalidHead);
    const nlohmann::json document { { "request_id", requestIdOf(attempt) } };
    const auto text = document.dump();
    detail::addHeader(request, "Host", address);
    detail::addHeader(request, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(request), text.data(), text.size());
    if (evhttp_make_request(cancel->connection.get(), request, EVHTTP_REQ_POST, "/v1/cancel") != 0) {
        cancel->watchdog.reset();
        m_pool.discard(std::move(cancel->connection));
        delete cancel;
    }
}

} // namespace rosemarymill::runtime::backend
