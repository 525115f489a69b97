#pragma once

struct bufferevent;
struct evhttp_connection;

/// Sockets whose owner has given up what it sent.
namespace rosemarymill::runtime {

/// To be called before the socket is closed. Bytes that the other end has not acknowledged are lost with the
/// connection, which is reset; in order, the kernel would go on delivering them. Without such bytes the connection ends
/// in order.
void resetOnClose(int socket) noexcept;

/// The same for the socket of a bufferevent, which may have none.
void resetOnClose(bufferevent* buf) noexcept;

/// The same for the socket of an HTTP connection, which may have none.
void resetOnClose(evhttp_connection* connection) noexcept;

} // namespace rosemarymill::runtime
