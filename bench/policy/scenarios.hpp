#pragma once

#include <rosemarymill/core/node/policy.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Scenarios of load and faults for the policy.
namespace rosemarymill::bench {

/// Figure of one run. Bounds hold for the shipped policy only.
struct Figure {
    std::string name;
    double value { 0.0 };
    std::optional<double> atMost;
    std::optional<double> atLeast;
};

/// One scenario under one policy and seed.
struct Scenario {
    std::string name;
    std::function<std::vector<Figure>(node::PolicyChoice, std::uint64_t)> run;
};

[[nodiscard]] std::vector<Scenario> allScenarios();

} // namespace rosemarymill::bench
