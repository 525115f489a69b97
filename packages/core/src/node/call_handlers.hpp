#pragma once

#include "handlers.hpp"

#include <span>
#include <string>
#include <variant>
#include <vector>

/// Handlers of the call lifecycle in the top reducer, one source file per part.
namespace rosemarymill::node {

/// Properties of a call that the manifest determines.
struct CallTerms {
    AccountId account;
    double weight { 1.0 };
    double worth { 1.0 };
    /// Time from the arrival to the start of the answer; zero means no deadline.
    Duration deadline { 0 };
    bool idempotent { true };
};

/// Server of a pool with this process's lease for it.
struct PoolServer {
    ServerId server;
    const LocatedServer* located { nullptr };
    GroupId group;
    FencingNumber fencing;
    admission::Lease* lease { nullptr };
    bool local { false };
};

// call_checks.cpp

/// Checks a request against the manifest.
[[nodiscard]] std::variant<CallTerms, call::Refusal> checkCall(const State& state, const call::Request& request);

// pools.cpp

[[nodiscard]] PoolTarget poolTarget(const call::Request& request);
[[nodiscard]] std::string poolKey(const PoolTarget& target);

/// Servers of a pool that may receive calls now, ordered by server id (services) or group id (models).
[[nodiscard]] std::vector<PoolServer> poolServers(State& state, const PoolTarget& target);

/// Records the home of a server. Ignored when another home has received a later announcement.
void updateServerLocation(State& state, const VmId& home, const admission::DigestEntry& entry, Instant lastAnnounced);
void removeServer(State& state, const ServerId& server);

/// Maximum number of tokens that the call occupies in a server's token memory; 0 for services.
[[nodiscard]] std::uint64_t tokenNeed(const Call& call);

// scheduling.cpp

/// Queues a call for its pool.
void enqueue(State& state, Call& call);

/// Removes a call from the queue of its pool. Returns false when it is not queued.
bool removeWaiting(State& state, const Call& call);

/// Starts waiting calls of one pool, requests the missing slots and forwards the overflow to other data centres.
void servePool(State& state, const std::string& key, Effects& effects);

/// Returns a refusal when the call's queue is full, no server can hold the call, or its deadline cannot be met.
[[nodiscard]] std::optional<call::Refusal> checkQueue(State& state, const Call& call);

/// Charges the account for the difference between the real and the estimated cost.
void correctCost(State& state, const Call& call, double realCost);

// dispatch.cpp

/// Starts an attempt on a server.
void dispatchCall(State& state, Call& call, const PoolServer& server, bool alone, Effects& effects);

/// Starts a second attempt of a slow lookup if another server has a free slot. Returns whether it did.
bool dispatchHedge(State& state, Call& call, Effects& effects);

/// Forwards a call to another data centre.
void forwardCall(State& state, Call& call, const DataCentreId& dataCentre, Effects& effects);

/// Frees the slot of an attempt and removes the attempt.
void releaseAttempt(State& state, const Call& call, std::optional<Attempt>& attempt);

/// Starts hedges for lookups whose first attempt is slow.
void hedgeLateCalls(State& state, Effects& effects);

// calls.cpp

/// Removes a call without sending anything to its caller.
void endCall(State& state, CallId id);

/// Refuses a call.
void refuseCall(State& state, CallId id, call::Refusal refusal, Effects& effects);

/// Finishes a call with the answer of an attempt.
void finishCall(
    State& state, CallId id, AttemptId attempt, const std::optional<ledger::Answer>& answer, Effects& effects);

/// Queues a call, or refuses it if checkQueue() does.
void admitCall(State& state, Call& call, Effects& effects);

/// Queues a call again after a failed attempt.
void requeue(State& state, Call& call);

// streams.cpp

/// Handles the head of a stream.
void openStream(State& state, const Call& call);

/// Handles a token: forwards it, drops a duplicate, and cancels the attempt when a token is missing.
void receiveToken(State& state, const Call& call, const TokenReceived& event, Effects& effects);

/// Handles the end of a stream. The call ends now, or once the caller's connection has accepted all tokens.
void completeStream(State& state, Call& call, Effects& effects);

/// Removes the stream of a call.
void closeStream(State& state, CallId call);

// ledger.cpp

/// Whether this process manages the call's idempotency key. For a forwarded call, the entry VM that forwarded it does.
[[nodiscard]] bool ownsKey(const Call& call);

/// Requests a reservation of a non-idempotent call's key. The ledger's decision queues, answers or refuses the call.
void reserveKey(State& state, Call& call, Effects& effects);

/// Ends the key's reservation without an answer: releases the key if the call has not run, otherwise records that its
/// answer is lost.
void endReservation(State& state, const Call& call, call::Outcome outcome, Effects& effects);

/// Records the answer of a call under its key, or that the answer is lost when there is none.
void recordAnswer(State& state, const Call& call, const std::optional<ledger::Answer>& answer, Effects& effects);

/// Applies an event to the dispatcher's side of the ledger and executes its effects.
void applyLedger(State& state, const ledger::ClientEvent& event, Effects& effects);

/// Sends unanswered ledger requests again and advances the homes. Called on each tick.
void advanceLedger(State& state, Effects& effects);

/// Whether homes have yet to commit answers or released keys.
[[nodiscard]] bool hasUncommittedKeys(const State& state);

// slots.cpp

/// Weight of an account in the manifest; 1 when it has none.
[[nodiscard]] double weightOf(const State& state, const AccountId& account);

/// Renews this process's lease for a server whose home it is itself. Returns whether more calls may be able to start.
bool renewLocalLease(State& state, const ServerId& server, admission::Lease& lease);

/// Sends due reports to the homes, at a limited rate for each home.
void sendReports(State& state, Effects& effects);
/// Sends changed grants to the entry VMs; at a limited rate for each entry VM, unless urgent.
void sendGrants(State& state, bool urgent, Effects& effects);
/// Sends the digest of this home's servers to the data centre's entry VMs when it changed or is due.
void sendHomeDigest(State& state, Effects& effects);

void receive(State& state, const VmId& from, const admission::SlotRequest& message, Effects& effects);
void receive(State& state, const VmId& from, const admission::SlotReturn& message, Effects& effects);
void receive(State& state, const VmId& from, const admission::SlotGrant& message, Effects& effects);
void receive(State& state, const VmId& from, const admission::HomeDigest& message, Effects& effects);

// remote.cpp

void receive(State& state, const VmId& from, const routing::CapacityDigest& message, Effects& effects);
void sendCapacityDigests(State& state, Effects& effects);

// crashes.cpp

/// Reports a crash of the server with the requests that this process has in flight there.
void reportCrash(State& state, const quarantine::Crash& crash, Effects& effects);

/// Reports that a suspect request completed while it ran alone on a server.
void reportCleared(State& state, const Fingerprint& fingerprint, Effects& effects);

/// Detail of the refusal of a request with a part that crashes servers.
inline constexpr const char* refusedPartDetail
    = "a part of the prompt was running on backend servers when they crashed";

/// Whether a leading block of the request's prompt is refused.
[[nodiscard]] bool hasRefusedPart(const State& state, const call::Request& request);

/// Reports that the server has answered the call, so that none of its parts crashes servers.
void reportSurvived(State& state, const Call& call, const Attempt& attempt, Effects& effects);

/// Reports that a server did not crash: it answered or announced itself after the reported crash.
void reportRetracted(State& state, const quarantine::Crash& crash, Effects& effects);

void receive(State& state, const VmId& from, const quarantine::CrashReport& message, Effects& effects);

// send.cpp

/// Sends a message to one entry VM named in the settings.
void sendTo(State& state, const VmId& vm, PeerMessage message, Effects& effects);

/// The other entry VMs of the same data centre.
[[nodiscard]] std::vector<VmId> localPeers(const State& state);

} // namespace rosemarymill::node
