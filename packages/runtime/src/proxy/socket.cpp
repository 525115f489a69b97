#include <rosemarymill/runtime/proxy/socket.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace rosemarymill::runtime::proxy {

namespace {

/// TCP_USER_TIMEOUT of server connections in milliseconds: below the 2 s that clients wait for the next event.
constexpr unsigned serverUserTimeout = 1500;

/// TCP_USER_TIMEOUT of client connections in milliseconds; clients' links may stall for longer.
constexpr unsigned clientUserTimeout = 5000;

/// Kernel send buffer of a client connection in bytes, the same as for callers of the product's own API.
constexpr int clientSendBuffer = 64 * 1024;

void setOption(int socket, int level, int option, int value) noexcept
{
    // A failure is ignored: the connection works without these options.
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
