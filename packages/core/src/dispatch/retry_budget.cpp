#include <rosemarymill/core/dispatch/retry_budget.hpp>

#include <algorithm>

namespace rosemarymill::dispatch {

namespace {

/// Width of one bucket of the sliding window.
constexpr Duration bucketWidth = 500ms;

/// Part of the limits that is used, since the VMs' windows do not begin together.
constexpr double safety = 0.75;

} // namespace

void RetryBudget::count(Instant now, std::deque<Bucket>& buckets) const
{
    while (!buckets.empty() && now > buckets.front().begin + bucketWidth + m_limits.window)
        buckets.pop_front();
    if (buckets.empty() || now >= buckets.back().begin + bucketWidth)
        buckets.push_back({ now, 0 });
    ++buckets.back().n;
}

std::uint64_t RetryBudget::total(Instant now, const std::deque<Bucket>& buckets) const
{
    std::uint64_t n = 0;
    for (const auto& it : buckets) {
        if (now <= it.begin + bucketWidth + m_limits.window)
            n += it.n;
    }
    return n;
}

double RetryBudget::left(Instant now, unsigned entryVms) const
{
    const auto requests = static_cast<double>(total(now, m_requests));
    const auto repeats = static_cast<double>(total(now, m_repeats));
    const auto slack = m_limits.slack / static_cast<double>(std::max(entryVms, 1U));
    return safety * (m_limits.ratio * requests + slack) - repeats;
}

} // namespace rosemarymill::dispatch
