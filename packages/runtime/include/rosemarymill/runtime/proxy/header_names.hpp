#pragma once

#include <string>

/// Header names of the environment in which the proxy runs. Its adapter supplies them.
namespace rosemarymill::runtime::proxy {

struct HeaderNames {
    /// Id of one attempt of a client; servers repeat it in their answers.
    std::string attemptId;
    /// Milliseconds for which the client waits.
    std::string deadline;
    /// Id of the last event that the client holds.
    std::string lastEventId;
    std::string model;
    /// Tokens of the prompt and most tokens of the answer.
    std::string tokenUsage;
    /// Proof that an answer comes from a server.
    std::string seal;
    /// Says that the server did not and will not run the request.
    std::string notExecuted;
    /// Server that alone may run the request.
    std::string expectServer;
    /// Client account, as the system found it.
    std::string account;
    /// Priority of the request at a model server, 0 to 9.
    std::string priority;
    /// Running requests, waiting requests and slots of a server.
    std::string serverLoad;
    /// Server at fault for a rejection.
    std::string faultyServer;
};

} // namespace rosemarymill::runtime::proxy
