#pragma once

#include <rosemarymill/core/base/time.hpp>

#include <cstdint>

/// Timeouts of a call that is forwarded to the leader. Together they have to fit into the caller's timeout.
namespace rosemarymill::fleet {

/// Timeouts of one call. The leader starts to execute it at most `pauseThreshold` + `offerWindow` + `ticketLifetime`
/// after it arrived, which is before its caller times out.
struct CallTimes {
    /// Time after receipt during which the call is offered to a leader.
    Duration offerWindow {};
    /// Time within which the call has to reach the leader after the leader sent its ticket.
    Duration ticketLifetime {};
    /// Time after receipt at which the call fails if no answer has arrived.
    Duration answerTimeout {};
};

/// Time for which callers wait for an answer to a call with an empty body.
inline constexpr Duration callerTimeout = 1s;

/// Additional caller timeout for each megabyte (10^6 bytes) of a body, since VMs with slow links need time to forward
/// it.
inline constexpr Duration callerTimeoutPerMegabyte = 1s;

/// Part of the caller's timeout that is reserved for sending the answer back.
inline constexpr Duration answerMargin = 100ms;

/// A process whose tick is late by more than this counts as paused. Calls may have waited in its sockets meanwhile.
inline constexpr Duration pauseThreshold = 150ms;

/// Time within which a process that was paused has read the backlog in its sockets.
inline constexpr Duration backlogReadTime = 100ms;

/// Time after which a call is offered again if its last offer or the call itself has not been answered.
inline constexpr Duration offerInterval = 250ms;

/// Calls are refused at once when no leader has been connected for this long. An election takes less.
inline constexpr Duration noLeaderTimeout = 3s;

/// Timeouts of a call whose body has `bytes` bytes.
[[nodiscard]] constexpr CallTimes callTimes(std::uint64_t bytes) noexcept
{
    constexpr Duration::rep megabyte = 1'000'000;
    const Duration longer { callerTimeoutPerMegabyte.count() * static_cast<Duration::rep>(bytes) / megabyte };
    const auto answerTimeout = callerTimeout - answerMargin + longer;
    const auto ticketLifetime = answerTimeout / 4;
    return { answerTimeout - pauseThreshold - ticketLifetime, ticketLifetime, answerTimeout };
}

} // namespace rosemarymill::fleet
