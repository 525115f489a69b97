#pragma once

#include <rosemarymill/core/node/state.hpp>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

/// Health, status and metrics pages of a process.
namespace rosemarymill::runtime {

/// HTTP response without connection headers.
struct Page {
    int status { 200 };
    std::string contentType { "application/json" };
    std::string body;
};

/// Whether the load balancer may send callers to this process.
struct Readiness {
    bool ready { false };
    /// Why the process is not ready, or a warning while it is.
    std::string reason;
};

/// Produces the Prometheus text of the process's metrics.
using MetricsText = std::function<std::string()>;

[[nodiscard]] Readiness readiness(const node::State& state);

/// Configuration, servers, groups and calls of the process as JSON.
[[nodiscard]] std::string statusJson(const node::State& state);

/// Accepted revisions as JSON, newest first.
[[nodiscard]] std::string revisionsJson(const node::State& state);

/// Page of /healthz, /readyz or /metrics, which every HTTP listener offers; empty for other paths.
[[nodiscard]] std::optional<Page> monitoringPage(
    std::string_view path, const node::State& state, const MetricsText& metrics);

} // namespace rosemarymill::runtime
