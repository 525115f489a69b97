#pragma once

#include <rosemarymill/core/call/request.hpp>

#include <string>
#include <string_view>
#include <variant>

/// Extraction of the facts of a caller's request.
namespace rosemarymill::runtime::caller {

/// Prompt bytes per block whose hash is reported for prefix affinity; about 64 tokens.
inline constexpr std::size_t prefixBlockBytes = 256;

/// Blocks hashed at most, so that the core's work for a long prompt is bounded.
inline constexpr std::size_t maxPrefixBlocks = 32;

/// Prompt bytes per token, for the estimate of the prompt's length.
inline constexpr std::size_t bytesPerToken = 4;

/// Output tokens assumed when the caller states no limit.
inline constexpr std::uint64_t defaultMaxOutputTokens = 512;

/// Parts of an HTTP request that the facts are extracted from. Absent headers are empty.
struct HttpParts {
    std::string_view method;
    std::string_view path;
    std::string_view query;
    std::string_view body;
    std::string_view authorization;
    std::string_view kind;
    std::string_view idempotencyKey;
    std::string_view deadlineMs;
    std::string_view traceparent;
};

/// Why a request is refused before it reaches the core.
struct BadRequest {
    std::string detail;
};

/// Reads a request in the OpenAI format.
[[nodiscard]] std::variant<call::Request, BadRequest> parseModelRequest(const HttpParts& parts);

/// Reads a request to /v1/services/{service}/{path}.
[[nodiscard]] std::variant<call::Request, BadRequest> parseServiceRequest(const HttpParts& parts);

} // namespace rosemarymill::runtime::caller
