#include <rosemarymill/core/retry/decision.hpp>

namespace rosemarymill::retry {

Decision decide(const Failure& failure) noexcept
{
    if (failure.attempts >= maxAttempts)
        return Decision::GiveUp;
    if (!failure.mayHaveRun)
        return failure.deadlinePassed ? Decision::GiveUp : Decision::Redispatch;
    if (!failure.idempotent)
        return Decision::GiveUp;
    // A stream resumes at its next token index; any other answer cannot be continued once a part of it has been sent.
    if (failure.answerBegun)
        return failure.stream ? Decision::Retry : Decision::GiveUp;
    return failure.deadlinePassed ? Decision::GiveUp : Decision::Retry;
}

call::Outcome outcomeOf(const Failure& failure) noexcept
{
    if (!failure.mayHaveRun)
        return call::Outcome::NotRun;
    return failure.idempotent ? call::Outcome::Failed : call::Outcome::Unknown;
}

} // namespace rosemarymill::retry
