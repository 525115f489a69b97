#include <rosemarymill/core/retry/budget.hpp>

#include <algorithm>
#include <chrono>

namespace rosemarymill::retry {

void Budget::deposit() noexcept { m_balance = std::min(maxBalance, m_balance + retriesPerCall); }

void Budget::advance(Instant now) noexcept
{
    if (m_last != Instant {}) {
        const auto seconds = std::chrono::duration<double>(now - m_last).count();
        m_balance = std::min(maxBalance, m_balance + seconds * retriesPerSecond);
    }
    m_last = now;
}

bool Budget::tryWithdraw() noexcept
{
    if (m_balance < 1.0)
        return false;
    m_balance -= 1.0;
    return true;
}

} // namespace rosemarymill::retry
