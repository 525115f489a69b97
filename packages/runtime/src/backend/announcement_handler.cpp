#include <rosemarymill/runtime/backend/announcement_handler.hpp>

#include <rosemarymill/runtime/base/address.hpp>
#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/wire/backend/json.hpp>

#include <nlohmann/json.hpp>

namespace rosemarymill::runtime::backend {

namespace {

void refuse(http::Exchange& exchange, const std::string& reason)
{
    const nlohmann::json document { { "reason", reason } };
    exchange.reply(400, "application/json", document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace

AnnouncementHandler::AnnouncementHandler(http::Server& server, PostEvent post)
    : m_post(std::move(post))
{
    server.route("POST", "/v1/backends/announce", [this](http::Exchange& exchange) { receive(exchange); });
}

void AnnouncementHandler::receive(http::Exchange& exchange)
{
    std::vector<wire::JsonFault> faults;
    auto announcement = wire::decodeAnnouncement(exchange.body(), faults);
    if (!announcement) {
        refuse(exchange, wire::describe(faults));
        return;
    }
    if (!parseAddress(announcement->address)) {
        refuse(exchange, "address is not ip:port");
        return;
    }
    m_post(node::AnnouncementReceived { readClock(), m_pending.add(exchange), std::move(*announcement) });
}

void AnnouncementHandler::reply(const node::ReplyAnnouncement& effect)
{
    auto* exchange = m_pending.take(effect.request);
    if (!exchange)
        return;
    if (!effect.accepted) {
        refuse(*exchange, effect.reason);
        return;
    }
    const auto interval = std::chrono::duration_cast<std::chrono::milliseconds>(effect.interval);
    const nlohmann::json document { { "interval_ms", interval.count() }, { "home", effect.home } };
    exchange->reply(200, "application/json", document.dump());
}

} // namespace rosemarymill::runtime::backend
