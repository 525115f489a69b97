#pragma once

#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/runtime/base/libevent_handles.hpp>
#include <rosemarymill/runtime/nodes/platform_adapter.hpp>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace rosemarymill::runtime::nodes {

/// Result of a request to the HTTP interface of a server.
struct ServerAnswer {
    /// HTTP status; 0 when there was no valid answer in time.
    unsigned status { 0 };
    /// The connection was refused: no process listens at the address.
    bool refused { false };
};

/// Sends orders and probes to servers with evhttp. Each request uses a connection of its own, since requests are rare.
class ServerClient {
public:
    using Handler = std::function<void(const ServerAnswer&)>;

    explicit ServerClient(event_base* base);
    ~ServerClient();
    ServerClient(const ServerClient&) = delete;
    ServerClient& operator=(const ServerClient&) = delete;

    /// Sends a request. The handler is called once, at the latest after `timeout`, and never from within this function.
    void send(const std::string& address, const ServerRequest& request, Duration timeout, Handler handler);

private:
    struct Pending;

    void finish(Pending& pending, const ServerAnswer& answer);

    event_base* m_base;
    std::map<Pending*, std::unique_ptr<Pending>> m_pending;
    std::vector<std::unique_ptr<Pending>> m_done;
    EventHandle m_cleanUp;
};

} // namespace rosemarymill::runtime::nodes
