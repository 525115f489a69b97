#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Command line and ROSEMARYMILL_* variables of rosemarymillctl. A flag takes precedence over its variable.
namespace rosemarymill::ctl {

enum class Command { Check, Apply, TakeOut, BringBack, Status, Revisions };

/// Default time to wait for one entry VM. It is longer than the time for which the entry VM itself waits for a
/// decision.
inline constexpr std::chrono::milliseconds defaultTimeout { 20'000 };

/// One command with its options.
struct Arguments {
    Command command { Command::Status };
    /// Operator listeners of entry VMs, "ip:port", tried in order.
    std::vector<std::string> addresses;
    /// Manifest file of check and apply; "-" is standard input.
    std::string file;
    /// "data-centre" or "vm", and its name.
    std::string unitKind;
    std::string unitName;
    std::optional<std::uint64_t> expectRevision;
    std::string submissionId;
    std::chrono::milliseconds timeout { defaultTimeout };
    bool json { false };
    bool watch { false };
    bool help { false };
};

/// Result of reading the command line. The arguments are usable when there are no errors.
struct ParsedArguments {
    Arguments arguments;
    /// One line per fault.
    std::vector<std::string> errors;
    /// Text for --help.
    std::string usage;
};

/// Reads the command line and the environment.
[[nodiscard]] ParsedArguments parseArguments(int argc, const char* const* argv);

} // namespace rosemarymill::ctl
