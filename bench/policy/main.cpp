#include "scenarios.hpp"

#include <boost/program_options.hpp>

#include <cstdio>
#include <iostream>

using namespace rosemarymill;
using namespace rosemarymill::bench;

namespace {

bool withinBounds(const Figure& it)
{
    return (!it.atMost || it.value <= *it.atMost) && (!it.atLeast || it.value >= *it.atLeast);
}

std::string boundText(const Figure& it)
{
    char text[64] = "";
    if (it.atMost && it.atLeast)
        std::snprintf(text, sizeof text, "%g to %g", *it.atLeast, *it.atMost);
    else if (it.atMost)
        std::snprintf(text, sizeof text, "at most %.3g", *it.atMost);
    else if (it.atLeast)
        std::snprintf(text, sizeof text, "at least %.3g", *it.atLeast);
    return text;
}

/// Prints the figures of one scenario as table rows. Returns whether the shipped policy keeps all bounds.
bool report(const Scenario& scenario, std::uint64_t seed)
{
    const auto shipped = scenario.run(node::PolicyChoice::Shipped, seed);
    const auto baseline = scenario.run(node::PolicyChoice::Baseline, seed);
    bool allKept = true;
    for (std::size_t i = 0; i < shipped.size(); ++i) {
        const bool kept = withinBounds(shipped[i]);
        const auto bound = boundText(shipped[i]);
        std::printf("| %s | %s | %.3f | %.3f | %s | %s |\n", scenario.name.c_str(), shipped[i].name.c_str(),
            shipped[i].value, baseline[i].value, bound.c_str(), bound.empty() ? "" : (kept ? "kept" : "MISSED"));
        allKept = allKept && kept;
    }
    std::fflush(stdout);
    return allKept;
}

} // namespace

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    std::string scenarioName;
    std::uint64_t seed = 1;
    options::options_description description("bench-policy");
    description.add_options()("help", "print this text")("scenario", options::value(&scenarioName),
        "run one scenario only")("seed", options::value(&seed), "seed of all random choices");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    if (values.contains("help")) {
        std::cout << description;
        return 0;
    }
    bool allKept = true;
    bool found = false;
    std::puts("| scenario | figure | shipped | baseline | bound | verdict |\n| --- | --- | --- | --- | --- | --- |");
    for (const auto& scenario : allScenarios()) {
        if (!scenarioName.empty() && scenario.name != scenarioName)
            continue;
        found = true;
        allKept = report(scenario, seed) && allKept;
    }
    if (!found) {
        std::cerr << "unknown scenario '" << scenarioName << "'\n";
        return 2;
    }
    return allKept ? 0 : 1;
}
