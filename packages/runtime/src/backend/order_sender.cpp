#include <rosemarymill/runtime/backend/order_sender.hpp>

#include <rosemarymill/runtime/base/address.hpp>
#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/base/log.hpp>
#include <rosemarymill/runtime/base/reset_on_close.hpp>
#include <rosemarymill/runtime/base/response_head.hpp>
#include <rosemarymill/runtime/base/response_watchdog.hpp>
#include <rosemarymill/wire/backend/json.hpp>

namespace rosemarymill::runtime::backend {

/// An order that waits for its response. The connection is not reused, since orders are rare.
struct OrderSender::Pending {
    OrderSender& sender;
    ServerId server;
    std::uint64_t orderId;
    HttpConnectionHandle connection;
    std::unique_ptr<ResponseWatchdog> watchdog {};
};

OrderSender::OrderSender(event_base* base, PostEvent post)
    : m_base(base)
    , m_post(std::move(post))
    , m_cleanUp(event_new(
          base, -1, 0, [](evutil_socket_t, short, void* self) { static_cast<OrderSender*>(self)->m_done.clear(); },
          this))
{
}

OrderSender::~OrderSender() = default;

void OrderSender::send(const node::SendOrder& effect)
{
    const auto address = parseAddress(effect.address);
    // A process that was paused after the decision must not act on a lease that has expired meanwhile.
    if (!address || readClock() >= effect.notAfter) {
        m_post(node::OrderAnswered { readClock(), effect.server, effect.order.orderId, false });
        return;
    }
    auto pending = std::make_unique<Pending>(Pending { *this, effect.server, effect.order.orderId,
        HttpConnectionHandle(
            evhttp_connection_base_new(m_base, nullptr, formatIp(address.value()).c_str(), portOf(address.value()))) });
    auto* it = pending.get();
    m_pending.emplace(it, std::move(pending));
    it->watchdog = std::make_unique<ResponseWatchdog>(
        m_base, it->connection.get(),
        [](ResponseWatchdog::Fault fault, void* arg) {
            auto& unanswered = *static_cast<Pending*>(arg);
            writeDecision("backend", "stopped waiting for order response",
                { { "server", unanswered.server.text() }, { "why", std::string(nameOf(fault)) } });
            unanswered.sender.finish(unanswered, false);
        },
        it);
    // evhttp has no shorter timeout of its own, at which it would close the connection without a reset.
    it->watchdog->rearm(maxResponseHeadBytes, std::chrono::seconds { orderTimeout.tv_sec });
    auto* request = evhttp_request_new(
        [](evhttp_request* answer, void* arg) {
            auto& done = *static_cast<Pending*>(arg);
            done.sender.finish(done, answer && evhttp_request_get_response_code(answer) == 200);
        },
        it);
    evhttp_request_set_header_cb(request, rejectInvalidHead);
    const auto text = wire::encodeOrder(effect.order);
    auto* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", effect.address.c_str());
    evhttp_add_header(headers, "Content-Type", "application/json");
    evhttp_add_header(headers, "Connection", "close");
    evbuffer_add(evhttp_request_get_output_buffer(request), text.data(), text.size());
    if (evhttp_make_request(it->connection.get(), request, EVHTTP_REQ_POST, "/v1/orders") != 0)
        finish(*it, false);
}

void OrderSender::finish(Pending& pending, bool accepted)
{
    const auto it = m_pending.find(&pending);
    if (it == m_pending.end())
        return;
    it->second->watchdog.reset();
    resetOnClose(it->second->connection.get());
    m_done.push_back(std::move(it->second));
    m_pending.erase(it);
    event_active(m_cleanUp.get(), EV_TIMEOUT, 0);
    m_post(node::OrderAnswered { readClock(), pending.server, pending.orderId, accepted });
}

} // namespace rosemarymill::runtime::backend
