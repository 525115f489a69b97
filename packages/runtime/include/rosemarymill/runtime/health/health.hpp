#pragma once

#include <rosemarymill/runtime/http/server.hpp>

#include <functional>
#include <string>

/// Health, readiness and metrics pages, on every listener.
namespace rosemarymill::runtime {

/// Sources of the pages.
struct HealthSources {
    /// Reason why the process is not ready; empty when it is ready.
    std::function<std::string()> notReadyReason;
    /// Metrics in Prometheus text format.
    std::function<std::string()> metrics;
};

/// Adds `GET /healthz`, `/readyz` and `/metrics` to a server.
void addHealthRoutes(http::Server& server, HealthSources sources);

} // namespace rosemarymill::runtime
