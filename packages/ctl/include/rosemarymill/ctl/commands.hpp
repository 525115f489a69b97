#pragma once

#include <rosemarymill/ctl/arguments.hpp>
#include <rosemarymill/ctl/exit_code.hpp>

#include <iosfwd>
#include <string>
#include <string_view>

/// Commands of rosemarymillctl.
namespace rosemarymill::ctl {

/// Executes one command. Results are written to out, errors to err.
[[nodiscard]] ExitCode run(const Arguments& arguments, std::ostream& out, std::ostream& err);

/// Formats the JSON status page as readable text. Text that is not a JSON object is returned unchanged.
[[nodiscard]] std::string renderStatus(std::string_view json);

/// Formats the JSON list of revisions as readable text. Text that is not a JSON object is returned unchanged.
[[nodiscard]] std::string renderRevisions(std::string_view json);

} // namespace rosemarymill::ctl
