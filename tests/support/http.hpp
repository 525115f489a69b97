#pragma once

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

/// HTTP client for tests that runs the event loop until the response is complete.
namespace rosemarymill::test {

struct FreeBase {
    void operator()(event_base* it) const noexcept { event_base_free(it); }
};

using EventBase = std::unique_ptr<event_base, FreeBase>;

struct HttpResponse {
    /// 0 when no response arrived.
    int status { 0 };
    std::string body;
    /// Value of the Location header of a redirect.
    std::string location;
    bool done { false };
};

using Headers = std::vector<std::pair<std::string, std::string>>;

namespace detail {

struct FreeConnection {
    void operator()(evhttp_connection* it) const noexcept { evhttp_connection_free(it); }
};

inline void onResponse(evhttp_request* request, void* arg)
{
    auto& response = *static_cast<HttpResponse*>(arg);
    response.done = true;
    if (!request)
        return;
    response.status = evhttp_request_get_response_code(request);
    auto* buf = evhttp_request_get_input_buffer(request);
    response.body.resize(evbuffer_get_length(buf));
    evbuffer_copyout(buf, response.body.data(), response.body.size());
    if (const auto* it = evhttp_find_header(evhttp_request_get_input_headers(request), "Location"))
        response.location = it;
}

} // namespace detail

/// Sends one request to an IP address and waits for the response, as long as bytes arrive within the timeout.
inline HttpResponse request(event_base& base, const std::string& ip, std::uint16_t port, timeval timeout,
    evhttp_cmd_type method, const std::string& path, const std::string& body = {}, const Headers& headers = {})
{
    const std::unique_ptr<evhttp_connection, detail::FreeConnection> connection(
        evhttp_connection_base_new(&base, nullptr, ip.c_str(), port));
    evhttp_connection_set_timeout_tv(connection.get(), &timeout);
    HttpResponse response;
    auto* it = evhttp_request_new(&detail::onResponse, &response);
    auto* out = evhttp_request_get_output_headers(it);
    for (const auto& [key, value] : headers)
        evhttp_add_header(out, key.c_str(), value.c_str());
    if (!evhttp_find_header(out, "Host"))
        evhttp_add_header(out, "Host", ip.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(it), body.data(), body.size());
    evhttp_make_request(connection.get(), it, method, path.c_str());
    while (!response.done)
        event_base_loop(&base, EVLOOP_ONCE);
    return response;
}

/// Sends one request to 127.0.0.1 and waits for the response, at most 10 s.
inline HttpResponse request(event_base& base, std::uint16_t port, evhttp_cmd_type method, const std::string& path,
    const std::string& body = {}, const Headers& headers = {})
{
    return request(base, "127.0.0.1", port, { 10, 0 }, method, path, body, headers);
}

} // namespace rosemarymill::test
