#pragma once

/// Options of the proxy's sockets.
namespace rosemarymill::runtime::proxy {

/// Connection to a server: small writes go out at once, and a server that vanished is noticed.
void setServerSocketOptions(int socket) noexcept;

/// Connection of a client: the same, with a bounded send buffer, so that slow clients hold little memory.
void setClientSocketOptions(int socket) noexcept;

} // namespace rosemarymill::runtime::proxy
