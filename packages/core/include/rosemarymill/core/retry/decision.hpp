#pragma once

#include <rosemarymill/core/call/request.hpp>

#include <cstdint>

/// What happens to a call whose attempt failed.
namespace rosemarymill::retry {

/// Facts of the call and of its failed attempt.
struct Failure {
    bool idempotent { false };
    /// A byte of the call can have reached a backend server in this or an earlier attempt.
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
    /// Run again from the start, or from the next token index of a stream. Needs the budget.
    Retry,
    /// Dispatch again without the budget: nothing was sent.
    Redispatch,
    GiveUp
};

/// Attempts of one call after which it is given up.
inline constexpr std::uint32_t maxAttempts = 4;

[[nodiscard]] Decision decide(const Failure& failure) noexcept;

/// Outcome to state when the call is given up. It is NotRun only when no byte of the call can have reached a server,
/// and Failed only for idempotent calls, which can be asked again without harm.
[[nodiscard]] call::Outcome outcomeOf(const Failure& failure) noexcept;

} // namespace rosemarymill::retry
