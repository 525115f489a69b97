#pragma once

#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/runtime/base/libevent_handles.hpp>
#include <rosemarymill/runtime/base/receive_limit.hpp>

#include <string_view>

struct bufferevent;
struct evbuffer_cb_info;

namespace rosemarymill::runtime {

/// Watches an exchange of evhttp, which collects lines and chunks without bound and begins its time limit anew with
/// each byte. It reports an answer that makes no progress within a bound in bytes or in time.
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

    /// The answer made progress. What comes next has to do so within these bounds.
    void rearm(std::size_t bytes, Duration time);

    /// The same with the bound in bytes only; the time goes on.
    void rearm(std::size_t bytes) noexcept;

private:
    static void onInput(evbuffer* buf, const evbuffer_cb_info* info, void* self);
    static void onEvent(evutil_socket_t socket, short what, void* self);

    bufferevent* m_buf;
    Handler m_handler;
    void* m_arg;
    ReceiveLimit m_limit;
    /// Time limit, and the report of too many bytes, which is deferred.
    EventHandle m_timer;
    EventHandle m_report;
};

/// Words for the log.
[[nodiscard]] std::string_view nameOf(ResponseWatchdog::Fault fault) noexcept;

} // namespace rosemarymill::runtime
