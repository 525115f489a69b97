#include <rosemarymill/runtime/health/health.hpp>

namespace rosemarymill::runtime {

void addHealthRoutes(http::Server& server, HealthSources sources)
{
    server.route("GET", "/healthz", [](http::Exchange& exchange) { exchange.reply(200, "text/plain", "ok\n"); });
    server.route("GET", "/readyz", [source = std::move(sources.notReadyReason)](http::Exchange& exchange) {
        const auto reason = source();
        if (reason.empty())
            exchange.reply(200, "text/plain", "ready\n");
        else
            exchange.reply(503, "text/plain", reason + "\n");
    });
    server.route("GET", "/metrics", [source = std::move(sources.metrics)](http::Exchange& exchange) {
        exchange.reply(200, "text/plain; version=0.0.4", source());
    });
}

} // namespace rosemarymill::runtime
