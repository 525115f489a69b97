#include <rosemarymill/ctl/exit_code.hpp>

namespace rosemarymill::ctl {

std::string_view describe(ExitCode code) noexcept
{
    switch (code) {
    case ExitCode::Success:
        return "success";
    case ExitCode::Usage:
        return "wrong command line";
    case ExitCode::Invalid:
        return "invalid manifest";
    case ExitCode::Conflict:
        return "conflict with another submission";
    case ExitCode::NotAccepted:
        return "not accepted, no effect";
    case ExitCode::Unreachable:
        return "no entry VM answered, outcome unknown";
    }
    return "unknown";
}

} // namespace rosemarymill::ctl
