#pragma once

#include <rosemarymill/core/base/time.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstdint>
#include <optional>

/// Delay after which an idempotent lookup is sent to a second server.
namespace rosemarymill::retry {

/// Estimates the 95th percentile of answer times with the P² algorithm.
class HedgeDelay {
public:
    /// Records the time to one complete answer.
    void observe(Duration time);

    /// Delay before the second attempt; absent until enough answers have been recorded.
    [[nodiscard]] std::optional<Duration> delay() const;

private:
    using Quantile = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;

    Quantile m_quantile { boost::accumulators::quantile_probability = 0.95 };
    std::uint32_t m_samples { 0 };
};

} // namespace rosemarymill::retry
