#pragma once

#include <rosemarymill/daemon/settings.hpp>

/// Connects the daemon's process with its adapters.
namespace rosemarymill::daemon {

/// Runs the process until it is shut down. Returns the exit code.
int run(const Settings& settings);

} // namespace rosemarymill::daemon
