#include <rosemarymill/ctl/client.hpp>

#include <rosemarymill/core/base/message_head.hpp>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace rosemarymill::ctl {

namespace {

struct FreeUri {
    void operator()(evhttp_uri* it) const noexcept { evhttp_uri_free(it); }
};

struct FreeConnection {
    void operator()(evhttp_connection* it) const noexcept { evhttp_connection_free(it); }
};

struct Pending {
    bool done { false };
    std::optional<Answer> answer;
};

/// Returns -1 for a response that must not be used, so that evhttp closes the connection.
int onHead(evhttp_request* request, void*)
{
    const auto status = evhttp_request_get_response_code(request);
    return isResponseHead(status, *evhttp_request_get_input_headers(request)) ? 0 : -1;
}

void onResponse(evhttp_request* request, void* arg)
{
    auto& pending = *static_cast<Pending*>(arg);
    pending.done = true;
    if (!request || evhttp_request_get_response_code(request) == 0)
        return;
    auto* buf = evhttp_request_get_input_buffer(request);
    Answer answer;
    answer.status = evhttp_request_get_response_code(request);
    answer.body.resize(evbuffer_get_length(buf));
    evbuffer_copyout(buf, answer.body.data(), answer.body.size());
    pending.answer = std::move(answer);
}

timeval toTimeval(std::chrono::milliseconds timeout)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(timeout);
    return { seconds.count(), std::chrono::microseconds { timeout - seconds }.count() };
}

} // namespace

void Client::FreeBase::operator()(event_base* it) const noexcept { event_base_free(it); }

Client::Client(std::chrono::milliseconds timeout)
    : m_timeout(timeout)
    , m_base(event_base_new())
{
}

Client::~Client() = default;

std::optional<Answer> Client::send(const std::string& address, const Query& query)
{
    const std::unique_ptr<evhttp_uri, FreeUri> uri(evhttp_uri_parse(("http://" + address).c_str()));
    if (!uri || !evhttp_uri_get_host(uri.get()) || evhttp_uri_get_port(uri.get()) <= 0)
        return std::nullopt;
    std::string host(evhttp_uri_get_host(uri.get()));
    if (host.starts_with('[') && host.ends_with(']'))
        host = host.substr(1, host.size() - 2);
    const auto port = static_cast<unsigned short>(evhttp_uri_get_port(uri.get()));
    const std::unique_ptr<evhttp_connection, FreeConnection> connection(
        evhttp_connection_base_new(m_base.get(), nullptr, host.c_str(), port));
    if (!connection)
        return std::nullopt;
    const auto timeout = toTimeval(m_timeout);
    evhttp_connection_set_timeout_tv(connection.get(), &timeout);
    Pending pending;
    auto* request = evhttp_request_new(&onResponse, &pending);
    evhttp_request_set_header_cb(request, &onHead);
    auto* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", address.c_str());
    evhttp_add_header(headers, "Connection", "close");
    for (const auto& [key, value] : query.headers)
        evhttp_add_header(headers, key.c_str(), value.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(request), query.body.data(), query.body.size());
    const auto method = query.post ? EVHTTP_REQ_POST : EVHTTP_REQ_GET;
    if (evhttp_make_request(connection.get(), request, method, query.path.c_str()) != 0)
        return std::nullopt;
    while (!pending.done && event_base_loop(m_base.get(), EVLOOP_ONCE) == 0) { }
    return pending.answer;
}

} // namespace rosemarymill::ctl
