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

/// One entry VM's part of a retry budget over a sliding window. The slack is divided among the entry VMs.
class RetryBudget {
public:
    explicit RetryBudget(RetryLimits limits)
        : m_limits(limits)
    {
    }

    void countRequest(Instant now) { count(now, m_requests); }

    /// Repeats that are left of this VM's part; negative when the part has shrunk below what was used.
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
    [[nodiscard]] std::uint64_t total(Instant now, const std::deque<Bucket>& buckets) const;

    RetryLimits m_limits;
    std::deque<Bucket> m_requests;
    std::deque<Bucket> m_repeats;
};

} // namespace rosemarymill::dispatch
