#include <rosemarymill/core/dispatch/retry_budget.hpp>

namespace rosemarymill::dispatch {

namespace {

/// Width of one bucket of the sliding window.
constexpr Duration bucketWidth = 500ms;

/// Fraction of the limits that is used, since the windows of the VMs are not aligned.
constexpr double usableFraction = 0.75;

/// Fraction of its share of the slack that a process uses in its first window: the rest that its predecessor on the VM
/// could not use.
constexpr double firstWindowFraction = 1 - usableFraction;

} // namespace

void RetryBudget::count(Instant now, std::deque<Bucket>& buckets) const
{
    while (!buckets.empty() && now > buckets.front().begin + bucketWidth + m_limits.window)
        buckets.pop_front();
    if (buckets.empty() || now >= buckets.back().begin + bucketWidth)
        buckets.push_back({ now, 0 });
    ++buckets.back().n;
}

double RetryBudget::slackShare(Instant now, unsigned entryVms) const
{
    if (entryVms == 0)
        return 0;
    const bool first = now < m_startedAt + m_limits.window + bucketWidth;
    return (first ? firstWindowFraction : usableFraction) * m_limits.slack / entryVms;
}

double RetryBudget::remaining(Instant now, unsigned entryVms) const
{
    std::uint64_t requests = 0;
    for (const auto& it : m_requests) {
        // Skips buckets that are only partly in the window, since some of their requests may be too old.
        if (now < it.begin + m_limits.window)
            requests += it.n;
    }
    std::uint64_t repeats = 0;
    for (const auto& it : m_repeats) {
        if (now <= it.begin + bucketWidth + m_limits.window)
            repeats += it.n;
    }
    return usableFraction * m_limits.ratio * static_cast<double>(requests) + slackShare(now, entryVms)
        - static_cast<double>(repeats);
}

} // namespace rosemarymill::dispatch
