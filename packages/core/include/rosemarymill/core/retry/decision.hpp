#pragma once

#include <rosemarymill/core/call/request.hpp>

#include <cstdint>

/// Retry decision for a call whose attempt failed.
namespace rosemarymill::retry {

/// Properties of the call and its failed attempt that determine the decision.
struct Failure {
    bool idempotent { false };
    /// A byte of the call may have reached a backend server in this or an earlier attempt.
    bool mayHaveRun { false };
    /// The caller has received a part of the answer.
    bool answerBegun { false };
    /// The answer is a stream with token indexes.
    bool stream { false };
    std::uint32_t attempts { 1 };
    bool deadlinePassed { false };
};

/// What to do next.
enum class Decision {
    /// Run the call again from the start, or from the next token index of a stream. Requires the retry budget.
    Retry,
    /// Dispatch the call again without charging the retry budget, because nothing was sent.
    Redispatch,
    GiveUp
};

/// Maximum number of attempts of one call.
inline constexpr std::uint32_t maxAttempts = 4;

[[nodiscard]] Decision decide(const Failure& failure) noexcept;

/// Outcome to report if the call is given up. It is NotRun only if no byte of the call can have reached a server, and
/// Failed only for idempotent calls, which the caller can repeat without harm.
[[nodiscard]] call::Outcome outcomeOf(const Failure& failure) noexcept;

} // namespace rosemarymill::retry
