#pragma once

#include <rosemarymill/runtime/http/server.hpp>

#include <memory>

/// One client connection of the HTTP server.
namespace rosemarymill::runtime::http::detail {

/// Holds the connection's arrival timer and the request in progress. libevhtp's hooks receive it as their argument.
struct Connection {
    Connection(Server& owner, evhtp_connection_t* connection);
    ~Connection();

    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    /// Starts the arrival timer with the first byte of a request.
    void bytesArrived(std::size_t count);
    /// Notes the length of the head, from which a second request behind the first is recognised.
    void findHeadEnd(bool chunked);
    void takeBody(evbuffer* buf);
    void requestComplete(evhtp_request_t* request);
    void requestEnded();
    void bytesSent();

    Server& server;
    evhtp_connection_t* htp;
    EventHandle timer;
    std::unique_ptr<Exchange> exchange;
    std::size_t headerBytes { 0 };
    /// Bytes read from the socket since the last request ended.
    std::size_t arrivedBytes { 0 };
    std::size_t bodyBytes { 0 };
    /// Length of the request's head with the empty line; 0 when the request's length cannot be known from it.
    std::size_t headEnd { 0 };
    bool arriving { false };
    bool answering { false };
    /// Bytes arrived before the answer was complete.
    bool pipelined { false };
};

} // namespace rosemarymill::runtime::http::detail
