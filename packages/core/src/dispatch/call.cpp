#include <rosemarymill/core/dispatch/call.hpp>

namespace rosemarymill::dispatch {

Step nextStep(const CallState& state, AttemptEnd end, bool budgetLeft, Instant now) noexcept
{
    const bool timeLeft = now + minTimeForRetry < state.deadline;
    const bool mayRunAgain = state.possibleRuns == 0 || (state.repeatable && state.runs < state.maxServers);
    bool another = timeLeft && mayRunAgain;
    switch (end) {
    case AttemptEnd::NotSent:
        another = another && state.unsent < maxUnsent;
        break;
    case AttemptEnd::Rejected:
        another = another && budgetLeft && state.rejections < maxRejections;
        break;
    case AttemptEnd::ServerError:
    case AttemptEnd::Broken:
    case AttemptEnd::Stalled:
        another = another && budgetLeft;
        break;
    }
    if (another)
        return Step::TryNext;
    if (state.headSent)
        return Step::Abort;
    if (end == AttemptEnd::ServerError)
        return Step::PassOn;
    return state.possibleRuns == 0 ? Step::Refuse : Step::Fail;
}

} // namespace rosemarymill::dispatch
