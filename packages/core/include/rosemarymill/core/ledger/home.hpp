#pragma once

#include <rosemarymill/core/base/sink.hpp>
#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/core/ledger/message.hpp>

#include <cstdint>
#include <map>
#include <variant>

/// Ledger home at a voter: turns requests into proposals and committed commands into replies.
namespace rosemarymill::ledger {

/// Age of an open reservation at which the leader first sends a Check to the dispatcher.
inline constexpr Duration checkAge = 2s;

/// Time between two Checks of the same reservation.
inline constexpr Duration checkInterval = 2s;

/// Time between two proposals that advance the ledger's time.
inline constexpr Duration advanceInterval = 60s;

/// Largest number of Checks sent in one tick, so that many open reservations cause no burst.
inline constexpr std::size_t maxChecksPerTick = 64;

/// Largest number of requests whose reply is pending. Further requests are dropped; their senders repeat them.
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

/// Proposes a command to the replicated log.
struct Propose {
    Command command;
};

/// Sends a message to a dispatcher.
struct SendToDispatcher {
    VmId to;
    Message message;
};

using HomeEffect = std::variant<Propose, SendToDispatcher>;
using HomeEffects = EffectList<HomeEffect>;

/// State of one home at a voter.
struct HomeState {
    DataCentreId home;
    bool leading { false };
    VmId leader;
    /// Senders that await the reply for a token.
    std::map<Token, VmId> pending;
    /// Open reservations and when to send their next Check.
    std::map<Key, Instant> nextCheck;
    Instant nextAdvance;
};

/// Applies one event. `machine` is the state machine of the home's log.
void reduce(HomeState& state, const Machine& machine, const HomeEvent& event, HomeEffects& effects);

} // namespace rosemarymill::ledger
