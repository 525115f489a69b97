#pragma once

#include <rosemarymill/runtime/base/address.hpp>

#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <sys/socket.h>

/// Connections that send and receive raw bytes on the test's event loop.
namespace rosemarymill::test {

/// Runs the loop until the condition holds, at most for ten seconds.
inline bool runUntil(event_base* base, const std::function<bool()>& done)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds { 10 };
    while (!done() && std::chrono::steady_clock::now() < deadline) {
        const timeval slice { 0, 5'000 };
        event_base_loopexit(base, &slice);
        event_base_dispatch(base);
    }
    return done();
}

/// Runs the loop for a time.
inline void runFor(event_base* base, std::chrono::milliseconds time)
{
    const auto end = std::chrono::steady_clock::now() + time;
    runUntil(base, [&] { return std::chrono::steady_clock::now() >= end; });
}

class RawConnection {
public:
    /// Takes over an accepted socket.
    RawConnection(event_base* base, evutil_socket_t socket)
        : m_buf(bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
    {
        bufferevent_setcb(
            m_buf.get(), [](bufferevent*, void* self) { static_cast<RawConnection*>(self)->read(); }, nullptr,
            [](bufferevent*, short what, void* self) {
                auto& it = *static_cast<RawConnection*>(self);
                it.closed = it.closed || (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
                it.reset = it.reset || (what & BEV_EVENT_ERROR) != 0;
            },
            this);
        bufferevent_enable(m_buf.get(), EV_READ | EV_WRITE);
    }

    /// Connects to an address.
    RawConnection(event_base* base, const runtime::SocketAddress& address)
        : RawConnection(base, -1)
    {
        auto to = address;
        if (bufferevent_socket_connect(m_buf.get(), to.get(), static_cast<int>(to.length)) != 0)
            throw std::runtime_error("cannot connect");
    }

    RawConnection(const RawConnection&) = delete;
    RawConnection& operator=(const RawConnection&) = delete;

    void send(std::string_view bytes) { bufferevent_write(m_buf.get(), bytes.data(), bytes.size()); }

    /// Stops or continues reading.
    void setReading(bool reading)
    {
        if (reading)
            bufferevent_enable(m_buf.get(), EV_READ);
        else
            bufferevent_disable(m_buf.get(), EV_READ);
    }

    /// Closes the connection. With unread bytes the kernel resets it.
    void close() { m_buf.reset(); }

    /// Resets the connection.
    void closeWithReset()
    {
        const linger immediately { 1, 0 };
        ::setsockopt(bufferevent_getfd(m_buf.get()), SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
        m_buf.reset();
    }

    /// Ends the sending direction once everything is written, so that the peer receives all of it. Nothing is received
    /// any more.
    void closeAfterWrite()
    {
        bufferevent_setcb(
            m_buf.get(), nullptr, [](bufferevent* it, void*) { ::shutdown(bufferevent_getfd(it), SHUT_WR); }, nullptr,
            nullptr);
    }

    /// Bytes that the kernel has not accepted yet.
    [[nodiscard]] std::size_t unsentBytes() const
    {
        return m_buf ? evbuffer_get_length(bufferevent_get_output(m_buf.get())) : 0;
    }

    [[nodiscard]] bool has(std::string_view text) const { return received.find(text) != std::string::npos; }

    std::string received;
    bool closed { false };
    /// The connection ended by a reset or another error, not by an orderly close.
    bool reset { false };
    std::function<void(RawConnection&)> onReceived;

private:
    struct Free {
        void operator()(bufferevent* it) const noexcept { bufferevent_free(it); }
    };

    void read()
    {
        auto* input = bufferevent_get_input(m_buf.get());
        const auto n = evbuffer_get_length(input);
        const auto before = received.size();
        received.resize(before + n);
        evbuffer_remove(input, received.data() + before, n);
        if (onReceived)
            onReceived(*this);
    }

    std::unique_ptr<bufferevent, Free> m_buf;
};

/// Listener on loopback that accepts connections as RawConnection.
class RawListener {
public:
    explicit RawListener(event_base* base)
        : m_base(base)
    {
        listen(runtime::parseAddress("127.0.0.1:0").value());
        m_address = runtime::formatAddress(runtime::localAddress(evconnlistener_get_fd(m_listener.get())).value());
    }

    [[nodiscard]] const std::string& address() const noexcept { return m_address; }

    /// Refuses connections from now on, and resets the existing ones.
    void stop()
    {
        m_listener.reset();
        for (auto& it : acceptedConnections) {
            if (!it.closed)
                it.closeWithReset();
            it.closed = true;
        }
    }

    /// Accepts connections again at the same address.
    void restart() { listen(runtime::parseAddress(m_address).value()); }

    std::list<RawConnection> acceptedConnections;
    /// Limits the kernel's receive buffer of connections accepted from now on.
    void setReceiveBuffer(int bytes) const
    {
        setsockopt(evconnlistener_get_fd(m_listener.get()), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    }

    /// Handler of the connections accepted from now on.
    std::function<void(RawConnection&)> onReceived;
    /// Whether connections accepted from now on are read.
    bool reading { true };

private:
    struct Free {
        void operator()(evconnlistener* it) const noexcept { evconnlistener_free(it); }
    }; // namespace rosemarymill::test

    void listen(runtime::SocketAddress address)
    {
        m_listener.reset(evconnlistener_new_bind(
            m_base,
            [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) {
                auto& it = *static_cast<RawListener*>(self);
                auto& peer = it.acceptedConnections.emplace_back(it.m_base, socket);
                peer.onReceived = it.onReceived;
                peer.setReading(it.reading);
            },
            this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16, address.get(), static_cast<int>(address.length)));
        if (!m_listener)
            throw std::runtime_error("cannot listen");
    }

    event_base* m_base;
    std::unique_ptr<evconnlistener, Free> m_listener;
    std::string m_address;
};

} // namespace rosemarymill::test
