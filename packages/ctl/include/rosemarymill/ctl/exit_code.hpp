#pragma once

#include <string_view>

/// Exit codes of rosemarymillctl.
namespace rosemarymill::ctl {

/// Exit code of a command, for use in scripts.
enum class ExitCode : int {
    Success = 0,
    /// The command line is wrong.
    Usage = 2,
    /// The manifest is invalid.
    Invalid = 3,
    /// The command conflicts with an earlier submission, e.g. the expected revision was superseded or the submission id
    /// was used for other content.
    Conflict = 4,
    /// The command was not accepted and has had no effect; it may be repeated.
    NotAccepted = 5,
    /// No entry VM answered. The command may have been accepted; repeat it with the same submission id.
    Unreachable = 6
};

/// Short description of an exit code for the usage text.
[[nodiscard]] std::string_view describe(ExitCode code) noexcept;

} // namespace rosemarymill::ctl
