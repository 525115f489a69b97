#include <rosemarymill/core/dispatch/call.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using dispatch::AttemptOutcome;
using dispatch::CallState;
using dispatch::Step;

namespace {

constexpr Instant now { 100s };

CallState state()
{
    CallState it;
    it.maxServers = 2;
    it.deadline = now + 5s;
    return it;
}

} // namespace

TEST_CASE("a request that may have run is repeated only where that is allowed", "[dispatch]")
{
    auto it = state();
    it.runs = it.possibleRuns = 1;
    CHECK(nextStep(it, AttemptOutcome::Broken, true, now) == Step::Fail);
    it.retryable = true;
    CHECK(nextStep(it, AttemptOutcome::Broken, true, now) == Step::TryNext);
    it.runs = it.possibleRuns = 2;
    CHECK(nextStep(it, AttemptOutcome::Broken, true, now) == Step::Fail);
}

TEST_CASE(
    "a quarantined request goes to no further server, and its stream waits until the request is cleared", "[dispatch]")
{
    auto it = state();
    it.retryable = it.streaming = it.quarantined = true;
    it.possibleRuns = it.arrivals = 1;
    CHECK(nextStep(it, AttemptOutcome::Broken, true, now) == Step::Fail);
    it.headSent = true;
    CHECK(nextStep(it, AttemptOutcome::Broken, true, now) == Step::Wait);
    CHECK(nextStep(it, AttemptOutcome::Broken, false, now) == Step::Abort);
    it.quarantined = false;
    CHECK(nextStep(it, AttemptOutcome::Broken, true, now) == Step::TryNext);
}

TEST_CASE(
    "a stream whose servers terminated before it can have begun is tried at a bounded number of servers", "[dispatch]")
{
    auto it = state();
    it.retryable = it.streaming = true;
    it.possibleRuns = it.arrivals = dispatch::maxLostServers - 1;
    CHECK(nextStep(it, AttemptOutcome::Broken, true, now) == Step::TryNext);
    ++it.possibleRuns;
    CHECK(nextStep(it, AttemptOutcome::Broken, true, now) == Step::Fail);
}

TEST_CASE("a call is refused as not run only if no attempt can have run", "[dispatch]")
{
    auto it = state();
    it.rejections = 1;
    CHECK(nextStep(it, AttemptOutcome::Rejected, false, now) == Step::Refuse);
    // A retryable request is not reported as not run either after an attempt that may have run.
    it.retryable = true;
    it.runs = it.possibleRuns = 1;
    CHECK(nextStep(it, AttemptOutcome::Rejected, false, now) == Step::Fail);
}

TEST_CASE(
    "an attempt that was not sent does not exempt a request that reached a server from the retry budget", "[dispatch]")
{
    auto it = state();
    it.unsent = 1;
    CHECK(nextStep(it, AttemptOutcome::NotSent, false, now) == Step::TryNext);
    it.arrivals = it.rejections = 1;
    CHECK(nextStep(it, AttemptOutcome::NotSent, false, now) == Step::Refuse);
    CHECK(nextStep(it, AttemptOutcome::NotSent, true, now) == Step::TryNext);
}

TEST_CASE("the next step respects retryability, retry budget, server limit and deadline in all states", "[dispatch]")
{
    for (unsigned bits = 0; bits < 2048; ++bits) {
        auto it = state();
        it.retryable = bits & 1U;
        it.headSent = bits & 2U;
        it.possibleRuns = (bits >> 2U) & 3U;
        it.runs = std::min(it.possibleRuns, (bits >> 4U) & 3U);
        it.rejections = (bits >> 6U) & 3U;
        const bool budget = bits & 256U;
        if (bits & 512U)
            it.deadline = now;
        it.arrivals = it.possibleRuns + it.rejections + (bits & 1024U ? 1 : 0);
        for (const auto end : { AttemptOutcome::NotSent, AttemptOutcome::Rejected, AttemptOutcome::ServerError,
                 AttemptOutcome::Broken, AttemptOutcome::Stalled }) {
            const auto step = nextStep(it, end, budget, now);
            CAPTURE(bits, static_cast<int>(end));
            CHECK_FALSE((step == Step::Refuse && it.possibleRuns > 0));
            CHECK_FALSE((step == Step::TryNext && !it.retryable && it.possibleRuns > 0));
            CHECK_FALSE((step == Step::TryNext && it.possibleRuns > 0 && it.runs >= it.maxServers));
            CHECK_FALSE((step == Step::TryNext && !budget && end != AttemptOutcome::NotSent));
            CHECK_FALSE((step == Step::TryNext && !budget && it.arrivals > 0));
            CHECK_FALSE((step == Step::TryNext && it.deadline <= now));
            CHECK((!it.headSent || step == Step::Abort || step == Step::TryNext));
        }
    }
}

TEST_CASE("a request in progress at its deadline is not reported as not run", "[dispatch]")
{
    auto it = state();
    CHECK(deadlineStep(it, true) == Step::Fail);
    CHECK(deadlineStep(it, false) == Step::Refuse);
    it.possibleRuns = 1;
    CHECK(deadlineStep(it, false) == Step::Fail);
    it.headSent = true;
    CHECK(deadlineStep(it, true) == Step::Abort);
}

TEST_CASE("during a shutdown only requests that can finish are accepted", "[dispatch]")
{
    const dispatch::Shutdown shutdown { now, 8s };
    routes::Route stream;
    stream.kind = routes::RequestKind::Streaming;
    stream.timeout = 8s;
    CHECK(acceptsDuringShutdown(shutdown, stream, now + 2s));
    CHECK_FALSE(acceptsDuringShutdown(shutdown, stream, now + 3s));
    routes::Route lookup;
    lookup.kind = routes::RequestKind::Idempotent;
    lookup.timeout = 1s;
    CHECK(acceptsDuringShutdown(shutdown, lookup, now + 6s));
    CHECK_FALSE(acceptsDuringShutdown(shutdown, lookup, now + 7s));
}
