#include <rosemarymill/core/admission/limit.hpp>

#include <algorithm>

namespace rosemarymill::admission {

namespace {

constexpr double recentShare = 0.3;
constexpr double baselineShare = 0.02;
/// Number of samples from which on the baseline is used.
constexpr std::uint32_t minimumSamples = 8;
/// Batching alone roughly doubles the latency between an idle and a full server.
constexpr double growthTolerance = 2.0;
constexpr double jumpFactor = 3.0;
/// Smaller differences are scheduling noise for services that answer within microseconds.
constexpr double jumpFloorMicroseconds = 20'000.0;
/// Factor on the baseline for each report above the jump threshold, so that a permanent change of the workload does not
/// keep the limit low for ever. It is small, because a server that is cold for about ten seconds must not count as such
/// a change.
constexpr double baselineStep = 1.02;

} // namespace

void ServerLimit::start(std::uint32_t cold, std::uint32_t maximum, std::uint32_t running) noexcept
{
    *this = {};
    setBounds(cold, maximum);
    m_limit = std::clamp(running, m_cold, m_maximum);
}

void ServerLimit::shrink() noexcept
{
    m_limit = m_cold;
    m_successes = 0;
}

void ServerLimit::setBounds(std::uint32_t cold, std::uint32_t maximum) noexcept
{
    m_maximum = std::max(maximum, 1U);
    m_cold = std::clamp(cold, 1U, m_maximum);
    m_limit = std::clamp(m_limit, m_cold, m_maximum);
}

bool ServerLimit::observeLatency(std::uint32_t started, Duration firstResponse) noexcept
{
    const auto sample = static_cast<double>(firstResponse.count());
    if (m_samples == 0)
        m_recent = m_baseline = sample;
    m_samples += started;
    m_recent += recentShare * (sample - m_recent);
    if (m_samples < minimumSamples) {
        m_baseline += recentShare * (sample - m_baseline);
        return true;
    }
    if (sample < growthTolerance * m_baseline)
        m_baseline += baselineShare * (sample - m_baseline);
    const auto jump = std::max(jumpFactor * m_baseline, m_baseline + jumpFloorMicroseconds);
    if (m_recent > jump) {
        shrink();
        m_baseline *= baselineStep;
        return false;
    }
    return m_recent <= std::max(growthTolerance * m_baseline, m_baseline + jumpFloorMicroseconds);
}

void ServerLimit::observe(std::uint32_t started, Duration firstResponse, std::uint32_t completed) noexcept
{
    if (started > 0)
        m_mayGrow = observeLatency(started, firstResponse);
    if (!m_mayGrow) {
        m_successes = 0;
        return;
    }
    m_successes += completed;
    m_limit = std::min(m_maximum, m_limit + m_successes / answersPerSlot);
    m_successes %= answersPerSlot;
}

} // namespace rosemarymill::admission
