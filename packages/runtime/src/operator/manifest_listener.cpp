#include <rosemarymill/runtime/operator/manifest_listener.hpp>

#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/base/digest.hpp>
#include <rosemarymill/wire/manifest/reader.hpp>

#include <nlohmann/json.hpp>

namespace rosemarymill::runtime::operators {

ManifestListener::ManifestListener(http::Server& server, PostEvent post)
    : m_post(std::move(post))
{
    server.route("POST", "/v1/manifest", [this](http::Exchange& exchange) { receive(exchange); });
}

void ManifestListener::receive(http::Exchange& exchange)
{
    auto manifest = wire::readManifest(exchange.body());
    if (!manifest) {
        exchange.reply(400, "text/plain", "the manifest is invalid\n");
        return;
    }
    const auto digest = sha256Hex(exchange.body());
    m_post(node::ManifestSubmitted {
        readClock(), m_pending.add(exchange), std::nullopt, digest, digest, std::move(*manifest) });
}

void ManifestListener::reply(const node::ReplyOperator& effect)
{
    auto* exchange = m_pending.take(effect.request);
    if (!exchange)
        return;
    const bool accepted
        = effect.result == node::OperatorResult::Accepted || effect.result == node::OperatorResult::AlreadyAccepted;
    const nlohmann::json document { { "revision", effect.revision.value }, { "detail", effect.detail } };
    exchange->reply(accepted ? 200 : 409, "application/json", document.dump());
}

} // namespace rosemarymill::runtime::operators
