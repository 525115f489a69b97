#pragma once

#include <rosemarymill/ctl/arguments.hpp>
#include <rosemarymill/ctl/exit_code.hpp>

#include <iosfwd>
#include <string>
#include <string_view>

/// Commands of rosemarymillctl.
namespace rosemarymill::ctl {

/// Carries out one command. Results are written to out, faults to err.
[[nodiscard]] ExitCode run(const Arguments& arguments, std::ostream& out, std::ostream& err);

/// The status page as text for people. Text that is not a status page is returned as it is.
[[nodiscard]] std::string renderStatus(std::string_view json);

/// The list of revisions as text for people.
[[nodiscard]] std::string renderRevisions(std::string_view json);

} // namespace rosemarymill::ctl
