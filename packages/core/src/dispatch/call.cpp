#include <rosemarymill/core/dispatch/call.hpp>

#include <array>

namespace rosemarymill::dispatch {

namespace {

/// Time after the start of a shutdown in which the external load balancer may still send new clients: the time until
/// its next readiness check and two checks, one second apart.
constexpr Duration balancerDelay = 2900ms;

/// Time that the process needs to exit after its last request.
constexpr Duration exitMargin = 500ms;

} // namespace

std::string_view nameOf(AttemptOutcome end) noexcept
{
    constexpr std::array<std::string_view, attemptOutcomeCount> names { "not sent", "rejected", "server error",
        "broken", "stalled" };
    return names[static_cast<std::size_t>(end)];
}

Step nextStep(const CallState& state, AttemptOutcome end, bool budgetLeft, Instant now) noexcept
{
    const bool timeLeft = now + minTimeForRetry < state.deadline;
    const bool mayRunAgain = state.possibleRuns == 0 || (state.retryable && state.runs < state.maxServers);
    const bool repeats = state.arrivals > 0 || end != AttemptOutcome::NotSent;
    const bool tooMany = (end == AttemptOutcome::NotSent && state.unsent >= maxUnsent)
        || (end == AttemptOutcome::Rejected && state.rejections >= maxRejections)
        || state.possibleRuns - state.runs >= maxLostServers;
    const bool mayContinue = timeLeft && mayRunAgain && !tooMany && (budgetLeft || !repeats);
    if (mayContinue && !state.quarantined)
        return Step::TryNext;
    if (mayContinue && state.headSent)
        return Step::Wait;
    if (state.headSent)
        return Step::Abort;
    if (end == AttemptOutcome::ServerError)
        return Step::ForwardResponse;
    return state.possibleRuns == 0 ? Step::Refuse : Step::Fail;
}

Step deadlineStep(const CallState& state, bool attemptActive) noexcept
{
    if (state.headSent)
        return Step::Abort;
    return state.possibleRuns == 0 && !attemptActive ? Step::Refuse : Step::Fail;
}

bool acceptsDuringShutdown(const Shutdown& shutdown, const routes::Route& route, Instant now) noexcept
{
    const auto elapsed = now - shutdown.since;
    if (route.kind == routes::RequestKind::Streaming)
        return elapsed < balancerDelay;
    return elapsed + route.timeout + exitMargin < shutdown.grace;
}

} // namespace rosemarymill::dispatch
