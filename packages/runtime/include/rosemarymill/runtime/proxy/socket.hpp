#pragma once

/// Socket options of the proxy.
namespace rosemarymill::runtime::proxy {

/// Connection to a server: disables Nagle's algorithm and sets TCP_USER_TIMEOUT to detect an unreachable server.
void setServerSocketOptions(int socket) noexcept;

/// Connection of a client: the same, with a limited send buffer, so that slow clients use little kernel memory.
void setClientSocketOptions(int socket) noexcept;

} // namespace rosemarymill::runtime::proxy
