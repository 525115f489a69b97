#include <rosemarymill/core/dispatch/retry_budget.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <random>
#include <vector>

using namespace rosemarymill;
using dispatch::RetryBudget;
using dispatch::RetryLimits;

namespace {

constexpr Instant start { 100s };
constexpr Instant end { 140s };
constexpr Duration step = 10ms;

/// Entry VMs that send as many repeats as their budgets allow.
struct Fleet {
    RetryLimits limits { 0.2, 130, 10s };
    unsigned vms { 7 };
    /// Mean number of requests of one VM per second.
    double rate { 20 };
    /// Number of entry VMs that a VM assumes.
    std::function<unsigned(unsigned vm, Instant now)> assumedVms;
    /// Whether the VM's process restarts now.
    std::function<bool(unsigned vm, Instant now)> restarts = [](unsigned, Instant) { return false; };
    /// Whether requests fail now.
    std::function<bool(Instant now)> failing = [](Instant now) { return (now.time_since_epoch() / 7s) % 2 != 0; };
};

/// Largest excess of repeats over the limit in any window, over all entry VMs.
double maxExcess(const Fleet& fleet, std::uint64_t seed)
{
    const auto& limits = fleet.limits;
    std::minstd_rand random(static_cast<std::minstd_rand::result_type>(seed));
    std::bernoulli_distribution arrives(fleet.rate * std::chrono::duration<double>(step).count());
    // Initially all processes have run for longer than a window.
    std::vector<RetryBudget> budgets(fleet.vms, RetryBudget { limits, start - 60s });
    std::vector<Instant> requests;
    std::vector<Instant> repeats;
    for (auto now = start; now < end; now += step) {
        for (unsigned vm = 0; vm < fleet.vms; ++vm) {
            auto& budget = budgets[vm];
            if (fleet.restarts(vm, now))
                budget = RetryBudget { limits, now };
            if (arrives(random)) {
                budget.countRequest(now);
                requests.push_back(now);
            }
            // Repeats come in bursts, so that windows without repeats are followed by windows with the full budget.
            while (fleet.failing(now) && budget.available(now, fleet.assumedVms(vm, now))) {
                budget.countRepeat(now);
                repeats.push_back(now);
            }
        }
    }
    const auto within = [&](const std::vector<Instant>& times, Instant last) {
        return static_cast<double>(std::upper_bound(times.begin(), times.end(), last)
            - std::upper_bound(times.begin(), times.end(), last - limits.window));
    };
    double worst = -1e9;
    for (const auto last : repeats)
        worst = std::max(worst, within(repeats, last) - limits.ratio * within(requests, last) - limits.slack);
    return worst;
}

/// A fleet of 87 VMs, with limits and a request rate for that size.
Fleet largeFleet()
{
    Fleet it;
    it.limits = { 0.2, 358, 10s };
    it.vms = 87;
    it.rate = 4.7;
    it.assumedVms = [](unsigned, Instant) { return 87; };
    return it;
}

/// A third of the VMs are restarted one after the other, once they have used their budgets.
bool rollingRestart(unsigned vm, Instant now) { return vm < 33 && now == start + 25s + vm * 20ms; }

} // namespace

TEST_CASE("repeats of all entry VMs stay within the shared budget", "[dispatch]")
{
    Fleet fleet;
    fleet.assumedVms = [](unsigned, Instant) { return 7; };
    for (std::uint64_t seed = 1; seed <= 10; ++seed)
        CHECK(maxExcess(fleet, seed) <= 0);
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        CHECK(maxExcess(largeFleet(), seed) <= 0);
}

TEST_CASE("repeats stay within the shared budget while a third of the entry VMs restart", "[dispatch]")
{
    auto fleet = largeFleet();
    fleet.restarts = rollingRestart;
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        CHECK(maxExcess(fleet, seed) <= 0);
    // The restarted processes have not received the number of entry VMs for a while.
    fleet.assumedVms = [](unsigned vm, Instant now) { return vm < 33 && now > start + 25s && now < end - 5s ? 0 : 87; };
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        CHECK(maxExcess(fleet, seed) <= 0);
}

TEST_CASE("repeats stay within the shared budget when all entry VMs restart at once", "[dispatch]")
{
    auto fleet = largeFleet();
    // With few requests, most of the limit is slack.
    fleet.rate = 1;
    fleet.restarts = [](unsigned, Instant now) { return now == start + 25s; };
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
        CHECK(maxExcess(fleet, seed) <= 0);
}

TEST_CASE("a new process leaves most of its share of the slack to its predecessor", "[dispatch]")
{
    const RetryLimits limits { 0.2, 100, 10s };
    const RetryBudget budget(limits, start);
    CHECK(budget.remaining(start + 1s, 1) == Approx(25));
    CHECK(budget.remaining(start + 11s, 1) == Approx(75));
    CHECK(budget.remaining(start + 11s, 4) == Approx(18.75));
}

TEST_CASE("a VM without the number of entry VMs uses no slack", "[dispatch]")
{
    const RetryLimits limits { 0.2, 100, 10s };
    RetryBudget budget(limits, start);
    CHECK_FALSE(budget.available(start + 20s, 0));
    for (int i = 0; i < 100; ++i)
        budget.countRequest(start + 20s);
    CHECK(budget.remaining(start + 20s, 0) == Approx(15));
}

TEST_CASE("requests older than the window do not add to the budget", "[dispatch]")
{
    const RetryLimits limits { 0.2, 0, 10s };
    RetryBudget budget(limits, start);
    for (int i = 0; i < 100; ++i)
        budget.countRequest(start + 20s);
    CHECK(budget.remaining(start + 29s, 7) == Approx(15));
    CHECK(budget.remaining(start + 30s, 7) == Approx(0));
}

TEST_CASE("the check of the retry budget detects VMs that each use the whole slack", "[dispatch]")
{
    Fleet fleet;
    fleet.assumedVms = [](unsigned, Instant) { return 1; };
    CHECK(maxExcess(fleet, 1) > 0);
}

TEST_CASE("the check of the retry budget detects VMs that count only a few of the entry VMs", "[dispatch]")
{
    auto fleet = largeFleet();
    // Each VM receives the number of VMs that connected before it, as from a control VM that is not the leader.
    fleet.assumedVms = [](unsigned vm, Instant now) { return now > start + 25s ? 1 + vm / 6 : 87; };
    CHECK(maxExcess(fleet, 1) > 0);
}
