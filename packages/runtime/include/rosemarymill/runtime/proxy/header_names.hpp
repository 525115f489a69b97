#pragma once

#include <string>

/// Header names of the platform in which the proxy runs, supplied by the platform's adapter.
namespace rosemarymill::runtime::proxy {

struct HeaderNames {
    /// Id of one attempt of a client; servers echo it in their responses.
    std::string attemptId;
    /// Milliseconds that the client waits for the response.
    std::string deadline;
    /// Id of the last event that the client received.
    std::string lastEventId;
    std::string model;
    /// Number of prompt tokens and maximum number of output tokens.
    std::string tokenUsage;
    /// Set by backend servers on their responses; a successful response without it is rejected.
    std::string seal;
    /// States that the server did not run the request and will not run it.
    std::string notExecuted;
    /// Id of the only server that may run the request.
    std::string expectServer;
    /// Client account, as authenticated by the proxy.
    std::string account;
    /// Scheduling priority of the request at a model server, 0 to 9.
    std::string priority;
    /// Running requests, waiting requests and slots of a server.
    std::string serverLoad;
    /// Server that caused a rejection.
    std::string faultyServer;
    /// Parts of the prompt in their order, as `id:tokens`, separated by commas. All but the last may be shared with
    /// other requests.
    std::string promptParts;
};

} // namespace rosemarymill::runtime::proxy
