#pragma once

#include "handlers.hpp"

/// Parts of the configuration's integration, one source file per part.
namespace rosemarymill::node {

// configuration_log.cpp

/// Whether this process leads the configuration log.
[[nodiscard]] bool leadsConfiguration(const State& state);

/// Offers a command to the own replica, which leads the log.
void propose(State& state, const configuration::Command& command, Effects& effects);

void receive(State& state, const VmId& from, const configuration::LogMessage& message, Effects& effects);

// operators.cpp

/// Answers the commands that wait for this submission.
void answerPending(State& state, const configuration::Answer& answer, Effects& effects);

/// Sends waiting commands again and gives up on those past their deadline.
void advancePending(State& state, Effects& effects);

void receive(State& state, const VmId& from, const configuration::Submit& message, Effects& effects);
void receive(State& state, const VmId& from, const configuration::Reply& message, Effects& effects);

// distribution.cpp

/// Puts the entries held in force when their revision is higher than the one in force.
void putInForce(State& state, Effects& effects);

/// Sends a change from the leader to the relays of all data centres.
void distribute(State& state, Revision from, Effects& effects);

/// Asks other processes for missing changes.
void advancePulls(State& state, Effects& effects);

void receive(State& state, const VmId& from, const configuration::Push& message, Effects& effects);
void receive(State& state, const VmId& from, const configuration::Pull& message, Effects& effects);

/// Sends to a process named in the settings. Does nothing for others.
void sendTo(const State& state, const VmId& to, PeerMessage message, Effects& effects);

} // namespace rosemarymill::node
