#pragma once

#include <rosemarymill/core/node/effect.hpp>
#include <rosemarymill/core/node/event.hpp>
#include <rosemarymill/core/node/state.hpp>

/// Event and message handlers of the top reducer, one source file per part.
namespace rosemarymill::node {

// calls.cpp
void handle(State& state, const CallArrived& event, Effects& effects);
void handle(State& state, const CallerGone& event, Effects& effects);

// attempts.cpp
void handle(State& state, const ResponseStarted& event, Effects& effects);
void handle(State& state, const TokenReceived& event, Effects& effects);
void handle(State& state, const ResponseFinished& event, Effects& effects);
void handle(State& state, const AttemptFailed& event, Effects& effects);

// policy_timer.cpp
void handle(State& state, const ShutdownRequested& event, Effects& effects);

/// Updates admission, routing and quarantine with an accepted announcement.
void serverAnnounced(State& state, const backend::Announcement& announcement, Effects& effects);

/// Advances leases, retry budget, quarantine, draining of stragglers, hedges, digests and shutdown. Called on each
/// tick.
void advancePolicy(State& state, Effects& effects);

// scheduling.cpp

/// Starts waiting calls for which a server has a free slot.
void startWaitingCalls(State& state, Effects& effects);

/// Refuses waiting calls that can no longer meet their deadline.
void refuseExpiredCalls(State& state, Effects& effects);

// streams.cpp
void handle(State& state, const CallerBacklogChanged& event, Effects& effects);

/// Suspends streams whose callers have not read for the stall timeout.
void suspendStalledStreams(State& state, Effects& effects);

// backends.cpp
void handle(State& state, const AnnouncementReceived& event, Effects& effects);
void handle(State& state, const OrderAnswered& event, Effects& effects);

/// Drops servers whose announcements timed out, advances the placement leader and reports changes to it.
void updateGroups(State& state, Effects& effects);

void receive(State& state, const VmId& from, const placement::ServerReport& report, Effects& effects);
void receive(State& state, const VmId& from, const placement::ReportRequest& request, Effects& effects);
void receive(State& state, const VmId& from, const placement::GroupUpdate& update, Effects& effects);

// leader.cpp
void receive(State& state, const VmId& from, const placement::LeaseRequest& message, Effects& effects);
void receive(State& state, const VmId& from, const placement::LeaseReply& message, Effects& effects);
void receive(State& state, const VmId& from, const placement::LeaseRelease& message, Effects& effects);

// members.cpp
void startMembership(State& state, Effects& effects);
void advanceMembership(State& state, Effects& effects);
void receive(State& state, const VmId& from, const membership::Message& message, Effects& effects);

// operators.cpp
void handle(State& state, const ManifestSubmitted& event, Effects& effects);
void handle(State& state, const AvailabilityCommand& event, Effects& effects);

// configuration_log.cpp
void handle(State& state, const ConfigurationPersisted& event, Effects& effects);
void handle(State& state, const ConfigurationStorageChanged& event, Effects& effects);

// ledger_homes.cpp
void handle(State& state, const LedgerPersisted& event, Effects& effects);
void handle(State& state, const LedgerStorageChanged& event, Effects& effects);

/// Starts this process's replica of the configuration log, if it is a voter, and its readiness check. Called once, by
/// the first event.
void startConfiguration(State& state, Effects& effects);

/// Advances the configuration log, its distribution and the pending commands. Called on each tick.
void advanceConfiguration(State& state, Effects& effects);

// peers.cpp
void handle(State& state, const PeerMessageReceived& event, Effects& effects);

} // namespace rosemarymill::node
