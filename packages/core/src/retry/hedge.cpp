#include <rosemarymill/core/retry/hedge.hpp>

#include <chrono>

namespace rosemarymill::retry {

namespace {

/// The estimate is unreliable with fewer samples.
constexpr std::uint32_t minimumSamples = 40;

} // namespace

void HedgeDelay::observe(Duration time)
{
    m_quantile(static_cast<double>(time.count()));
    ++m_samples;
}

std::optional<Duration> HedgeDelay::delay() const
{
    if (m_samples < minimumSamples)
        return std::nullopt;
    return Duration { static_cast<std::int64_t>(boost::accumulators::p_square_quantile(m_quantile)) };
}

} // namespace rosemarymill::retry
