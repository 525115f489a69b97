#include <rosemarymill/runtime/base/clock.hpp>

#include <ctime>

namespace rosemarymill::runtime {

Instant readClock() noexcept
{
    timespec it {};
    clock_gettime(CLOCK_BOOTTIME, &it);
    return Instant { std::chrono::seconds { it.tv_sec }
        + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds { it.tv_nsec }) };
}

} // namespace rosemarymill::runtime
