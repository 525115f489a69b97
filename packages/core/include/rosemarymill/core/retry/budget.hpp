#pragma once

#include <rosemarymill/core/base/time.hpp>

/// Budget that bounds retries and hedges to a part of the traffic.
namespace rosemarymill::retry {

/// Retries earned by one call.
inline constexpr double retriesPerCall = 0.1;

/// Retries earned per second without traffic, so that a process with few calls can retry at all.
inline constexpr double retriesPerSecond = 0.5;

/// Largest balance. It bounds the burst after a server with many requests fails.
inline constexpr double maxBalance = 64.0;

/// Balance of retries.
class Budget {
public:
    /// Counts a call that arrived.
    void deposit() noexcept;

    /// Adds what time has earned.
    void advance(Instant now) noexcept;

    /// Takes one retry, if the balance allows it.
    [[nodiscard]] bool take() noexcept;

    [[nodiscard]] double balance() const noexcept { return m_balance; }

private:
    double m_balance { 4.0 };
    Instant m_last;
};

} // namespace rosemarymill::retry
