#include "costs.hpp"
#include "scenarios.hpp"

#include <boost/program_options.hpp>

#include <cstdio>
#include <iostream>

/// Compares the shipped placement policy with the baseline under failures, and checks the bounds of the design page.
namespace rosemarymill::bench {

namespace {

/// Bounds of the design page in seconds: detection within 3 s, decision within one heartbeat interval after it.
constexpr double maxDetection = 3.0;
constexpr double maxDecision = 1.0;
/// Seconds within which a healthy VM must serve or load again: 3 s detection, 1 s decision, unloading, and 16 s in
/// which the weight store sends the weights of one large group (8 times 40 GB at 20 GB/s).
constexpr double maxStranded = 3 + 1 + 16;
/// Failures and restarts per day at the design size, scaled from 3,300 servers to 470.
constexpr int failuresPerDay = 20 * 470 / 3300;
constexpr int restartsPerDay = 1200 * 470 / 3300;

struct Costs {
    Cost serverLoss;
    Cost secondServerLoss;
    Cost domainLoss;
    Cost day;
};

void add(Cost& sum, const Cost& it)
{
    sum.downtime += it.downtime;
    sum.stranded += it.stranded;
    sum.longestStranded = std::max(sum.longestStranded, it.longestStranded);
    sum.detection = std::max(sum.detection, it.detection);
    sum.decision = std::max(sum.decision, it.decision);
}

template <placement::PlacementPolicy Policy> Cost runDay(Scenario<Policy>& scenario, int episodes)
{
    Cost sum;
    const int total = failuresPerDay + restartsPerDay;
    for (int i = 0; i < episodes; ++i) {
        const bool failure = i % total < failuresPerDay;
        add(sum, scenario.measure(60s, [&](auto& it) {
            const auto id = it.randomLiveServer();
            if (failure)
                it.fleet.kill(id);
            else
                it.fleet.restart(id);
        }));
        if (failure)
            scenario.restartDeadServers();
    }
    return sum;
}

template <placement::PlacementPolicy Policy> Costs runAll(std::uint32_t seed, int episodes)
{
    Costs costs;
    Scenario<Policy> scenario(seed);
    costs.serverLoss = scenario.measure(180s, [](auto& it) { it.fleet.kill(it.memberOfLargeGroup(3)); });
    scenario.restartDeadServers();
    costs.secondServerLoss = scenario.measure(180s, [](auto& it) {
        const auto second = it.memberOfLargeGroup(5);
        it.fleet.kill(it.memberOfLargeGroup(3));
        it.fleet.run(4s);
        it.fleet.kill(second);
    });
    scenario.restartDeadServers();
    costs.domainLoss = scenario.measure(300s, [](auto& it) {
        const auto domain = it.fleet.servers.at(it.memberOfLargeGroup(0)).actualState.fabricDomain;
        for (auto& [id, server] : it.fleet.servers)
            server.dead = server.dead || server.actualState.fabricDomain == domain;
    });
    scenario.restartDeadServers();
    costs.day = runDay(scenario, episodes);
    return costs;
}

void print(const char* scenario, const char* policy, const Cost& cost)
{
    std::printf("| %s | %s | %.1f | %.1f | %.1f | %.2f | %.2f |\n", scenario, policy, cost.downtime, cost.stranded,
        cost.longestStranded, cost.detection, cost.decision);
}

int checkCost(const char* scenario, const Cost& cost)
{
    int missed = 0;
    const auto check = [&](double value, double bound, const char* what) {
        if (value <= bound)
            return;
        std::printf("MISSED: %s: %s %.2f s, bound %.2f s\n", scenario, what, value, bound);
        ++missed;
    };
    check(cost.detection, maxDetection, "detection");
    check(cost.decision, maxDecision, "decision");
    check(cost.longestStranded, maxStranded, "longest stranded");
    return missed;
}

int compare(std::uint32_t seed, int episodes)
{
    const auto shipped = runAll<placement::WarmSparePolicy>(seed, episodes);
    const auto baseline = runAll<placement::FirstFitPolicy>(seed, episodes);
    std::printf(
        "| scenario | policy | downtime, group s | stranded, accelerator s | longest stranded, s | detection, s "
        "| decision, s |\n| --- | --- | ---: | ---: | ---: | ---: | ---: |\n");
    int missed = 0;
    const auto row = [&](const char* name, const Cost Costs::*member) {
        print(name, "shipped", shipped.*member);
        print(name, "baseline", baseline.*member);
    };
    row("one loss", &Costs::serverLoss);
    row("second loss during repair", &Costs::secondServerLoss);
    row("loss of a fabric domain", &Costs::domainLoss);
    row("day", &Costs::day);
    missed += checkCost("one loss", shipped.serverLoss);
    missed += checkCost("second loss during repair", shipped.secondServerLoss);
    missed += checkCost("loss of a fabric domain", shipped.domainLoss);
    missed += checkCost("day", shipped.day);
    std::printf("\n");
    return missed;
}

} // namespace

} // namespace rosemarymill::bench

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    std::uint32_t seed = 1;
    int episodes = rosemarymill::bench::failuresPerDay + rosemarymill::bench::restartsPerDay;
    options::options_description description("bench-groups options");
    auto add = description.add_options();
    add("help", "print this text");
    add("seed", options::value(&seed), "seed of the failures");
    add("episodes", options::value(&episodes), "failures and restarts of the day; fewer shorten the run");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    const int missed = rosemarymill::bench::compare(seed, episodes) + rosemarymill::bench::measureCosts();
    return missed == 0 ? 0 : 1;
}
