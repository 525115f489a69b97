#pragma once

#include <rosemarymill/core/base/time.hpp>

/// Budget that limits retries and hedges to a fraction of the traffic.
namespace rosemarymill::retry {

/// Retries credited per call.
inline constexpr double retriesPerCall = 0.1;

/// Retries credited per second regardless of traffic, so that a process with few calls can retry at all.
inline constexpr double retriesPerSecond = 0.5;

/// Maximum balance. It limits the burst after the failure of a server with many requests.
inline constexpr double maxBalance = 64.0;

/// Token bucket of retries.
class Budget {
public:
    /// Credits one call.
    void deposit() noexcept;

    /// Credits retries for the time since the previous call.
    void advance(Instant now) noexcept;

    /// Withdraws one retry. Returns false if the balance is below one.
    [[nodiscard]] bool tryWithdraw() noexcept;

    [[nodiscard]] double balance() const noexcept { return m_balance; }

private:
    double m_balance { 4.0 };
    Instant m_last;
};

} // namespace rosemarymill::retry
