#pragma once

#include <rosemarymill/core/base/sink.hpp>
#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/core/fleet/call_times.hpp>
#include <rosemarymill/core/fleet/forwarded_call.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace rosemarymill::fleet {

/// Events of a VM that accepts operator calls.
namespace event {

/// A call was read from a caller's connection.
struct CallReceived {
    Instant now;
    CallId id { 0 };
    ControlCall call;
};

/// The caller closed its connection.
struct CallerDisconnected {
    Instant now;
    CallId id { 0 };
};

/// The connection to the leader was established.
struct LeaderReached {
    Instant now;
};

/// The connection to the leader was lost.
struct LeaderLost {
    Instant now;
};

struct TicketArrived {
    Instant now;
    CallTicket ticket;
};

struct AnswerArrived {
    Instant now;
    ForwardedAnswer answer;
};

struct ForwarderTick {
    Instant now;
};

} // namespace event

using ForwarderEvent = std::variant<event::CallReceived, event::CallerDisconnected, event::LeaderReached,
    event::LeaderLost, event::TicketArrived, event::AnswerArrived, event::ForwarderTick>;

/// Why a call failed without an answer from the leader.
enum class ForwardFailure : std::uint8_t {
    /// No leader has been connected for `noLeaderTimeout`, which is longer than an election takes.
    NoLeader,
    /// The call was sent to a leader, which did not answer in time. It may have been executed.
    Unknown,
    /// No leader issued a ticket in time, so the call was not sent and is not executed.
    NotAccepted,
    /// `CallForwarder::maxCalls` calls are pending.
    Full
};

/// Text of a failure for logs and answers to callers.
[[nodiscard]] constexpr const char* nameOf(ForwardFailure failure) noexcept
{
    switch (failure) {
    case ForwardFailure::NoLeader:
        return "no leader is known";
    case ForwardFailure::Unknown:
        return "the outcome is not known";
    case ForwardFailure::NotAccepted:
        return "no leader accepted the call in time";
    case ForwardFailure::Full:
        break;
    }
    return "too many calls wait";
}

/// Effects of a VM that accepts operator calls.
namespace effect {

/// Sends an offer to the leader.
struct OfferCall {
    CallOffer offer;
};

/// Sends the call itself to the leader, after its ticket.
struct SendCall {
    ForwardedCall call;
};

/// Sends the leader's answer to the caller. `offers` counts the offers that were sent; `age` is the time since the
/// call was received.
struct AnswerCaller {
    CallId id { 0 };
    ControlAnswer answer;
    unsigned offers { 0 };
    Duration age {};
};

/// Reports to the caller that its call failed without an answer.
struct FailCall {
    CallId id { 0 };
    ForwardFailure failure { ForwardFailure::Unknown };
    unsigned offers { 0 };
    Duration age {};
};

} // namespace effect

using ForwarderEffect = std::variant<effect::OfferCall, effect::SendCall, effect::AnswerCaller, effect::FailCall>;

/// Forwards operator calls to the current leader. A call stays pending, also during an election, until it is answered,
/// its caller disconnects or its answer timeout expires.
class CallForwarder {
public:
    using Effects = EffectList<ForwarderEffect>;

    /// Limit on pending calls. Callers have only a few in progress.
    static constexpr std::size_t maxCalls = 256;

    void reduce(const ForwarderEvent& event, Effects& effects);

    [[nodiscard]] std::size_t waiting() const noexcept { return m_calls.size(); }

    /// Earliest time at which a call that is read now may have arrived. After a pause of the process this is the last
    /// tick before the pause, since the call may have waited in the socket's receive buffer.
    [[nodiscard]] Instant earliestArrival(Instant now) const noexcept;

private:
    struct Pending {
        ControlCall call;
        Instant receivedAt;
        std::optional<Instant> offeredAt;
        unsigned offers { 0 };
        /// The call was sent to a leader at least once, so it may have been executed.
        bool sent { false };
    };

    void handle(const event::CallReceived& event, Effects& effects);
    void handle(const event::CallerDisconnected& event, Effects& effects);
    void handle(const event::LeaderReached& event, Effects& effects);
    void handle(const event::LeaderLost& event, Effects& effects);
    void handle(const event::TicketArrived& event, Effects& effects);
    void handle(const event::AnswerArrived& event, Effects& effects);
    void handle(const event::ForwarderTick& event, Effects& effects);
    /// Sends an offer if the call is within its offer window and the last offer was sent at least `offerInterval` ago.
    void offer(CallId id, Pending& it, Instant now, Effects& effects) const;
    static void fail(CallId id, const Pending& it, ForwardFailure failure, Instant now, Effects& effects);

    std::map<CallId, Pending> m_calls;
    std::optional<Instant> m_tickedAt;
    /// Calls that are read before `m_backlogUntil` may have arrived as early as `m_pausedSince`.
    Instant m_pausedSince;
    Instant m_backlogUntil;
    bool m_leaderConnected { false };
    /// Since when no leader has been connected.
    std::optional<Instant> m_noLeaderSince;
};

} // namespace rosemarymill::fleet
