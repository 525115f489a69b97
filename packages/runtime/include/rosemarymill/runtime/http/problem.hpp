#pragma once

#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/core/call/request.hpp>

#include <string>

/// Problem documents as defined by RFC 9457.
namespace rosemarymill::runtime::http {

class Exchange;

/// Contents of a problem document.
struct Problem {
    int status { 500 };
    std::string title;
    /// "not_run", "failed" or "unknown".
    std::string outcome;
    std::string detail;
    /// Value of the Retry-After header; zero omits it.
    Duration retryAfter { 0 };
};

/// Converts a refusal of the core.
[[nodiscard]] Problem problemOf(const call::Refusal& refusal);

/// Formats the document as JSON.
[[nodiscard]] std::string formatProblem(const Problem& problem);

/// Answers a request with a problem document.
void replyProblem(Exchange& exchange, const Problem& problem);

} // namespace rosemarymill::runtime::http
