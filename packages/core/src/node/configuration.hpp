#pragma once

#include "handlers.hpp"

/// Handlers of the configuration in the top reducer, one source file per part.
namespace rosemarymill::node {

// configuration_log.cpp

/// Whether this process leads the configuration log.
[[nodiscard]] bool leadsConfiguration(const State& state);

/// Proposes a command to this process's replica, which leads the log.
void propose(State& state, const configuration::Command& command, Effects& effects);

void receive(State& state, const VmId& from, const configuration::LogMessage& message, Effects& effects);

// operators.cpp

/// Answers the pending commands with the submission id of the answer.
void answerPending(State& state, const configuration::Answer& answer, Effects& effects);

/// Sends unanswered commands again and answers those past their deadline with NotAccepted.
void advancePending(State& state, Effects& effects);

void receive(State& state, const VmId& from, const configuration::Submit& message, Effects& effects);
void receive(State& state, const VmId& from, const configuration::Reply& message, Effects& effects);

// distribution.cpp

/// Activates the stored entries if their revision is higher than the active one.
void putInForce(State& state, Effects& effects);

/// On the leader: sends the changes after a revision to the relays of all data centres.
void distribute(State& state, Revision from, Effects& effects);

/// Requests missing changes from other processes.
void advancePulls(State& state, Effects& effects);

void receive(State& state, const VmId& from, const configuration::Push& message, Effects& effects);
void receive(State& state, const VmId& from, const configuration::Pull& message, Effects& effects);

/// Sends a message to a process named in the settings. Does nothing for other processes.
void sendTo(const State& state, const VmId& to, PeerMessage message, Effects& effects);

} // namespace rosemarymill::node
