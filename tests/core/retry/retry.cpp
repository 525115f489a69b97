#include <rosemarymill/core/retry/budget.hpp>
#include <rosemarymill/core/retry/decision.hpp>
#include <rosemarymill/core/retry/hedge.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using namespace rosemarymill::retry;

TEST_CASE("Retries stay within a tenth of the traffic and a small constant", "[retry]")
{
    Budget budget;
    Instant now { 100s };
    int retries = 0;
    for (int i = 0; i < 10'000; ++i) {
        now += 1ms;
        budget.advance(now);
        budget.deposit();
        // Every call fails and requests a retry, as when all servers are down.
        retries += budget.tryWithdraw() ? 1 : 0;
    }
    CHECK(retries <= 1000 + 5 + 4);
    CHECK(retries >= 990);
}

TEST_CASE("A non-idempotent call that may have run is never retried and never reported as not run", "[retry]")
{
    for (const bool answerBegun : { false, true }) {
        for (const bool stream : { false, true }) {
            Failure failure { false, true, answerBegun, stream, 1, false };
            CHECK(decide(failure) == Decision::GiveUp);
            CHECK(outcomeOf(failure) == call::Outcome::Unknown);
        }
    }
    CHECK(decide({ false, false, false, false, 1, false }) == Decision::Redispatch);
    CHECK(outcomeOf({ false, false, false, false, 1, false }) == call::Outcome::NotRun);
}

TEST_CASE("A broken stream resumes; any other broken answer is given up once a part of it was sent", "[retry]")
{
    CHECK(decide({ true, true, true, true, 1, false }) == Decision::Retry);
    CHECK(decide({ true, true, true, true, 1, true }) == Decision::Retry);
    CHECK(decide({ true, true, true, false, 1, false }) == Decision::GiveUp);
    CHECK(decide({ true, true, false, false, 1, false }) == Decision::Retry);
    CHECK(decide({ true, true, false, false, maxAttempts, false }) == Decision::GiveUp);
    CHECK(outcomeOf({ true, true, false, false, maxAttempts, false }) == call::Outcome::Failed);
}

TEST_CASE("The hedge delay is the 95th percentile of answer times", "[retry]")
{
    HedgeDelay delay;
    CHECK_FALSE(delay.delay().has_value());
    for (int i = 0; i < 2000; ++i)
        delay.observe(Duration { 1000 * (i * 37 % 100) });
    CHECK(delay.delay()->count() == Approx(95'000).margin(4000));
}
