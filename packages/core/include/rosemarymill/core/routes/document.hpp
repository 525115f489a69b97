#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/core/routes/fwd.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Versioned document that says which requests are served, by which services and for which client accounts.
namespace rosemarymill::routes {

/// What may be repeated of a request.
enum class RequestKind : std::uint8_t {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each attempt of the client.
    NonIdempotent,
    /// Answered by a stream of events; runs at most once unless the route is resumable.
    Streaming
};

/// Part of a route's traffic that goes to one service.
struct Share {
    ServiceName service;
    double weight { 1 };

    friend bool operator==(const Share&, const Share&) = default;
};

/// One route. The longest matching prefix of a host wins.
struct Route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind { RequestKind::NonIdempotent };
    /// Longest time that a client is kept waiting.
    Duration timeout {};
    /// Time to the answer, or to a stream's first event, that counts as on time.
    Duration latencyGoal {};
    /// Longest pause between two events of a stream that counts as on time.
    Duration interEventLatencyGoal {};
    /// 0 is the most urgent.
    unsigned priority { 0 };
    std::vector<Share> shares;
    /// Most servers that may run one attempt of a client.
    unsigned maxServers { 1 };
    /// Needs no API key.
    bool isPublic { false };
    /// A broken stream may continue on another server after its last event.
    bool resumable { false };

    /// Whether a request that may have run can be sent to another server.
    [[nodiscard]] bool isRetryable() const noexcept
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Streaming && resumable);
    }

    friend bool operator==(const Route&, const Route&) = default;
};

/// Model that an engine can load. A replica is a group of servers.
struct EngineModel {
    ModelName name;
    unsigned groupSize { 1 };
    /// Part of the work at the start that needs this model.
    double demandShare { 1 };
    /// Factor on all times of a group.
    double pace { 1 };
    /// Load from the weight store onto a host.
    Duration loadTime {};
    /// Start from weights that the host holds.
    Duration warmUp {};

    friend bool operator==(const EngineModel&, const EngineModel&) = default;
};

/// Batching and loading figures of an engine service.
struct Engine {
    /// Requests that a group runs together.
    unsigned slots { 1 };
    std::vector<EngineModel> models;
    /// Most loads from the weight store that may start in a second; 0 means no limit.
    double loadsPerSecond { 0 };
    /// Loads that run at full speed together; 0 means no limit.
    unsigned concurrentLoads { 0 };
    /// Time between the order to open a group and its first request.
    Duration formation {};
    /// Token step of a batch, without and for each request that writes.
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
    /// Connections that one server accepts from all callers together.
    unsigned maxConnections { 0 };
    /// Time for which a restarted server is cold.
    Duration coldTime {};
    /// Requests per second that a cold server bears; 0 means that it has no cold start.
    double coldRate { 0 };
    /// Set for model servers.
    std::optional<Engine> engine;

    friend bool operator==(const Service&, const Service&) = default;
};

/// Client account with its API keys.
struct Account {
    AccountId id;
    std::vector<std::string> keys;
    /// Takes precedence over the route's priority.
    std::optional<unsigned> priority;

    friend bool operator==(const Account&, const Account&) = default;
};

/// Bounds on what a client may send and how long it may take.
struct Limits {
    std::size_t headerBytes { 16 * 1024 };
    std::size_t bodyBytes { 4 * 1024 * 1024 };
    Duration headerTimeout { 3s };
    Duration idleTimeout { 15s };

    friend bool operator==(const Limits&, const Limits&) = default;
};

/// Complete document.
struct Document {
    std::uint64_t version { 0 };
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Account> accounts;
    Limits limits;

    friend bool operator==(const Document&, const Document&) = default;
};

/// Rule that a document breaks.
struct Fault {
    /// JSON pointer of the value.
    std::string path;
    std::string value;
    std::string rule;
};

/// All rules that a document breaks: unknown services, equal host and prefix, weights that add up to nothing, zero
/// timeouts, prefixes without slashes, API keys that two accounts share.
[[nodiscard]] std::vector<Fault> validate(const Document& document);

} // namespace rosemarymill::routes
