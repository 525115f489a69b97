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

/// Caller of the load programs: sends raw requests on one connection and counts the tokens of the answers.
namespace rosemarymill::bench {

using SteadyClock = std::chrono::steady_clock;

/// One connection. The functions are called from the event loop.
class StreamCaller {
public:
    /// Tokens that arrived together, and whether they are the first of the answer.
    std::function<void(StreamCaller&, std::uint64_t count, bool first)> onTokens;
    /// The answer is complete.
    std::function<void(StreamCaller&)> onEnd;

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
        m_first = true;
        sentAt = SteadyClock::now();
        tokens = 0;
        bufferevent_write(m_bev, request.data(), request.size());
    }

    void setReading(bool enabled) { (enabled ? bufferevent_enable : bufferevent_disable)(m_bev, EV_READ); }

    [[nodiscard]] bool closed() const noexcept { return m_closed; }

    SteadyClock::time_point sentAt;
    SteadyClock::time_point lastAt;
    std::uint64_t tokens { 0 };
    /// Token indexes were 0, 1, 2 and so on.
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
        // A chunk's size line never holds "\nid: ", and an event is cut at most once by a read.
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
            onTokens(*this, count, m_first);
            lastAt = SteadyClock::now();
            m_first = false;
        }
        tokens += count;
        constexpr std::size_t longestMarker = 64;
        if (ended) {
            evbuffer_drain(input, size);
            if (onEnd)
                onEnd(*this);
        } else {
            // Keeps the last bytes, in which a marker may have begun.
            const auto keepFrom = size > longestMarker ? size - longestMarker : 0;
            evbuffer_drain(input, std::max(consumed, keepFrom));
        }
    }

    bufferevent* m_bev { nullptr };
    bool m_first { true };
    bool m_closed { false };
};

} // namespace rosemarymill::bench
