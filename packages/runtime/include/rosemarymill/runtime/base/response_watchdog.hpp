#pragma once

#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/runtime/base/libevent_handles.hpp>
#include <rosemarymill/runtime/base/receive_limit.hpp>

#include <string_view>

struct bufferevent;
struct evbuffer_cb_info;

namespace rosemarymill::runtime {

/// Monitors the response to an evhttp request and reports one that makes no progress within a limit in bytes or time.
/// evhttp itself buffers lines and chunks without limit and restarts its timeout with each byte.
class ResponseWatchdog {
public:
    enum class Fault { TooLong, NoProgress };

    /// Called outside of evhttp's callbacks; it may close the connection.
    using Handler = void (*)(Fault fault, void* arg);

    /// The connection must outlive this object.
    ResponseWatchdog(event_base* base, evhttp_connection* connection, Handler handler, void* arg);
    ~ResponseWatchdog();
    ResponseWatchdog(const ResponseWatchdog&) = delete;
    ResponseWatchdog& operator=(const ResponseWatchdog&) = delete;

    /// Restarts both limits after progress: the next progress is due within this many bytes and this time.
    void rearm(std::size_t bytes, Duration time);

    /// Restarts the limit in bytes only; the timeout keeps running.
    void rearm(std::size_t bytes) noexcept;

private:
    static void onInput(evbuffer* buf, const evbuffer_cb_info* info, void* self);
    static void onEvent(evutil_socket_t socket, short what, void* self);

    bufferevent* m_buf;
    Handler m_handler;
    void* m_arg;
    ReceiveLimit m_limit;
    /// Timeout, and the deferred event that reports too many bytes.
    EventHandle m_timer;
    EventHandle m_report;
};

/// Description for log lines.
[[nodiscard]] std::string_view nameOf(ResponseWatchdog::Fault fault) noexcept;

} // namespace rosemarymill::runtime
