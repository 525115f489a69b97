#include <rosemarymill/runtime/http/server.hpp>

#include <rosemarymill/runtime/base/log.hpp>
#include <rosemarymill/runtime/base/reset_on_close.hpp>
#include <rosemarymill/runtime/http/problem.hpp>

#include "connection.hpp"
#include "hook.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <stdexcept>

namespace rosemarymill::runtime::http {

namespace detail {

namespace {

Connection& connectionOf(void* arg) { return *static_cast<Connection*>(arg); }

/// Memory in bytes of a connection without a request, with its buffers, its parser and the state of libevhtp: twice the
/// growth of the resident memory by each of 800 connections.
constexpr std::size_t evhtpConnectionBytes = 12 * 1024;

/// Number of headers after which their memory is counted again: counting costs a search of all connections when memory
/// is short, and this many headers take less than an empty connection.
constexpr std::size_t headersPerUpdate = 64;

/// Memory in bytes that libevhtp takes for a header besides its name and value: an evhtp_kv_t of 56 bytes, and up to 24
/// bytes of the allocator for each of three blocks.
constexpr std::size_t headerOverheadBytes = 128;

/// Value of a Content-Length header; 0 if it is missing. libevhtp rejects malformed ones.
std::size_t parseLength(std::string_view text) noexcept
{
    std::size_t length = 0;
    std::from_chars(text.data(), text.data() + text.size(), length);
    return length;
}

evhtp_res onHeader(evhtp_request_t*, evhtp_header_t* header, void* arg)
{
    auto& connection = connectionOf(arg);
    connection.headerBytes += header->klen + header->vlen;
    if (connection.headerCount++ % headersPerUpdate == 0) {
        connection.slot.closeOthers();
        connection.updateUsage();
    }
    if (connection.headerBytes <= maxHeaderBytes)
        return EVHTP_RES_OK;
    // The hook's error result closes the connection.
    trySend(connection.htp->sock,
        "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    return EVHTP_RES_ERROR;
}

evhtp_res onBody(evhtp_request_t*, evbuffer* buf, void* arg)
{
    connectionOf(arg).appendBody(buf);
    return EVHTP_RES_OK;
}

evhtp_res onHeaders(evhtp_request_t* request, evhtp_headers_t*, void* arg)
{
    auto& connection = connectionOf(arg);
    connection.exchange = std::make_unique<Exchange>(connection, request);
    connection.findHeadEnd(evhtp_header_find(request->headers_in, "Transfer-Encoding") != nullptr);
    return connection.admitBody() ? EVHTP_RES_OK : EVHTP_RES_ERROR;
}

evhtp_res onRequestEnd(evhtp_request_t*, void* arg)
{
    connectionOf(arg).requestEnded();
    return EVHTP_RES_OK;
}

void onTimeout(evutil_socket_t, short, void* arg) { evhtp_connection_free(connectionOf(arg).htp); }

void onInput(evbuffer*, const evbuffer_cb_info* info, void* arg)
{
    if (info->n_added > 0)
        connectionOf(arg).handleReceived(info->n_added);
}

void onOutput(evbuffer*, const evbuffer_cb_info* info, void* arg)
{
    if (info->n_deleted > 0)
        connectionOf(arg).handleSent();
}

} // namespace

Connection::Connection(Server& owner, evhtp_connection_t* connection)
    : server(owner)
    , htp(connection)
    , timer(event_new(owner.m_base, -1, 0, onTimeout, this))
    , slot(owner.m_budget, *this)
{
    evhtp_connection_set_hook(htp, evhtp_hook_on_header, asHook(onHeader), this);
    evhtp_connection_set_hook(htp, evhtp_hook_on_headers, asHook(onHeaders), this);
    evhtp_connection_set_hook(htp, evhtp_hook_on_read, asHook(onBody), this);
    evhtp_connection_set_hook(htp, evhtp_hook_on_request_fini, asHook(onRequestEnd), this);
    auto* bev = evhtp_connection_get_bev(htp);
    evbuffer_add_cb(bufferevent_get_input(bev), onInput, this);
    evbuffer_add_cb(bufferevent_get_output(bev), onOutput, this);
    event_add(timer.get(), &idleTimeout);
    updateUsage();
}

Connection::~Connection()
{
    // libevhtp frees the request only after it has reported the connection's end, so the request is ended here.
    evhtp_connection_unset_hook(htp, evhtp_hook_on_request_fini);
    if (auto* bev = evhtp_connection_get_bev(htp)) {
        evbuffer_remove_cb(bufferevent_get_input(bev), onInput, this);
        evbuffer_remove_cb(bufferevent_get_output(bev), onOutput, this);
    }
    requestEnded();
}

void Connection::handleReceived(std::size_t count)
{
    slot.closeOthers();
    receivedBytes += count;
    if (responding)
        pipelined = true;
    if (!receiving && !responding) {
        receiving = true;
        event_add(timer.get(), &receiveTimeout);
    }
    updateUsage();
}

bool Connection::admitBody()
{
    const auto length = parseLength(exchange->header("Content-Length"));
    if (length > server.m_maxBody)
        exchange->m_tooLarge = true;
    if (exchange->m_tooLarge || server.m_budget.admits(length))
        return true;
    trySend(htp->sock, overloadResponse());
    return false;
}

void Connection::closeForOverload()
{
    // The response to an earlier request must not be mixed with this one.
    if (receiving && evbuffer_get_length(bufferevent_get_output(evhtp_connection_get_bev(htp))) == 0)
        trySend(htp->sock, overloadResponse());
    closeSocket(evhtp_connection_get_bev(htp));
    evhtp_connection_free(htp);
}

void Connection::updateUsage()
{
    using limits::Activity;
    auto* bev = evhtp_connection_get_bev(htp);
    const auto unsent = evbuffer_get_length(bufferevent_get_output(bev));
    auto activity = Activity::Idle;
    if (responding)
        activity = unsent > 0 ? Activity::Streaming : Activity::Executing;
    else if (receiving)
        activity = Activity::Receiving;
    // While a request is executed, its body belongs to the handler.
    const auto body = exchange ? std::max(exchange->m_body.capacity(), responding ? storedBytes : 0) : 0;
    slot.update(activity,
        evhtpConnectionBytes + headerBytes + headerCount * headerOverheadBytes + unsent + body
            + evbuffer_get_length(bufferevent_get_input(bev)));
}

void Connection::findHeadEnd(bool chunked)
{
    constexpr std::string_view emptyLine = "\r\n\r\n";
    auto* input = bufferevent_get_input(evhtp_connection_get_bev(htp));
    const auto found = evbuffer_search(input, emptyLine.data(), emptyLine.size(), nullptr);
    // The buffer contains only the bytes of the last read.
    const auto before = receivedBytes - evbuffer_get_length(input);
    headEnd = chunked || found.pos < 0 ? 0 : before + static_cast<std::size_t>(found.pos) + emptyLine.size();
}

void Connection::appendBody(evbuffer* buf)
{
    slot.closeOthers();
    const auto size = evbuffer_get_length(buf);
    bodyBytes += size;
    if (exchange && !exchange->m_tooLarge && exchange->m_body.size() + size <= server.m_maxBody) {
        const auto begin = exchange->m_body.size();
        exchange->m_body.resize(begin + size);
        evbuffer_copyout(buf, exchange->m_body.data() + begin, size);
    } else if (exchange) {
        exchange->m_tooLarge = true;
        exchange->m_body = {};
    }
    evbuffer_drain(buf, size);
    updateUsage();
}

void Connection::requestComplete(evhtp_request_t* request)
{
    receiving = false;
    responding = true;
    event_del(timer.get());
    if (!exchange)
        exchange = std::make_unique<Exchange>(*this, request);
    pipelined = headEnd > 0 && receivedBytes > headEnd + bodyBytes;
    storedBytes = exchange->m_body.size();
    exchange->m_overloaded = !server.m_budget.admits(storedBytes);
    updateUsage();
}

void Connection::requestEnded()
{
    responding = false;
    receiving = false;
    headerBytes = 0;
    headerCount = 0;
    receivedBytes = 0;
    bodyBytes = 0;
    storedBytes = 0;
    // libevhtp drops a request that is received during a response. Closing the connection makes the client resend it.
    constexpr timeval atOnce { 0, 0 };
    event_add(timer.get(), pipelined ? &atOnce : &idleTimeout);
    const auto ended = std::move(exchange);
    if (evhtp_connection_get_bev(htp))
        updateUsage();
    if (ended && ended->onClosed)
        ended->onClosed();
}

void Connection::handleSent()
{
    updateUsage();
    if (exchange && exchange->onDrained)
        exchange->onDrained();
}

} // namespace detail

Exchange::Exchange(detail::Connection& connection, evhtp_request_t* request)
    : m_connection(connection)
    , m_request(request)
{
}

std::string_view Exchange::method() const noexcept { return htparser_get_methodstr_m(m_request->method); }

std::string_view Exchange::path() const noexcept { return m_request->uri->path->full; }

std::string_view Exchange::query() const noexcept
{
    const auto* raw = reinterpret_cast<const char*>(m_request->uri->query_raw);
    return raw ? std::string_view { raw } : std::string_view {};
}

std::string_view Exchange::header(const char* name) const noexcept
{
    const auto* value = evhtp_header_find(m_request->headers_in, name);
    return value ? std::string_view { value } : std::string_view {};
}

void Exchange::addHeaders(std::string_view contentType, const Headers& headers)
{
    auto* out = m_request->headers_out;
    const std::string type { contentType };
    evhtp_headers_add_header(out, evhtp_header_new("Content-Type", type.c_str(), 0, 1));
    for (const auto& [name, value] : headers)
        evhtp_headers_add_header(out, evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
}

void Exchange::reply(int status, std::string_view contentType, std::string_view body, const Headers& headers)
{
    addHeaders(contentType, headers);
    evbuffer_add(m_request->buffer_out, body.data(), body.size());
    evhtp_send_reply(m_request, static_cast<evhtp_res>(status));
}

void Exchange::reply(int status, std::string_view contentType, evbuffer* body, const Headers& headers)
{
    addHeaders(contentType, headers);
    evbuffer_add_buffer_reference(m_request->buffer_out, body);
    evhtp_send_reply(m_request, static_cast<evhtp_res>(status));
}

void Exchange::begin(int status, std::string_view contentType, const Headers& headers)
{
    addHeaders(contentType, headers);
    // HTTP/1.0 has no chunked encoding: the body ends when the connection is closed.
    m_chunked = m_request->proto != EVHTP_PROTO_10;
    if (m_chunked)
        evhtp_send_reply_chunk_start(m_request, static_cast<evhtp_res>(status));
    else
        evhtp_send_reply_start(m_request, static_cast<evhtp_res>(status));
}

void Exchange::write(evbuffer* buf)
{
    if (m_chunked)
        evhtp_send_reply_chunk(m_request, buf);
    else
        evhtp_send_reply_body(m_request, buf);
}

void Exchange::end()
{
    if (m_chunked)
        evhtp_send_reply_chunk_end(m_request);
    else
        evhtp_send_reply_end(m_request);
}

void Exchange::abort() { evhtp_connection_free(m_connection.htp); }

bool Exchange::clientConnected() const noexcept
{
    char byte = 0;
    const auto n = recv(m_connection.htp->sock, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

std::size_t Exchange::unsentBytes() const noexcept
{
    return evbuffer_get_length(bufferevent_get_output(evhtp_connection_get_bev(m_connection.htp)));
}

namespace {

evhtp_res onConnectionEnd(evhtp_connection_t* connection, void* arg)
{
    auto& connections
        = *static_cast<std::unordered_map<evhtp_connection_t*, std::unique_ptr<detail::Connection>>*>(arg);
    connections.erase(connection);
    return EVHTP_RES_OK;
}

} // namespace

Server::Server(event_base* base, const SocketAddress& address, ConnectionBudget& budget, std::size_t maxBody)
    : m_base(base)
    , m_budget(budget)
    , m_maxBody(maxBody)
    , m_htp(evhtp_new(base, this))
{
    constexpr int backlog = 1024;
    evhtp_enable_flag(m_htp, EVHTP_FLAG_ENABLE_NODELAY);
    evhtp_set_max_body_size(m_htp, maxDiscardedBodyBytes);
    evhtp_set_post_accept_cb(m_htp, onAccept, this);
    evhtp_set_gencb(
        m_htp,
        [](evhtp_request_t* request, void* arg) {
            auto& server = *static_cast<Server*>(arg);
            auto& connection = *server.m_connections.at(request->conn);
            connection.requestComplete(request);
            server.dispatch(*connection.exchange);
        },
        this);
    auto bindAddress = address;
    if (evhtp_bind_sockaddr(m_htp, bindAddress.get(), bindAddress.length, backlog) != 0) {
        evhtp_free(m_htp);
        throw std::runtime_error("the address " + formatAddress(address) + " cannot be bound");
    }
    m_address = localAddress(evconnlistener_get_fd(m_htp->server)).value();
    m_listenerGuard.emplace(base, m_htp->server, m_budget);
    evconnlistener_set_error_cb(m_htp->server, [](evconnlistener*, void* htp) {
        static_cast<Server*>(static_cast<evhtp_t*>(htp)->arg)->m_listenerGuard->acceptFailed();
    });
}

Server::~Server()
{
    while (!m_connections.empty())
        evhtp_connection_free(m_connections.begin()->first);
    evhtp_unbind_socket(m_htp);
    evhtp_free(m_htp);
}

evhtp_res Server::onAccept(evhtp_connection_t* connection, void* server)
{
    auto& self = *static_cast<Server*>(server);
    if (!self.m_budget.makeRoom()) {
        auto* bev = evhtp_connection_get_bev(connection);
        bufferevent_setfd(bev, -1);
        ConnectionBudget::rejectAndClose(connection->sock);
        return EVHTP_RES_ERROR;
    }
    setsockopt(connection->sock, SOL_SOCKET, SO_SNDBUF, &sendBufferBytes, sizeof(sendBufferBytes));
    evhtp_connection_set_hook(
        connection, evhtp_hook_on_connection_fini, detail::asHook(onConnectionEnd), &self.m_connections);
    self.m_connections.emplace(connection, std::make_unique<detail::Connection>(self, connection));
    return EVHTP_RES_OK;
}

void Server::route(std::string method, std::string path, Handler handler)
{
    m_routes.push_back({ std::move(method), std::move(path), std::move(handler) });
}

void Server::dispatch(Exchange& exchange)
{
    if (exchange.m_tooLarge) {
        replyProblem(exchange,
            { 413, "Body too large", "not_run", "the body is longer than " + std::to_string(m_maxBody) + " bytes",
                {} });
        return;
    }
    if (exchange.m_overloaded) {
        writeDecision("limits", "rejected request",
            { { "path", std::string(exchange.path()) }, { "why", "memory" },
                { "bytes", std::to_string(exchange.body().size()) } });
        replyProblem(exchange,
            { 503, "Overloaded", "not_run", "the requests in progress take all of the memory", overloadRetryAfter });
        return;
    }
    const auto path = exchange.path();
    bool pathMatched = false;
    for (const auto& it : m_routes) {
        const bool matches = it.path.ends_with('/') ? path.starts_with(it.path) : path == it.path;
        if (!matches)
            continue;
        pathMatched = true;
        if (it.method.empty() || it.method == exchange.method()) {
            it.handler(exchange);
            return;
        }
    }
    if (pathMatched)
        replyProblem(exchange, { 405, "Method not allowed", "not_run", "the path does not take this method", {} });
    else
        replyProblem(exchange, { 404, "Not found", "not_run", "there is no such path", {} });
}

} // namespace rosemarymill::runtime::http
