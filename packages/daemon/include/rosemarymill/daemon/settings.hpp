#pragma once

#include <rosemarymill/core/limits/connection_table.hpp>
#include <rosemarymill/core/node/effect.hpp>
#include <rosemarymill/core/node/state.hpp>
#include <rosemarymill/runtime/base/log.hpp>

#include <cstdint>
#include <map>
#include <optional>
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
    /// Listener for other entry VMs, "ip:port"; empty without peers.
    std::string peerAddress;
    std::vector<node::PeerSetting> peers;
    std::vector<std::string> configurationVoters;
    /// Voters of the ledger by home data centre.
    std::map<std::string, std::vector<std::string>> ledgerVoters;
    std::vector<std::string> placementAcceptors;
    /// Folder of the write-ahead log and the snapshots; empty on a VM without a disk.
    std::string dataFolder;
    runtime::LogFormat logFormat { runtime::LogFormat::Text };
    node::LogLevel logLevel { node::LogLevel::Info };
    /// File that receives the recorded event trace; empty for none.
    std::string traceFile;
    /// File that receives the spans; empty for none.
    std::string spanFile;
    /// Seed of all random choices; drawn at random at the start when absent.
    std::optional<std::uint64_t> seed;
    /// Limits of the bytes that are buffered for callers. Only the benchmark's baseline runs without limits.
    std::uint64_t streamHighWaterBytes { 64 * 1024 };
    std::uint64_t streamLowWaterBytes { 16 * 1024 };
    std::uint64_t streamBudgetBytes { 16 * 1024 * 1024 };
    /// Limits over all connections to the caller listener.
    std::uint64_t connectionBytes { limits::ConnectionLimits {}.bytes };
    std::uint64_t maxConnections { limits::ConnectionLimits {}.connections };
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

/// Converts the settings to those of the core. The boot id, and the seed when none is set, are drawn from the system's
/// random device.
[[nodiscard]] node::Settings nodeSettings(const Settings& settings);

} // namespace rosemarymill::daemon
