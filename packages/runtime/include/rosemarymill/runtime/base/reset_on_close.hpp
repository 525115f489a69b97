#pragma once

struct bufferevent;
struct evhttp_connection;

/// Closing of sockets whose unacknowledged data must not be delivered any more.
namespace rosemarymill::runtime {

/// Call it before closing the socket. If the peer has not acknowledged all bytes, closing resets the connection and
/// discards them; after a graceful close the kernel would keep delivering them. Without such bytes the close is
/// graceful.
void resetOnClose(int socket) noexcept;

/// The same for the socket of a bufferevent, which may have none.
void resetOnClose(bufferevent* buf) noexcept;

/// The same for the socket of an HTTP connection, which may have none.
void resetOnClose(evhttp_connection* connection) noexcept;

} // namespace rosemarymill::runtime
