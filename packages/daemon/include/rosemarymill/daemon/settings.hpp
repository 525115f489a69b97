#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// Settings of the daemon from flags and ROSEMARYMILL_* environment variables. A flag takes precedence.
namespace rosemarymill::daemon {

/// Settings of one process.
struct Settings {
    std::string vm;
    std::string dataCentre;
    /// Listener for callers and backend servers, "ip:port".
    std::string callerAddress;
    /// Listener for operators, "ip:port".
    std::string operatorAddress;
    /// Bounds on the bytes that wait for callers. Without limits only the benchmark's baseline runs.
    std::uint64_t streamHighWaterBytes { 64 * 1024 };
    std::uint64_t streamLowWaterBytes { 16 * 1024 };
    std::uint64_t streamBudgetBytes { 16 * 1024 * 1024 };
    std::uint64_t streamStallMs { 10'000 };
    bool checkOnly { false };
    bool help { false };
};

/// Result of reading the settings. The settings are usable when there are no errors.
struct ParsedSettings {
    Settings settings;
    /// One line per fault.
    std::vector<std::string> errors;
    /// Text for --help.
    std::string usage;
};

/// Reads the settings of a process.
[[nodiscard]] ParsedSettings parseSettings(int argc, const char* const* argv);

} // namespace rosemarymill::daemon
