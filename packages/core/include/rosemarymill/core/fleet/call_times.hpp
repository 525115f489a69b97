#pragma once

#include <rosemarymill/core/base/time.hpp>

#include <cstdint>

/// Times of a call on its way to the leader, which have to fit into the time for which its caller waits.
namespace rosemarymill::fleet {

/// Times of one call. The leader begins it at most `pauseThreshold` + `offerWindow` + `ticketLifetime` after it
/// arrived, which is before its caller leaves.
struct CallTimes {
    /// The call is offered to a leader until this time after it was taken.
    Duration offerWindow {};
    /// Time in which a call has to arrive after its ticket was sent.
    Duration ticketLifetime {};
    /// Time after which the caller is told that the outcome is not known.
    Duration answerTimeout {};
};

/// Time for which callers wait for an answer.
inline constexpr Duration callerTimeout = 1s;

/// Callers wait this much longer for each megabyte of a body, which VMs with narrow links need to pass it on.
inline constexpr Duration callerTimeoutPerMegabyte = 1s;

/// Part of the caller's timeout that is left for the way of the answer.
inline constexpr Duration answerMargin = 100ms;

/// A process whose timer is late by more than this has stood still: calls may have waited in its sockets.
inline constexpr Duration pauseThreshold = 150ms;

/// Time in which a process that stood still has read what waited in its sockets.
inline constexpr Duration wakingTime = 100ms;

/// An offer or a call without an answer is offered again after this time.
inline constexpr Duration offerInterval = 250ms;

/// While no leader has been reached for this long, calls are refused at once: an election takes less.
inline constexpr Duration noLeaderTimeout = 3s;

/// Times of a call with a body of this length in bytes.
[[nodiscard]] constexpr CallTimes callTimes(std::uint64_t bytes) noexcept
{
    constexpr Duration::rep megabyte = 1'000'000;
    const Duration longer { callerTimeoutPerMegabyte.count() * static_cast<Duration::rep>(bytes) / megabyte };
    const auto answerTimeout = callerTimeout - answerMargin + longer;
    const auto ticketLifetime = answerTimeout / 4;
    return { answerTimeout - pauseThreshold - ticketLifetime, ticketLifetime, answerTimeout };
}

} // namespace rosemarymill::fleet
