#include <rosemarymill/runtime/metrics/summary.hpp>

#include <ostream>

namespace rosemarymill::runtime {

namespace accumulators = boost::accumulators;

TimeSummary::TimeSummary()
    : m_samples(accumulators::tag::extended_p_square::probabilities = publishedQuantiles)
{
}

void TimeSummary::add(Duration time) { m_samples(std::chrono::duration<double>(time).count()); }

std::size_t TimeSummary::count() const { return accumulators::count(m_samples); }

double TimeSummary::quantile(std::size_t index) const
{
    return accumulators::extended_p_square(m_samples)[static_cast<std::ptrdiff_t>(index)];
}

void TimeSummary::write(std::ostream& out, const std::string& name, const std::string& labels) const
{
    if (count() >= minQuantileSamples) {
        const auto* separator = labels.empty() ? "" : ",";
        for (std::size_t i = 0; i < publishedQuantiles.size(); ++i)
            out << name << '{' << labels << separator << "quantile=\"" << publishedQuantiles[i] << "\"} " << quantile(i)
                << '\n';
    }
    out << name << "_sum{" << labels << "} " << accumulators::sum(m_samples) << '\n'
        << name << "_count{" << labels << "} " << count() << '\n';
}

} // namespace rosemarymill::runtime
