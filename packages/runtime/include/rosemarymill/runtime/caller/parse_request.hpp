#pragma once

#include <rosemarymill/core/call/request.hpp>

#include <string>
#include <string_view>
#include <variant>

/// Extraction of a request's attributes from its HTTP representation.
namespace rosemarymill::runtime::caller {

/// Prompt bytes per block whose hash is reported for prefix affinity; about 64 tokens.
inline constexpr std::size_t prefixBlockBytes = 256;

/// Blocks hashed at most, so that the core's work for a long prompt is bounded.
inline constexpr std::size_t maxPrefixBlocks = 32;

/// Prompt bytes per token, for estimating the prompt's length in tokens.
inline constexpr std::size_t bytesPerToken = 4;

/// Limit on output tokens when the caller sets none.
inline constexpr std::uint64_t defaultMaxOutputTokens = 512;

/// Parts of an HTTP request from which the attributes are extracted. Absent headers are empty.
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

/// Why a request is rejected before it reaches the core.
struct BadRequest {
    std::string detail;
};

/// Parses a request in the OpenAI format.
[[nodiscard]] std::variant<call::Request, BadRequest> parseModelRequest(const HttpParts& parts);

/// Parses a request to /v1/services/{service}/{path}.
[[nodiscard]] std::variant<call::Request, BadRequest> parseServiceRequest(const HttpParts& parts);

} // namespace rosemarymill::runtime::caller
