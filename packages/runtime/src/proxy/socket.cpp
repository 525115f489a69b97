#include <rosemarymill/runtime/proxy/socket.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace rosemarymill::runtime::proxy {

namespace {

/// Milliseconds after which unacknowledged bytes end a connection to a server: below the two seconds for which clients
/// wait for the next event.
constexpr unsigned serverUserTimeout = 1500;

/// The same for clients, whose links may stall for longer.
constexpr unsigned clientUserTimeout = 5000;

/// Kernel send buffer for a client in bytes, as for callers of the product's own interface.
constexpr int clientSendBuffer = 64 * 1024;

void setOption(int socket, int level, int option, int value) noexcept
{
    // The options only tune the connection; it works without them.
    static_cast<void>(setsockopt(socket, level, option, &value, sizeof(value)));
}

} // namespace

void setServerSocketOptions(int socket) noexcept
{
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(serverUserTimeout));
}

void setClientSocketOptions(int socket) noexcept
{
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(clientUserTimeout));
    setOption(socket, SOL_SOCKET, SO_SNDBUF, clientSendBuffer);
}

} // namespace rosemarymill::runtime::proxy
