#include <rosemarymill/runtime/nodes/server_client.hpp>

#include <rosemarymill/runtime/base/address.hpp>
#include <rosemarymill/runtime/base/log.hpp>
#include <rosemarymill/runtime/base/reset_on_close.hpp>
#include <rosemarymill/runtime/base/response_head.hpp>
#include <rosemarymill/runtime/base/response_watchdog.hpp>

#include <cerrno>

#include <event2/http_struct.h>

namespace rosemarymill::runtime::nodes {

namespace {

/// Maximum size in bytes of an answer including its headers. Only the status is used; reports of servers are below
/// 1 KiB.
constexpr std::size_t maxReplyBytes = 64 * 1024;

timeval toTimeval(Duration it)
{
    constexpr std::int64_t microseconds = 1'000'000;
    return { static_cast<time_t>(it.count() / microseconds), static_cast<suseconds_t>(it.count() % microseconds) };
}

evhttp_cmd_type commandOf(const std::string& method) { return method == "GET" ? EVHTTP_REQ_GET : EVHTTP_REQ_POST; }

} // namespace

struct ServerClient::Pending {
    ServerClient& client;
    std::string address;
    HttpConnectionHandle connection;
    std::unique_ptr<ResponseWatchdog> watchdog;
    Handler handler;
    /// Limits the whole exchange. The connection has no shorter timeout of its own: evhttp would then close it without
    /// a reset, and unsent bytes of the request could still be delivered.
    EventHandle timer;
    bool finished { false };
};

ServerClient::ServerClient(event_base* base)
    : m_base(base)
    , m_cleanUp(event_new(
          base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<ServerClient*>(self)->m_done.clear(); },
          this))
{
}

ServerClient::~ServerClient()
{
    // Freed connections call their callbacks, which must not call handlers any more.
    for (auto& [key, pending] : m_pending)
        pending->finished = true;
}

void ServerClient::send(const std::string& address, const ServerRequest& request, Duration timeout, Handler handler)
{
    auto pending
        = std::make_unique<Pending>(Pending { *this, address, nullptr, nullptr, std::move(handler), nullptr, false });
    auto* it = pending.get();
    m_pending.emplace(it, std::move(pending));
    it->timer.reset(event_new(
        m_base, -1, 0,
        [](evutil_socket_t, short, void* arg) {
            auto& expired = *static_cast<Pending*>(arg);
            expired.client.finish(expired, {});
        },
        it));
    const auto limit = toTimeval(timeout);
    event_add(it->timer.get(), &limit);
    const auto parsed = parseAddress(address);
    if (!parsed) {
        event_active(it->timer.get(), EV_TIMEOUT, 0);
        return;
    }
    it->connection.reset(
        evhttp_connection_base_new(m_base, nullptr, formatIp(parsed.value()).c_str(), portOf(parsed.value())));
    it->watchdog = std::make_unique<ResponseWatchdog>(
        m_base, it->connection.get(),
        [](ResponseWatchdog::Fault fault, void* arg) {
            auto& failed = *static_cast<Pending*>(arg);
            writeLog(node::LogLevel::Warning, "fleet",
                "Cancelled request to " + failed.address + ": " + std::string(nameOf(fault)) + ".");
            failed.client.finish(failed, {});
        },
        it);
    it->watchdog->rearm(maxReplyBytes);
    auto* message = evhttp_request_new(
        [](evhttp_request* answer, void* arg) {
            auto& done = *static_cast<Pending*>(arg);
            const auto error = EVUTIL_SOCKET_ERROR();
            const auto status = answer ? evhttp_request_get_response_code(answer) : 0;
            done.client.finish(done, { static_cast<unsigned>(status), status == 0 && error == ECONNREFUSED });
        },
        it);
    evhttp_request_set_header_cb(message, rejectInvalidHead);
    auto* headers = evhttp_request_get_output_headers(message);
    evhttp_add_header(headers, "Host", address.c_str());
    evhttp_add_header(headers, "Connection", "close");
    for (const auto& [name, value] : request.headers)
        evhttp_add_header(headers, name.c_str(), value.c_str());
    if (!request.body.empty()) {
        evhttp_add_header(headers, "Content-Type", "application/json");
        evbuffer_add(evhttp_request_get_output_buffer(message), request.body.data(), request.body.size());
    }
    if (evhttp_make_request(it->connection.get(), message, commandOf(request.method), request.path.c_str()) != 0)
        event_active(it->timer.get(), EV_TIMEOUT, 0);
}

void ServerClient::finish(Pending& pending, const ServerAnswer& answer)
{
    if (pending.finished)
        return;
    pending.finished = true;
    pending.watchdog.reset();
    resetOnClose(pending.connection.get());
    const auto it = m_pending.find(&pending);
    m_done.push_back(std::move(it->second));
    m_pending.erase(it);
    event_active(m_cleanUp.get(), EV_TIMEOUT, 0);
    pending.handler(answer);
}

} // namespace rosemarymill::runtime::nodes
