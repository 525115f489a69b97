#pragma once

#include <rosemarymill/runtime/http/server.hpp>

#include <memory>

/// One client connection of the HTTP server.
namespace rosemarymill::runtime::http::detail {

/// Holds the connection's arrival timer and the request in progress. libevhtp's hooks receive it as their argument.
struct Connection {
    Connection(Server& owner, evhtp_connection_t* connection);

    /// Starts the arrival timer with the first byte of a request.
    void bytesArrived();
    void requestComplete(evhtp_request_t* request);
    void requestEnded();
    void bytesSent();

    Server& server;
    evhtp_connection_t* htp;
    EventHandle timer;
    std::unique_ptr<Exchange> exchange;
    std::size_t headerBytes { 0 };
    bool arriving { false };
    bool answering { false };
};

} // namespace rosemarymill::runtime::http::detail
