#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <nlohmann/json.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cstdint>
#include <iostream>
#include <stdexcept>
#include <string>
#include <string_view>

/// Small helpers around evhttp for the stand-ins.
namespace standin {

inline std::string headerOf(evhttp_request* request, const char* name)
{
    const auto* value = evhttp_find_header(evhttp_request_get_input_headers(request), name);
    return value ? value : "";
}

inline std::string bodyOf(evhttp_request* request)
{
    auto* input = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, body.data(), body.size());
    return body;
}

inline void addHeader(evhttp_request* request, const char* name, const std::string& value)
{
    evhttp_add_header(evhttp_request_get_output_headers(request), name, value.c_str());
}

inline void replyText(evhttp_request* request, int status, const std::string& type, std::string_view text)
{
    addHeader(request, "Content-Type", type);
    auto* buf = evbuffer_new();
    evbuffer_add(buf, text.data(), text.size());
    evhttp_send_reply(request, status, status < 300 ? "OK" : "Refused", buf);
    evbuffer_free(buf);
}

inline void replyJson(evhttp_request* request, int status, const nlohmann::json& document)
{
    replyText(request, status, "application/json", document.dump());
}

inline void setNoDelay(evhttp_request* request)
{
    const int on = 1;
    auto* bev = evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
    setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/// Address "ip:port" split at the last colon.
struct Endpoint {
    std::string ip;
    std::uint16_t port { 0 };
};

inline Endpoint parseEndpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        throw std::runtime_error("'" + text + "' is not ip:port");
    return { text.substr(0, colon), static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1))) };
}

/// Binds a server and prints its address as the first line of standard output. Port 0 lets the kernel choose.
inline std::string listen(evhttp* http, const std::string& address)
{
    const auto requested = parseEndpoint(address);
    auto* socket = evhttp_bind_socket_with_handle(http, requested.ip.c_str(), requested.port);
    if (!socket)
        throw std::runtime_error("the address " + address + " cannot be bound");
    sockaddr_in bound {};
    socklen_t size = sizeof(bound);
    getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr*>(&bound), &size);
    auto text = requested.ip + ":" + std::to_string(ntohs(bound.sin_port));
    std::cout << "listening " << text << std::endl;
    return text;
}

} // namespace standin
