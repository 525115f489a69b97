#include <rosemarymill/core/dispatch/retry_budget.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <vector>

using namespace rosemarymill;

namespace {

/// Largest excess of repeats over the limit in any window, over all entry VMs, when each VM repeats all that its budget
/// allows. `share` is the number of entry VMs that each VM believes in.
double worstExcess(std::uint64_t seed, unsigned vms, unsigned share)
{
    const dispatch::RetryLimits limits { 0.2, 130, 10s };
    std::minstd_rand random(static_cast<std::minstd_rand::result_type>(seed));
    std::vector<dispatch::RetryBudget> budgets(vms, dispatch::RetryBudget { limits });
    std::vector<Instant> requests;
    std::vector<Instant> repeats;
    constexpr Duration step = 10ms;
    for (Instant now { 100s }; now < Instant { 140s }; now += step) {
        for (auto& budget : budgets) {
            if (std::bernoulli_distribution(0.2)(random)) {
                budget.countRequest(now);
                requests.push_back(now);
            }
            // Bursts of repeats, so that windows with none are followed by windows with all.
            if ((now.time_since_epoch() / 7s) % 2 && budget.available(now, share)) {
                budget.countRepeat(now);
                repeats.push_back(now);
            }
        }
    }
    const auto within = [&](const std::vector<Instant>& times, Instant end) {
        return static_cast<double>(
            std::count_if(times.begin(), times.end(), [&](auto it) { return it <= end && it > end - limits.window; }));
    };
    double worst = -1e9;
    for (const auto end : repeats)
        worst = std::max(worst, within(repeats, end) - limits.ratio * within(requests, end) - limits.slack);
    return worst;
}

} // namespace

TEST_CASE("repeats of all entry VMs stay within the shared budget", "[dispatch]")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
        CHECK(worstExcess(seed, 7, 7) <= 0);
}

TEST_CASE("the check of the retry budget notices VMs that take the whole slack each", "[dispatch]")
{
    CHECK(worstExcess(1, 7, 1) > 0);
}
