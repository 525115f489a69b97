#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/core/routes/fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Versioned routing document: which requests are served, by which services and for which client accounts.
namespace rosemarymill::routes {

/// Retry semantics of a request.
enum class RequestKind : std::uint8_t {
    /// May run more than once.
    Idempotent,
    /// Runs at most once per attempt of the client.
    NonIdempotent,
    /// Answered by a stream of events; runs at most once unless the route is resumable.
    Streaming
};

/// Share of a route's traffic that is routed to one service.
struct Share {
    ServiceName service;
    double weight { 1 };

    friend bool operator==(const Share&, const Share&) = default;
};

/// Route. The longest matching path prefix of a host is selected.
struct Route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind { RequestKind::NonIdempotent };
    /// Maximum time that a client waits for the answer.
    Duration timeout {};
    /// Maximum time to the answer, or to a stream's first event, that counts as on time.
    Duration latencyGoal {};
    /// Maximum time between two events of a stream that counts as on time.
    Duration interEventLatencyGoal {};
    /// 0 is the most urgent.
    unsigned priority { 0 };
    std::vector<Share> shares;
    /// Maximum number of servers that may run one attempt of a client.
    unsigned maxServers { 1 };
    /// Needs no API key.
    bool isPublic { false };
    /// A broken stream may resume on another server after its last event.
    bool resumable { false };

    /// Whether a request that may have run may be sent to another server.
    [[nodiscard]] bool isRetryable() const noexcept
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Streaming && resumable);
    }

    friend bool operator==(const Route&, const Route&) = default;
};

/// Model that an engine can load. A replica of it is a group of servers.
struct EngineModel {
    ModelName name;
    unsigned groupSize { 1 };
    /// Initial fraction of the demand that is for this model.
    double demandShare { 1 };
    /// Factor on all times of a group.
    double pace { 1 };
    /// Time to load the weights from the weight store onto a host.
    Duration loadTime {};
    /// Time to start from weights that are already on the host.
    Duration warmUp {};

    friend bool operator==(const EngineModel&, const EngineModel&) = default;
};

/// Batching and loading parameters of an engine service.
struct Engine {
    /// Maximum number of requests that a group batches.
    unsigned slots { 1 };
    std::vector<EngineModel> models;
    /// Maximum number of loads from the weight store that may start per second; 0 means no limit.
    double loadsPerSecond { 0 };
    /// Number of concurrent loads that run at full speed; 0 means no limit.
    unsigned concurrentLoads { 0 };
    /// Time from the order to open a group until it accepts its first request.
    Duration formation {};
    /// Time of one token step of a batch: fixed part, and addition for each request that generates tokens.
    Duration step {};
    Duration stepPerRequest {};
    /// Token steps between two events of a stream.
    unsigned stepsPerPass { 1 };
    /// Mean number of tokens of an answer.
    double meanAnswerTokens { 0 };
    double promptTokensPerSecond { 0 };

    friend bool operator==(const Engine&, const Engine&) = default;
};

/// Service that requests are routed to.
struct Service {
    ServiceName name;
    std::string healthPath;
    /// Maximum number of connections that one server accepts from all callers together.
    unsigned maxConnections { 0 };
    /// Time for which a restarted server is cold.
    Duration coldTime {};
    /// Requests per second that a cold server sustains; 0 means that it has no cold start.
    double coldRate { 0 };
    /// Set for model servers.
    std::optional<Engine> engine;

    friend bool operator==(const Service&, const Service&) = default;
};

/// Client account with its API keys.
struct Account {
    AccountId id;
    std::vector<std::string> keys;
    /// Overrides the route's priority.
    std::optional<unsigned> priority;

    friend bool operator==(const Account&, const Account&) = default;
};

/// Limits on the size and the duration of a client's requests.
struct Limits {
    std::size_t headerBytes { 16 * 1024 };
    std::size_t bodyBytes { 4 * 1024 * 1024 };
    Duration headerTimeout { 3s };
    Duration idleTimeout { 15s };

    friend bool operator==(const Limits&, const Limits&) = default;
};

/// Complete routing document.
struct Document {
    std::uint64_t version { 0 };
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Account> accounts;
    Limits limits;

    friend bool operator==(const Document&, const Document&) = default;
};

/// Violation of a rule by a document.
struct Fault {
    /// JSON pointer to the value.
    std::string path;
    std::string value;
    std::string rule;
};

/// Returns all rule violations of a document: unknown or repeated services, negative weights, weights with a sum of
/// zero, timeouts that are not positive, prefixes without slashes at both ends, equal host and prefix, API keys shared
/// by two accounts.
[[nodiscard]] std::vector<Fault> validate(const Document& document);

} // namespace rosemarymill::routes
