#pragma once

#include <rosemarymill/core/agreement/replica.hpp>
#include <rosemarymill/core/configuration/machine.hpp>

/// The configuration log.
namespace rosemarymill::configuration {

using Replica = agreement::Replica<Machine>;
using LogMessage = agreement::Message<Command, Snapshot>;
using LogRecord = agreement::Record<Command, Snapshot>;
using PersistedLog = agreement::PersistedState<Command, Snapshot>;

/// Name of the configuration log, in messages and in the data folder.
inline constexpr const char* logName = "configuration";

} // namespace rosemarymill::configuration
