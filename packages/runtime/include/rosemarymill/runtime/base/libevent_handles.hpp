#pragma once

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include <memory>

/// Owning handles of libevent objects.
namespace rosemarymill::runtime {

namespace detail {

struct Release {
    void operator()(event_base* it) const noexcept { event_base_free(it); }
    void operator()(event* it) const noexcept { event_free(it); }
    void operator()(evbuffer* it) const noexcept { evbuffer_free(it); }
    void operator()(evhttp_connection* it) const noexcept { evhttp_connection_free(it); }
};

} // namespace detail

using EventBaseHandle = std::unique_ptr<event_base, detail::Release>;
using EventHandle = std::unique_ptr<event, detail::Release>;
using BufferHandle = std::unique_ptr<evbuffer, detail::Release>;
using HttpConnectionHandle = std::unique_ptr<evhttp_connection, detail::Release>;

} // namespace rosemarymill::runtime
