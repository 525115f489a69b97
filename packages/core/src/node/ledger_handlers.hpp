#pragma once

#include "call_handlers.hpp"

/// The ledger homes that this process keeps.
namespace rosemarymill::node {

/// Hands a request to a home of this process. Does nothing when the process keeps no such home.
void receiveRequest(State& state, const VmId& from, const ledger::Request& request, Effects& effects);

/// Takes in a message of another voter.
void receive(State& state, const VmId& from, const ledger::LogMessage& message, Effects& effects);

/// Advances the logs and the homes. Called on each tick.
void advanceHomes(State& state, Effects& effects);

/// Starts the replicas from their recovered states.
void startHomes(State& state, Effects& effects);

} // namespace rosemarymill::node
