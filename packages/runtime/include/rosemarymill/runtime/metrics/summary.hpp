#pragma once

#include <rosemarymill/core/base/time.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cstdint>
#include <iosfwd>
#include <string>

/// Distributions of times in constant memory.
namespace rosemarymill::runtime {

/// Quantiles that are published. They are estimates of the P² method over all samples since the start.
inline constexpr std::array<double, 3> publishedQuantiles { 0.5, 0.95, 0.99 };

/// Minimum number of samples: with fewer, the estimates are unusable and are not published.
inline constexpr std::size_t minQuantileSamples = 10;

/// Summary of one kind of time.
class TimeSummary {
public:
    TimeSummary();

    void add(Duration time);

    [[nodiscard]] std::size_t count() const;

    /// Estimate of one of the published quantiles in seconds, by its index.
    [[nodiscard]] double quantile(std::size_t index) const;

    /// Writes the Prometheus lines of a summary with these labels, e.g. `account="a"`.
    void write(std::ostream& out, const std::string& name, const std::string& labels) const;

private:
    using Statistics = boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
        boost::accumulators::tag::extended_p_square>;
    boost::accumulators::accumulator_set<double, Statistics> m_samples;
};

} // namespace rosemarymill::runtime
