#pragma once

#include <rosemarymill/runtime/base/connection_budget.hpp>
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
    /// Checks the announced length of the body. Returns false if the request was rejected.
    [[nodiscard]] bool admitBody();
    void appendBody(evbuffer* buf);
    void requestComplete(evhtp_request_t* request);
    void requestEnded();
    void handleSent();
    /// Closes the connection because the process's limits are exceeded. A request that is not complete is rejected.
    void closeForOverload();
    /// Records in the process's limits what the connection does and holds.
    void updateUsage();

    Server& server;
    evhtp_connection_t* htp;
    EventHandle timer;
    std::unique_ptr<Exchange> exchange;
    std::size_t headerBytes { 0 };
    std::size_t headerCount { 0 };
    /// Bytes read from the socket since the last request ended.
    std::size_t receivedBytes { 0 };
    std::size_t bodyBytes { 0 };
    /// Bytes of the complete body that was kept for the handler.
    std::size_t storedBytes { 0 };
    /// Length of the request's head including the empty line; 0 if it does not determine the request's length
    /// (chunked).
    std::size_t headEnd { 0 };
    bool receiving { false };
    bool responding { false };
    /// Bytes of a further request were received before the response was complete.
    bool pipelined { false };
    ConnectionSlot slot;
};

} // namespace rosemarymill::runtime::http::detail
