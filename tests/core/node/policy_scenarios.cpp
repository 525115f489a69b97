#include <scenarios.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace rosemarymill;
using namespace rosemarymill::bench;

namespace {

std::vector<Figure> run(const std::string& name, node::PolicyChoice policy, std::uint64_t seed)
{
    const auto scenarios = allScenarios();
    const auto it
        = std::find_if(scenarios.begin(), scenarios.end(), [&](const auto& scenario) { return scenario.name == name; });
    REQUIRE(it != scenarios.end());
    return it->run(policy, seed);
}

bool kept(const Figure& it)
{
    return (!it.atMost || it.value <= *it.atMost) && (!it.atLeast || it.value >= *it.atLeast);
}

/// The shipped policy keeps the invariants under this fault, and the check fails for the policy without them.
void checkScenario(const std::string& name, const std::string& brokenByBaseline)
{
    for (const std::uint64_t seed : { 1, 2 }) {
        for (const auto& it : run(name, node::PolicyChoice::Shipped, seed)) {
            INFO(name << ", seed " << seed << ": " << it.name << " is " << it.value);
            CHECK(kept(it));
        }
    }
    if (brokenByBaseline.empty())
        return;
    const auto baseline = run(name, node::PolicyChoice::Baseline, 1);
    const auto it = std::find_if(
        baseline.begin(), baseline.end(), [&](const auto& figure) { return figure.name == brokenByBaseline; });
    REQUIRE(it != baseline.end());
    CHECK_FALSE(kept(*it));
}

} // namespace

TEST_CASE("Server limits hold while a home dies, pauses or is cut off and a server turns cold", "[policy]")
{
    checkScenario("limits", "requests above a server's limit");
}

TEST_CASE("Ten accounts, three of them large, get goodput by weight", "[policy]")
{
    checkScenario("fair-large", "Jain index of goodput per weight");
}

TEST_CASE("One flooding account does not delay 200 small ones", "[policy]") { checkScenario("fair-small", {}); }

TEST_CASE("Slots follow a backlog that moves between entry VMs", "[policy]")
{
    checkScenario("moving-backlog", "requests above a server's limit");
}

TEST_CASE("Calls that cannot meet their deadline are refused before it", "[policy]")
{
    checkScenario("deadlines", "slowest refusal (s)");
}

TEST_CASE("Retries stay within the budget when half of all attempts break", "[policy]")
{
    checkScenario("retry-storm", {});
}

TEST_CASE("A crashing request costs at most two servers over all entry VMs and resends", "[policy]")
{
    checkScenario("crashing-request", {});
}

TEST_CASE("A key of a non-idempotent call runs at most once", "[policy]") { checkScenario("orders", {}); }

TEST_CASE("A graceful shutdown cuts no call", "[policy]") { checkScenario("shutdown", {}); }

TEST_CASE("A data centre out of service gets no work and its calls are served elsewhere", "[policy]")
{
    checkScenario("data-centre-leaves", {});
}
