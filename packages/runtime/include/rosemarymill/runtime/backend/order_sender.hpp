#pragma once

#include <rosemarymill/core/node/effect.hpp>
#include <rosemarymill/runtime/backend/connection_pool.hpp>
#include <rosemarymill/runtime/loop/post_event.hpp>

#include <memory>
#include <unordered_map>

/// Sender of orders to backend servers.
namespace rosemarymill::runtime::backend {

/// Timeout for the response to an order. It does not include the loading, which continues after the response.
inline constexpr timeval orderTimeout { 5, 0 };

/// Sends orders by `POST /v1/orders` and posts the result of each as OrderAnswered.
class OrderSender {
public:
    OrderSender(event_base* base, PostEvent post);
    ~OrderSender();

    void send(const node::SendOrder& effect);

private:
    struct Pending;

    void finish(Pending& pending, bool accepted);

    event_base* m_base;
    PostEvent m_post;
    EventHandle m_cleanUp;
    std::unordered_map<Pending*, std::unique_ptr<Pending>> m_pending;
    std::vector<std::unique_ptr<Pending>> m_done;
};

} // namespace rosemarymill::runtime::backend
