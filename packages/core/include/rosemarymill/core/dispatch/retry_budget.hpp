#pragma once

#include <rosemarymill/core/base/time.hpp>

#include <cstdint>
#include <deque>

namespace rosemarymill::dispatch {

/// Limits on repeated arrivals at one service, shared by all entry VMs.
struct RetryLimits {
    /// Repeats allowed per client request.
    double ratio { 0.2 };
    /// Repeats allowed in a window in addition to the ratio.
    double slack { 0 };
    Duration window { 10s };
};

/// One entry VM's part of a retry budget over a sliding window. The slack is divided among the entry VMs. The parts of
/// all VMs together stay within the limits in any window, also while processes restart: a new process does not know how
/// many repeats its predecessor sent, so it uses a smaller part of the slack until a window has passed.
class RetryBudget {
public:
    /// `startedAt` is the time at which the process began to accept requests.
    RetryBudget(RetryLimits limits, Instant startedAt)
        : m_limits(limits)
        , m_startedAt(startedAt)
    {
    }

    void countRequest(Instant now) { count(now, m_requests); }

    /// Repeats left in this VM's part; negative if the part has shrunk below the number already used. `entryVms` is the
    /// number of entry VMs, or 0 if it is unknown; there is no slack then.
    [[nodiscard]] double remaining(Instant now, unsigned entryVms) const;

    /// Whether one more repeat is within this VM's part.
    [[nodiscard]] bool available(Instant now, unsigned entryVms) const { return remaining(now, entryVms) >= 1; }

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
