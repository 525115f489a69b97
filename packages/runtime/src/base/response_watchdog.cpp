#include <rosemarymill/runtime/base/response_watchdog.hpp>

#include <event2/bufferevent.h>

namespace rosemarymill::runtime {

namespace {

timeval toTimeval(Duration it)
{
    constexpr std::int64_t microseconds = 1'000'000;
    return { static_cast<time_t>(it.count() / microseconds), static_cast<suseconds_t>(it.count() % microseconds) };
}

} // namespace

ResponseWatchdog::ResponseWatchdog(event_base* base, evhttp_connection* connection, Handler handler, void* arg)
    : m_buf(evhttp_connection_get_bufferevent(connection))
    , m_handler(handler)
    , m_arg(arg)
    , m_timer(event_new(base, -1, 0, onEvent, this))
    , m_report(event_new(base, -1, 0, onEvent, this))
{
    evbuffer_add_cb(bufferevent_get_input(m_buf), onInput, this);
}

ResponseWatchdog::~ResponseWatchdog() { evbuffer_remove_cb(bufferevent_get_input(m_buf), onInput, this); }

void ResponseWatchdog::rearm(std::size_t bytes, Duration time)
{
    rearm(bytes);
    const auto limit = toTimeval(time);
    event_add(m_timer.get(), &limit);
}

void ResponseWatchdog::rearm(std::size_t bytes) noexcept
{
    // Bytes that evhttp has not parsed yet belong to the next part, so a pending report is withdrawn.
    m_limit.rearm(bytes);
    event_del(m_report.get());
}

void ResponseWatchdog::onInput(evbuffer*, const evbuffer_cb_info* info, void* self)
{
    auto& it = *static_cast<ResponseWatchdog*>(self);
    it.m_limit.add(info->n_added);
    // The report is deferred until evhttp has parsed the bytes, since they may complete the expected part.
    if (info->n_added > 0 && it.m_limit.exceeded())
        event_active(it.m_report.get(), EV_WRITE, 0);
}

void ResponseWatchdog::onEvent(evutil_socket_t, short what, void* self)
{
    auto& it = *static_cast<ResponseWatchdog*>(self);
    it.m_handler((what & EV_WRITE) != 0 ? Fault::TooLong : Fault::NoProgress, it.m_arg);
}

std::string_view nameOf(ResponseWatchdog::Fault fault) noexcept
{
    return fault == ResponseWatchdog::Fault::TooLong ? "too many bytes without progress" : "no progress in time";
}

} // namespace rosemarymill::runtime
