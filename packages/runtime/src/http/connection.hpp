#pragma once

#include <rosemarymill/runtime/http/server.hpp>

#include <memory>

/// One client connection of the HTTP server.
namespace rosemarymill::runtime::http::detail {

/// Holds the connection's timer and the request in progress. It is the argument of libevhtp's hooks.
struct Connection {
    Connection(Server& owner, evhtp_connection_t* connection);
    ~Connection();

    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /// Starts the receive timeout with the first byte of a request.
    void handleReceived(std::size_t count);
    /// Records the length of the head, with which a pipelined second request is detected.
    void findHeadEnd(bool chunked);
    void appendBody(evbuffer* buf);
    void requestComplete(evhtp_request_t* request);
    void requestEnded();
    void handleSent();

    Server& server;
    evhtp_connection_t* htp;
    EventHandle timer;
    std::unique_ptr<Exchange> exchange;
    std::size_t headerBytes { 0 };
    /// Bytes read from the socket since the last request ended.
    std::size_t receivedBytes { 0 };
    std::size_t bodyBytes { 0 };
    /// Length of the request's head including the empty line; 0 if it does not determine the request's length
    /// (chunked).
    std::size_t headEnd { 0 };
    bool receiving { false };
    bool responding { false };
    /// Bytes of a further request were received before the response was complete.
    bool pipelined { false };
};

} // namespace rosemarymill::runtime::http::detail
