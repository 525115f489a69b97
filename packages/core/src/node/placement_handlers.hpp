#pragma once

#include "handlers.hpp"

/// Handlers of placement and membership in the top reducer, one source file per part.
namespace rosemarymill::node {

// members.cpp
/// Address of another process's peer listener; empty when neither membership nor the settings have it.
[[nodiscard]] std::string peerAddress(const State& state, const VmId& vm);
/// Home of a server, to which it announces itself: chosen by rendezvous hashing over the data centre's live members.
[[nodiscard]] VmId homeOf(const State& state, const ServerId& server);

// backends.cpp
void updateLeader(State& state, const VmId& leader, FencingNumber fencing);
/// Sends the changes since the last report to the leader, with the digest when it is due.
void sendReport(State& state, Effects& effects);

// leader.cpp
[[nodiscard]] bool isLeader(const State& state);
void reduceLease(State& state, const placement::LeaseEvent& event, Effects& effects);
void reducePlanner(State& state, const placement::PlannerEvent& event, Effects& effects);
/// Applies a home's report to the planner and the lease. Does nothing to the planner unless this process leads.
void applyReport(State& state, const VmId& home, const placement::ServerReport& report, Effects& effects);
/// Advances the lease and, on its holder, the planner.
void advanceLeader(State& state, Effects& effects);

} // namespace rosemarymill::node
