#pragma once

#include <rosemarymill/core/node/policy.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Load and fault scenarios for the admission policy.
namespace rosemarymill::bench {

/// Figure of one run. The bounds apply to the shipped policy only.
struct Figure {
    std::string name;
    double value { 0.0 };
    std::optional<double> atMost;
    std::optional<double> atLeast;
};

/// Named scenario, which runs with a policy and a seed and returns its figures.
struct Scenario {
    std::string name;
    std::function<std::vector<Figure>(node::PolicyChoice, std::uint64_t)> run;
};

[[nodiscard]] std::vector<Scenario> allScenarios();

} // namespace rosemarymill::bench
