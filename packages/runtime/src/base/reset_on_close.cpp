#include <rosemarymill/runtime/base/reset_on_close.hpp>

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/util.h>

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace rosemarymill::runtime {

void resetOnClose(int socket) noexcept
{
    int unacknowledged = 0;
    if (socket < 0 || (ioctl(socket, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged == 0))
        return;
    const linger reset { 1, 0 };
    // Fails only for a descriptor that is not a socket.
    static_cast<void>(setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset)));
}

void resetOnClose(bufferevent* buf) noexcept
{
    if (buf)
        resetOnClose(bufferevent_getfd(buf));
}

void resetOnClose(evhttp_connection* connection) noexcept
{
    if (connection)
        resetOnClose(evhttp_connection_get_bufferevent(connection));
}

void closeSocket(bufferevent* buf) noexcept
{
    if (!buf || bufferevent_getfd(buf) < 0)
        return;
    const auto socket = bufferevent_getfd(buf);
    bufferevent_setfd(buf, -1);
    evutil_closesocket(socket);
}

} // namespace rosemarymill::runtime
