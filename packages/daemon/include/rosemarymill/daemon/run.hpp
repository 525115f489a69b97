#pragma once

#include <rosemarymill/daemon/settings.hpp>

/// The daemon's wiring of process and adapters.
namespace rosemarymill::daemon {

/// Runs the process until it is shut down. Returns the exit code.
int run(const Settings& settings);

} // namespace rosemarymill::daemon
