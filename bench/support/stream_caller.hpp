#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

/// HTTP client of the load programs, which sends raw requests on one connection and counts the tokens of the answers.
namespace rosemarymill::bench {

using SteadyClock = std::chrono::steady_clock;

/// Client with one connection. The callbacks are called from the event loop.
class StreamCaller {
public:
    /// Called with the number of tokens received in one read, and whether they are the first of the answer.
    std::function<void(StreamCaller&, std::uint64_t count, bool first)> onTokens;
    /// Called when the answer is complete.
    std::function<void(StreamCaller&)> onEnd;

    /// Connects to IP:PORT. A receive buffer of 0 bytes keeps the default of the system. Throws std::runtime_error if
    /// the connection fails.
    StreamCaller(event_base* base, const std::string& address, int receiveBufferBytes = 0)
    {
        const auto colon = address.rfind(':');
        sockaddr_in it {};
        it.sin_family = AF_INET;
        it.sin_port = htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &it.sin_addr);
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        if (receiveBufferBytes > 0)
            setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
        if (::connect(socket, reinterpret_cast<const sockaddr*>(&it), sizeof(it)) != 0)
            throw std::runtime_error("cannot connect to " + address);
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        evutil_make_socket_nonblocking(socket);
        m_bev = bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE);
        bufferevent_setcb(
            m_bev, [](bufferevent*, void* self) { static_cast<StreamCaller*>(self)->read(); }, nullptr,
            [](bufferevent*, short, void* self) { static_cast<StreamCaller*>(self)->m_closed = true; }, this);
        bufferevent_enable(m_bev, EV_READ | EV_WRITE);
    }
    ~StreamCaller() { bufferevent_free(m_bev); }

    StreamCaller(const StreamCaller&) = delete;
    StreamCaller& operator=(const StreamCaller&) = delete;

    void send(const std::string& request)
    {
        m_awaitsFirstToken = true;
        sentAt = SteadyClock::now();
        tokens = 0;
        bufferevent_write(m_bev, request.data(), request.size());
    }

    void setReading(bool enabled) { (enabled ? bufferevent_enable : bufferevent_disable)(m_bev, EV_READ); }

    [[nodiscard]] bool closed() const noexcept { return m_closed; }

    SteadyClock::time_point sentAt;
    SteadyClock::time_point lastTokensAt;
    std::uint64_t tokens { 0 };
    /// Whether the token indexes of every answer were 0, 1, 2 and so on.
    bool consecutive { true };

private:
    void read()
    {
        auto* input = bufferevent_get_input(m_bev);
        const auto size = evbuffer_get_length(input);
        const std::string_view bytes { reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), size };
        std::uint64_t count = 0;
        std::size_t pos = 0;
        std::size_t consumed = 0;
        // The size line of a chunk never contains "\nid: ", and the bytes of a read end within at most one event.
        while ((pos = bytes.find("\nid: ", pos)) != std::string_view::npos) {
            const auto end = bytes.find('\n', pos + 5);
            if (end == std::string_view::npos)
                break;
            consecutive
                = consecutive && std::stoull(std::string(bytes.substr(pos + 5, end - pos - 5))) == tokens + count;
            ++count;
            pos = end;
            consumed = end;
        }
        const bool ended
            = bytes.find("data: [DONE]\n\n", consumed) != std::string_view::npos && bytes.ends_with("\r\n0\r\n\r\n");
        if (count > 0 && onTokens) {
            onTokens(*this, count, m_awaitsFirstToken);
            lastTokensAt = SteadyClock::now();
            m_awaitsFirstToken = false;
        }
        tokens += count;
        constexpr std::size_t longestMarker = 64;
        if (ended) {
            evbuffer_drain(input, size);
            if (onEnd)
                onEnd(*this);
        } else {
            // Keeps the last bytes, which may be the start of a marker.
            const auto keepFrom = size > longestMarker ? size - longestMarker : 0;
            evbuffer_drain(input, std::max(consumed, keepFrom));
        }
    }

    bufferevent* m_bev { nullptr };
    bool m_awaitsFirstToken { true };
    bool m_closed { false };
};

} // namespace rosemarymill::bench
