#pragma once

#include <rosemarymill/runtime/base/address.hpp>
#include <rosemarymill/runtime/base/libevent_handles.hpp>

#include <chrono>
#include <csignal>
#include <cstddef>
#include <list>
#include <memory>
#include <stdexcept>
#include <string>

#include <malloc.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

/// Stand-in for a server whose responses never end.
namespace rosemarymill::test {

/// Bytes of the heap that are in use.
inline std::size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// What the server sends.
struct EndlessResponse {
    /// Sent once, after the request's head has arrived.
    std::string first;
    /// Sent repeatedly after it.
    std::string unit;
    /// Time between two units; zero sends them as fast as the peer reads them.
    std::chrono::milliseconds pause { 0 };
};

/// Listener on loopback that sends endless bytes in response to each request, until the peer closes the connection. It
/// buffers at most 64 KiB of them itself.
class EndlessResponseServer {
public:
    EndlessResponseServer(event_base* base, EndlessResponse response)
        : m_base(base)
        , m_response(std::move(response))
    {
        // A write to a connection that the peer has closed returns an error, as in the daemon.
        std::signal(SIGPIPE, SIG_IGN);
        while (m_response.pause == m_response.pause.zero() && m_response.unit.size() < blockBytes / 2)
            m_response.unit += m_response.unit;
        auto address = runtime::parseAddress("127.0.0.1:0").value();
        m_listener.reset(evconnlistener_new_bind(
            base,
            [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
                static_cast<EndlessResponseServer*>(self)->accept(socket);
            },
            this, LEV_OPT_CLOSE_ON_FREE, 128, address.get(), static_cast<int>(address.length)));
        if (!m_listener)
            throw std::runtime_error("cannot listen");
    }

    EndlessResponseServer(const EndlessResponseServer&) = delete;
    EndlessResponseServer& operator=(const EndlessResponseServer&) = delete;

    [[nodiscard]] std::string address() const
    {
        return runtime::formatAddress(runtime::localAddress(evconnlistener_get_fd(m_listener.get())).value());
    }

    /// Requests received.
    [[nodiscard]] std::size_t requests() const noexcept { return m_requests; }
    /// Connections that the peer has closed.
    [[nodiscard]] std::size_t closed() const noexcept { return m_closed; }
    /// Connections that are still open.
    [[nodiscard]] std::size_t open() const noexcept { return m_connections.size() - m_closed; }
    /// Bytes handed to the kernel.
    [[nodiscard]] std::size_t sent() const
    {
        std::size_t n = 0;
        for (const auto& it : m_connections)
            n += it.written - (it.buf ? evbuffer_get_length(bufferevent_get_output(it.buf.get())) : 0);
        return n;
    }

private:
    static constexpr std::size_t blockBytes = 64 * 1024;

    struct Free {
        void operator()(bufferevent* it) const noexcept { bufferevent_free(it); }
        void operator()(evconnlistener* it) const noexcept { evconnlistener_free(it); }
    };

    struct Connection {
        EndlessResponseServer* server;
        std::unique_ptr<bufferevent, Free> buf;
        runtime::EventHandle timer;
        std::string received;
        std::size_t written { 0 };
        bool requestReceived { false };
    };

    void accept(evutil_socket_t socket)
    {
        auto& it = m_connections.emplace_back();
        it.server = this;
        it.buf.reset(bufferevent_socket_new(m_base, socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
        bufferevent_setcb(it.buf.get(), onRead, onWrite, onEvent, &it);
        bufferevent_enable(it.buf.get(), EV_READ | EV_WRITE);
    }

    static void write(Connection& it, const std::string& bytes)
    {
        it.written += bytes.size();
        bufferevent_write(it.buf.get(), bytes.data(), bytes.size());
    }

    static void onRead(bufferevent* buf, void* arg)
    {
        auto& it = *static_cast<Connection*>(arg);
        std::string bytes(evbuffer_get_length(bufferevent_get_input(buf)), '\0');
        bufferevent_read(buf, bytes.data(), bytes.size());
        it.received += bytes;
        if (it.requestReceived || it.received.find("\r\n\r\n") == std::string::npos)
            return;
        it.requestReceived = true;
        ++it.server->m_requests;
        write(it, it.server->m_response.first);
        const auto pause = it.server->m_response.pause;
        if (pause == pause.zero())
            return write(it, it.server->m_response.unit);
        it.timer.reset(event_new(
            it.server->m_base, -1, EV_PERSIST,
            [](evutil_socket_t, short, void* self) {
                auto& connection = *static_cast<Connection*>(self);
                write(connection, connection.server->m_response.unit);
            },
            &it));
        const timeval interval { pause.count() / 1000, (pause.count() % 1000) * 1000 };
        event_add(it.timer.get(), &interval);
    }

    static void onWrite(bufferevent*, void* arg)
    {
        auto& it = *static_cast<Connection*>(arg);
        if (it.requestReceived && !it.timer)
            write(it, it.server->m_response.unit);
    }

    static void onEvent(bufferevent*, short, void* arg)
    {
        auto& it = *static_cast<Connection*>(arg);
        ++it.server->m_closed;
        it.timer.reset();
        it.written -= evbuffer_get_length(bufferevent_get_output(it.buf.get()));
        it.buf.reset();
    }

    event_base* m_base;
    EndlessResponse m_response;
    std::list<Connection> m_connections;
    std::size_t m_requests { 0 };
    std::size_t m_closed { 0 };
    std::unique_ptr<evconnlistener, Free> m_listener;
};

} // namespace rosemarymill::test
