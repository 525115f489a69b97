#pragma once

#include <cmath>
#include <span>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/covariance.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/variance.hpp>
#include <boost/accumulators/statistics/variates/covariate.hpp>

/// Least-squares fits of straight lines to measured costs by size.
namespace rosemarymill::bench {

/// One measurement: the size of the deployment and the cost at that size.
struct Sample {
    double size { 0 };
    double cost { 0 };
};

/// Straight line. The error is the root mean square of the residuals in the unit of the cost.
struct Line {
    double intercept { 0 };
    double slope { 0 };
    double error { 0 };

    /// Cost on the line at a size.
    [[nodiscard]] double at(double size) const noexcept { return intercept + slope * size; }
};

/// Fits a line to at least two samples of different sizes.
[[nodiscard]] inline Line fitLine(std::span<const Sample> samples)
{
    namespace acc = boost::accumulators;
    using Statistics
        = acc::stats<acc::tag::mean, acc::tag::variance, acc::tag::covariance<double, acc::tag::covariate1>>;
    acc::accumulator_set<double, Statistics> sizes;
    acc::accumulator_set<double, acc::stats<acc::tag::mean>> costs;
    for (const auto& it : samples) {
        sizes(it.size, acc::covariate1 = it.cost);
        costs(it.cost);
    }
    Line line;
    line.slope = acc::covariance(sizes, acc::covariate1) / acc::variance(sizes);
    line.intercept = acc::mean(costs) - line.slope * acc::mean(sizes);
    acc::accumulator_set<double, acc::stats<acc::tag::mean>> squares;
    for (const auto& it : samples) {
        const double residual = it.cost - line.at(it.size);
        squares(residual * residual);
    }
    line.error = std::sqrt(acc::mean(squares));
    return line;
}

} // namespace rosemarymill::bench
