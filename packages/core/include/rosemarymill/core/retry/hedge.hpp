#pragma once

#include <rosemarymill/core/base/time.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstdint>
#include <optional>

/// Delay after which an idempotent lookup is sent to a second server.
namespace rosemarymill::retry {

/// 95th percentile of answer times, by the P² estimator.
class HedgeDelay {
public:
    /// Takes in the time of one complete answer.
    void observe(Duration time);

    /// Delay before the second attempt; absent until enough answers are known.
    [[nodiscard]] std::optional<Duration> delay() const;

private:
    using Quantile = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;

    Quantile m_quantile { boost::accumulators::quantile_probability = 0.95 };
    std::uint32_t m_samples { 0 };
};

} // namespace rosemarymill::retry
