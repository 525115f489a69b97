#pragma once

#include "handlers.hpp"

#include <span>
#include <string>
#include <variant>
#include <vector>

/// Parts of the call lifecycle, one source file per part.
namespace rosemarymill::node {

/// What the manifest says of a call.
struct CallTerms {
    AccountId account;
    double weight { 1.0 };
    double worth { 1.0 };
    /// Zero means none.
    Duration deadline { 0 };
    bool idempotent { true };
};

/// Server of a pool with this process's lease of it.
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

/// Servers of a pool that may get calls now, in order of their ids or groups.
[[nodiscard]] std::vector<PoolServer> poolServers(State& state, const PoolTarget& target);

/// Records where a server announces itself. Older knowledge is ignored.
void locateServer(State& state, const VmId& home, const admission::DigestEntry& entry, Instant lastAnnounced);
void forgetServer(State& state, const ServerId& server);

/// Tokens that the call holds at a server at most.
[[nodiscard]] std::uint64_t tokenNeed(const Call& call);

// scheduling.cpp

/// Queues a call for its pool.
void enqueue(State& state, Call& call);

/// Takes a call from the queue of its pool. Returns false when it does not wait.
bool removeWaiting(State& state, const Call& call);

/// Starts waiting calls of one pool and asks for the slots that are missing.
void servePool(State& state, const std::string& key, Effects& effects);

/// Refuses a new call whose queue is full or whose deadline cannot be met.
[[nodiscard]] std::optional<call::Refusal> checkQueue(State& state, const Call& call);

/// Charges the account the difference between real and estimated cost.
void correctCost(State& state, const Call& call, double realCost);

// dispatch.cpp

/// Starts an attempt on a server.
void dispatchCall(State& state, Call& call, const PoolServer& server, bool alone, Effects& effects);

/// Starts a second attempt of a late lookup, if a slot is free on another server.
bool dispatchHedge(State& state, Call& call, Effects& effects);

/// Sends a call to another data centre.
void forwardCall(State& state, Call& call, const DataCentreId& dataCentre, Effects& effects);

/// Frees the slot of an attempt and forgets it.
void releaseAttempt(State& state, const Call& call, std::optional<Attempt>& attempt);

/// Starts hedges of lookups that are late.
void hedgeLateCalls(State& state, Effects& effects);

// calls.cpp

/// Ends a call without an effect towards its caller.
void endCall(State& state, CallId id);

/// Refuses a call.
void refuseCall(State& state, CallId id, call::Refusal refusal, Effects& effects);

/// Finishes a call with the answer of an attempt.
void finishCall(
    State& state, CallId id, AttemptId attempt, const std::optional<ledger::Answer>& answer, Effects& effects);

/// Queues a call that may run, or refuses it.
void admitCall(State& state, Call& call, Effects& effects);

/// Queues a call again after a failed attempt.
void requeue(State& state, Call& call);

// streams.cpp

/// Takes in the head of a stream.
void openStream(State& state, const Call& call);

/// Takes in a token: forwards it, drops a repeated one, breaks off the attempt at a gap.
void receiveToken(State& state, const Call& call, const TokenReceived& event, Effects& effects);

/// Takes in the end of a stream. Ends the call now, or when the caller has taken all tokens.
void completeStream(State& state, Call& call, Effects& effects);

/// Forgets the stream of a call.
void closeStream(State& state, CallId call);

// ledger.cpp

/// Whether this process keeps the call's key. A forwarded call's key is kept by the entry VM that forwarded it.
[[nodiscard]] bool ownsKey(const Call& call);

/// Asks the ledger whether a non-idempotent call may run. The call is queued, answered or refused on its decision.
void beginKey(State& state, Call& call, Effects& effects);

/// Gives the key of a call back that has not run, or records that the answer of a call is lost.
void settleKey(State& state, const Call& call, call::Outcome outcome, Effects& effects);

/// Records the answer of a call under its key.
void recordAnswer(State& state, const Call& call, const std::optional<ledger::Answer>& answer, Effects& effects);

/// Hands an event to the dispatcher's side of the ledger and carries out its effects.
void applyLedger(State& state, const ledger::ClientEvent& event, Effects& effects);

/// Repeats what is due. Called on each tick.
void advanceLedger(State& state, Effects& effects);

/// Whether answers or given-up keys are not yet committed by their homes.
[[nodiscard]] bool hasUnsettledKeys(const State& state);

// slots.cpp

/// Weight of an account in the manifest.
[[nodiscard]] double weightOf(const State& state, const AccountId& account);

/// Renews this process's lease of a server whose home it is. Returns whether calls may have become startable.
bool exchangeLocally(State& state, const ServerId& server, admission::Lease& lease);

/// Sends due reports to the homes and due grants to the entry VMs, each pair at its pace.
void sendReports(State& state, Effects& effects);
void sendGrants(State& state, bool urgent, Effects& effects);
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

/// Reports that the request ran alone to its end.
void reportCleared(State& state, const Fingerprint& fingerprint, Effects& effects);

/// Reports that a server answered after it was suspected of a crash.
void reportSurvival(State& state, const quarantine::Crash& crash, Effects& effects);

void receive(State& state, const VmId& from, const quarantine::CrashReport& message, Effects& effects);

// send.cpp

/// Sends a message to one entry VM named in the settings.
void sendTo(State& state, const VmId& vm, PeerMessage message, Effects& effects);

/// Entry VMs of the same data centre without this one.
[[nodiscard]] std::vector<VmId> localPeers(const State& state);

} // namespace rosemarymill::node
