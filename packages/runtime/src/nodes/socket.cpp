#include "socket.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace rosemarymill::runtime::nodes {

namespace {

/// Milliseconds after which unacknowledged bytes close a connection: below half of the shortest contact time, 3 s.
constexpr int userTimeout = 1200;

} // namespace

void setFleetSocketOptions(int socket) noexcept
{
    // Errors are ignored: the options only tune the connection, which works without them.
    const int on = 1;
    static_cast<void>(setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on)));
    static_cast<void>(setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeout, sizeof(userTimeout)));
}

} // namespace rosemarymill::runtime::nodes
