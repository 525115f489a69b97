#pragma once

#include <rosemarymill/core/node/effect.hpp>
#include <rosemarymill/core/node/event.hpp>
#include <rosemarymill/core/node/state.hpp>

/// Handlers of the parts of the top reducer, one source file per part.
namespace rosemarymill::node {

// calls.cpp
void handle(State& state, const CallArrived& event, Effects& effects);
void handle(State& state, const CallerGone& event, Effects& effects);
void handle(State& state, const ResponseStarted& event, Effects& effects);
void handle(State& state, const TokenReceived& event, Effects& effects);
void handle(State& state, const ResponseFinished& event, Effects& effects);
void handle(State& state, const AttemptFailed& event, Effects& effects);

/// Frees the slot of a call's attempt. The call stays.
void releaseAttempt(State& state, Call& call);

/// Queues a call again, to be continued at its next token.
void requeue(State& state, Call& call, Effects& effects);

/// Ends a call without an effect towards its caller.
void endCall(State& state, CallId id);

/// Starts waiting calls for which a server has a free slot.
void startWaitingCalls(State& state, Effects& effects);

/// Refuses waiting calls whose deadline has passed.
void refuseExpiredCalls(State& state, Effects& effects);

// streams.cpp
void handle(State& state, const CallerBacklogChanged& event, Effects& effects);

/// Takes in the head of a stream.
void openStream(State& state, const Call& call);

/// Takes in a token: forwards it, drops a repeated one, breaks off the attempt at a gap.
void receiveToken(State& state, Call& call, const TokenReceived& event, Effects& effects);

/// Takes in the end of a stream. Ends the call now, or when the caller has taken all tokens.
void completeStream(State& state, Call& call, Effects& effects);

/// Forgets the stream of a call.
void closeStream(State& state, CallId call);

/// Parks streams whose callers have stopped reading.
void parkStalledStreams(State& state, Effects& effects);

// backends.cpp
void handle(State& state, const AnnouncementReceived& event, Effects& effects);
void handle(State& state, const OrderAnswered& event, Effects& effects);

/// Drops servers without a recent announcement and updates the groups.
void updateGroups(State& state, Effects& effects);

// operators.cpp
void handle(State& state, const ManifestSubmitted& event, Effects& effects);
void handle(State& state, const AvailabilityCommand& event, Effects& effects);

// peers.cpp
void handle(State& state, const PeerMessageReceived& event, Effects& effects);

} // namespace rosemarymill::node
