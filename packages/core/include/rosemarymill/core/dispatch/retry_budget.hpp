#pragma once

#include <rosemarymill/core/base/time.hpp>

#include <cstdint>
#include <deque>

namespace rosemarymill::dispatch {

/// Limits that all entry VMs share on repeated arrivals at one service.
struct RetryLimits {
    /// Repeats for each request of clients.
    double ratio { 0.2 };
    /// Repeats in a window beside the ratio.
    double slack { 0 };
    Duration window { 10s };
};

/// One entry VM's part of a retry budget over a sliding window. The slack is divided among the entry VMs. The parts of
/// all VMs stay within the limits in any window, also while processes are replaced: what the process before sent is not
/// known, so a new process takes a smaller part of the slack until a window has passed.
class RetryBudget {
public:
    /// `startedAt` is when the process began to take requests.
    RetryBudget(RetryLimits limits, Instant startedAt)
        : m_limits(limits)
        , m_startedAt(startedAt)
    {
    }

    void countRequest(Instant now) { count(now, m_requests); }

    /// Repeats that are left of this VM's part; negative when the part has shrunk below what was used. `entryVms` is
    /// the number of entry VMs, or 0 when it is not known; there is no slack then.
    [[nodiscard]] double left(Instant now, unsigned entryVms) const;

    /// Whether one more repeat is within this VM's part.
    [[nodiscard]] bool available(Instant now, unsigned entryVms) const { return left(now, entryVms) >= 1; }

    void countRepeat(Instant now) { count(now, m_repeats); }

private:
    struct Bucket {
        Instant begin;
        std::uint64_t n { 0 };
    };

    void count(Instant now, std::deque<Bucket>& buckets) const;
    [[nodiscard]] double slackShare(Instant now, unsigned entryVms) const;

    RetryLimits m_limits;
    Instant m_startedAt;
    std::deque<Bucket> m_requests;
    std::deque<Bucket> m_repeats;
};

} // namespace rosemarymill::dispatch
