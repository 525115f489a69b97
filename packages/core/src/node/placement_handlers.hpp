#pragma once

#include "handlers.hpp"

/// Parts of placement and membership inside the top reducer.
namespace rosemarymill::node {

// members.cpp
/// Address of another process's peer listener; empty when it is unknown.
[[nodiscard]] std::string peerAddress(const State& state, const VmId& vm);
/// Entry VM to which a server announces itself: by rendezvous hashing over the running members of the data centre.
[[nodiscard]] VmId homeOf(const State& state, const ServerId& server);

// backends.cpp
void learnLeader(State& state, const VmId& leader, FencingNumber fencing);
/// Sends what has changed since the last report to the leader, and the digest when it is due.
void sendReport(State& state, Effects& effects);

// leader.cpp
[[nodiscard]] bool isLeader(const State& state);
void reduceLease(State& state, const placement::LeaseEvent& event, Effects& effects);
void reducePlanner(State& state, const placement::PlannerEvent& event, Effects& effects);
/// Takes in a report at the leader.
void takeReport(State& state, const VmId& home, const placement::ServerReport& report, Effects& effects);
/// Advances the lease and, at its holder, the planner.
void advanceLeader(State& state, Effects& effects);

} // namespace rosemarymill::node
