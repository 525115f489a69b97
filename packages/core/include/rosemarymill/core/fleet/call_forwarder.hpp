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

/// Events of a VM that takes calls.
namespace event {

/// A caller has sent a call.
struct CallReceived {
    Instant now;
    CallId id { 0 };
    ControlCall call;
};

/// The caller has closed its connection.
struct CallerDisconnected {
    Instant now;
    CallId id { 0 };
};

/// A connection to the leader stands, or none does any more.
struct LeaderReached {
    Instant now;
};

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

/// Why a call ends without the leader's answer.
enum class ForwardFailure : std::uint8_t {
    /// No leader has been reached for longer than an election takes.
    NoLeader,
    /// The call was sent to a leader, which did not answer in time. It may be executed.
    Unknown,
    /// No leader accepted the call in time. It is not executed.
    NotAccepted,
    /// Too many calls wait.
    Full
};

/// Name of a failure for logs and answers.
[[nodiscard]] constexpr const char* nameOf(ForwardFailure failure) noexcept
{
    switch (failure) {
    case ForwardFailure::NoLeader:
        return "no leader is known";
    case ForwardFailure::Unknown:
        return "the outcome is not known";
    case ForwardFailure::NotAccepted:
        return "no leader took the call in time";
    case ForwardFailure::Full:
        break;
    }
    return "too many calls wait";
}

/// Effects of a VM that takes calls.
namespace effect {

struct OfferCall {
    CallOffer offer;
};

struct SendCall {
    ForwardedCall call;
};

/// Answers the caller with the leader's answer. `offers` tells how often the call was offered.
struct AnswerCaller {
    CallId id { 0 };
    ControlAnswer answer;
    unsigned offers { 0 };
    Duration age {};
};

/// Tells the caller that there is no answer.
struct FailCall {
    CallId id { 0 };
    ForwardFailure failure { ForwardFailure::Unknown };
    unsigned offers { 0 };
    Duration age {};
};

} // namespace effect

using ForwarderEffect = std::variant<effect::OfferCall, effect::SendCall, effect::AnswerCaller, effect::FailCall>;

/// Forwards calls to the leader, whichever it is, until they are answered, their callers leave, or the time for which
/// callers wait is over. It holds calls through an election.
class CallForwarder {
public:
    using Effects = EffectList<ForwarderEffect>;

    /// Calls that may wait at once. Callers have a few in progress.
    static constexpr std::size_t maxCalls = 256;

    void reduce(const ForwarderEvent& event, Effects& effects);

    [[nodiscard]] std::size_t waiting() const noexcept { return m_calls.size(); }

    /// When a call that is read now may have arrived: a process that stood still reads calls that have waited.
    [[nodiscard]] Instant earliestArrival(Instant now) const noexcept;

private:
    struct Pending {
        ControlCall call;
        Instant takenAt;
        std::optional<Instant> offeredAt;
        unsigned offers { 0 };
        /// The leader was sent the call at least once.
        bool sent { false };
    };

    void handle(const event::CallReceived& event, Effects& effects);
    void handle(const event::CallerDisconnected& event, Effects& effects);
    void handle(const event::LeaderReached& event, Effects& effects);
    void handle(const event::LeaderLost& event, Effects& effects);
    void handle(const event::TicketArrived& event, Effects& effects);
    void handle(const event::AnswerArrived& event, Effects& effects);
    void handle(const event::ForwarderTick& event, Effects& effects);
    /// Offers a call that is young enough and has no offer under way.
    void offer(CallId id, Pending& it, Instant now, Effects& effects) const;
    static void fail(CallId id, const Pending& it, ForwardFailure failure, Instant now, Effects& effects);

    std::map<CallId, Pending> m_calls;
    std::optional<Instant> m_tickedAt;
    /// Calls that are read until `m_wakingUntil` may have arrived at `m_stillSince`.
    Instant m_stillSince;
    Instant m_wakingUntil;
    bool m_reached { false };
    /// Since when no leader is reached.
    std::optional<Instant> m_lostSince;
};

} // namespace rosemarymill::fleet
