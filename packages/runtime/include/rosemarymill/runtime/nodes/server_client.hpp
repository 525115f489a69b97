#pragma once

#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/runtime/base/libevent_handles.hpp>
#include <rosemarymill/runtime/nodes/platform_adapter.hpp>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace rosemarymill::runtime::nodes {

/// How a request to a server's own interface ended.
struct ServerAnswer {
    /// 0 when there was no answer in time.
    unsigned status { 0 };
    /// No process listens at the address.
    bool refused { false };
};

/// Sends orders and probes to servers by evhttp. Each request has a connection of its own: they are rare.
class ServerClient {
public:
    using Handler = std::function<void(const ServerAnswer&)>;

    explicit ServerClient(event_base* base);
    ~ServerClient();
    ServerClient(const ServerClient&) = delete;
    ServerClient& operator=(const ServerClient&) = delete;

    /// The handler is called once, never from within this function.
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
