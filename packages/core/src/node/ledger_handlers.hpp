#pragma once

#include "call_handlers.hpp"

/// Ledger homes that run in this process.
namespace rosemarymill::node {

/// Applies a request to a home in this process. Does nothing when the home does not run here.
void receiveRequest(State& state, const VmId& from, const ledger::Request& request, Effects& effects);

/// Handles a message of another voter of a ledger log.
void receive(State& state, const VmId& from, const ledger::LogMessage& message, Effects& effects);

/// Advances the logs and the homes. Called on each tick.
void advanceHomes(State& state, Effects& effects);

/// Starts the replicas from their recovered states.
void startHomes(State& state, Effects& effects);

} // namespace rosemarymill::node
