#pragma once

#include <rosemarymill/core/base/sink.hpp>
#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/core/ledger/message.hpp>

#include <cstdint>
#include <map>
#include <variant>

/// A voter's side of a ledger home: it turns requests into proposals and committed commands into replies.
namespace rosemarymill::ledger {

/// Age at which the leader asks the dispatcher about an open reservation.
inline constexpr Duration checkAge = 2s;

/// Time between two questions about the same reservation.
inline constexpr Duration checkInterval = 2s;

/// Time between two proposals that advance the ledger's time.
inline constexpr Duration advanceInterval = 60s;

/// Most reservations asked about in one tick, so that many open reservations cause no burst.
inline constexpr std::size_t maxChecksPerTick = 64;

/// Most requests whose reply is pending. Beyond it requests are dropped and repeated by their sender.
inline constexpr std::size_t maxPendingRequests = 10'000;

/// A request arrived.
struct RequestReceived {
    Instant now;
    VmId from;
    Request request;
};

/// A command was committed and applied.
struct CommandApplied {
    Instant now;
    Command command;
    Outcome outcome;
};

/// Leadership of the home's log changed.
struct LeadershipChanged {
    Instant now;
    bool leading { false };
    VmId leader;
};

/// Periodic timer.
struct HomeTick {
    Instant now;
};

using HomeEvent = std::variant<RequestReceived, CommandApplied, LeadershipChanged, HomeTick>;

/// Hands a command to the replicated log.
struct Propose {
    Command command;
};

/// Sends a message to a process that runs calls.
struct SendToDispatcher {
    VmId to;
    Message message;
};

using HomeEffect = std::variant<Propose, SendToDispatcher>;
using HomeEffects = EffectList<HomeEffect>;

/// State of a voter's side of one home.
struct HomeState {
    DataCentreId home;
    bool leading { false };
    VmId leader;
    /// Senders that await the reply for a token.
    std::map<Token, VmId> pending;
    /// Open reservations and when to ask about them next.
    std::map<Key, Instant> nextCheck;
    Instant nextAdvance;
};

/// Applies one event. The machine is the one that the home's log drives.
void reduce(HomeState& state, const Machine& machine, const HomeEvent& event, HomeEffects& effects);

} // namespace rosemarymill::ledger
