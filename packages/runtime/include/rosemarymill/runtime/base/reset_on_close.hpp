#pragma once

struct bufferevent;
struct evhttp_connection;

/// Closing of sockets otherwise than libevent does by itself.
namespace rosemarymill::runtime {

/// Call it before closing a socket whose unacknowledged bytes must not be delivered any more. If there are any, closing
/// resets the connection and discards them; after a graceful close the kernel would keep delivering them. Without such
/// bytes the close is graceful.
void resetOnClose(int socket) noexcept;

/// The same for the socket of a bufferevent, which may have none.
void resetOnClose(bufferevent* buf) noexcept;

/// The same for the socket of an HTTP connection, which may have none.
void resetOnClose(evhttp_connection* connection) noexcept;

/// Closes the socket of a bufferevent, which may have none, at once. libevent would close it in the next iteration of
/// its loop, after it has accepted further connections.
void closeSocket(bufferevent* buf) noexcept;

} // namespace rosemarymill::runtime
