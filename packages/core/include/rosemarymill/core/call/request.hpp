#pragma once

#include <rosemarymill/core/base/hash.hpp>
#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// A caller's request without its body, which stays in the runtime.
namespace rosemarymill::call {

/// Kind of the call's destination.
enum class Target { Model, Service };

/// Properties of one request, extracted by the runtime.
struct Request {
    /// SHA-256 digest of the bearer token, lower-case hexadecimal.
    std::string tokenDigest;
    Target target { Target::Model };
    /// Model calls: name, adapter and version from `name[:adapter][@version]`.
    ModelName model;
    std::string adapter;
    std::string version;
    /// Service calls: service, HTTP method and path below the service.
    ServiceName service;
    std::string method;
    std::string path;
    /// Kind of request as named in the manifest; empty for the default kind.
    std::string kind;
    std::string idempotencyKey;
    /// Fingerprint of account token, path and body.
    Fingerprint fingerprint;
    /// Hashes of the prompt's leading blocks, longest prefix last.
    std::vector<std::uint64_t> prefixHashes;
    std::uint64_t promptTokens { 0 };
    std::uint64_t maxOutputTokens { 0 };
    std::uint64_t bodyBytes { 0 };
    bool stream { false };
    /// Time from the arrival within which the answer must start; zero means that the manifest's value applies.
    Duration deadline { 0 };
    std::string traceparent;
    /// The call was forwarded by an entry VM of another data centre and must not be forwarded again.
    bool forwarded { false };
};

/// Whether a refused call ran. The caller can rely on it to decide on a resend.
enum class Outcome {
    /// No byte of the request reached a backend server.
    NotRun,
    /// The request ran and failed.
    Failed,
    /// The request may have run.
    Unknown
};

/// Why a call was refused.
enum class RefusalReason {
    BadRequest,
    Unauthenticated,
    UnknownModel,
    UnknownService,
    UnknownRoute,
    MissingIdempotencyKey,
    KeyReused,
    DeadlineUnreachable,
    QueueFull,
    NoCapacity,
    LedgerUnreachable,
    Quarantined,
    ServerFailed,
    AnswerLost,
    ShuttingDown,
    NotReady
};

/// Final negative answer to a caller.
struct Refusal {
    RefusalReason reason { RefusalReason::BadRequest };
    Outcome outcome { Outcome::NotRun };
    /// Time after which a new attempt of the caller can succeed; zero means that no hint is given.
    Duration retryAfter { 0 };
    std::string detail;
};

} // namespace rosemarymill::call
