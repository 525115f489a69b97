#pragma once

#include <chrono>
#include <cstdint>

/// Time as the core sees it. The core never reads a clock: instants arrive in events.
namespace rosemarymill {

/// Time unit of the core: microseconds.
using Duration = std::chrono::duration<std::int64_t, std::micro>;

/// Clock type of the core's instants. It counts time while the process is suspended, so that a paused process notices
/// an expired lease. It has no now() on purpose; the runtime supplies instants.
struct Clock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name fixed by std::chrono
};

/// Point in time on the process's own monotonic clock. Instants of different processes are not comparable.
using Instant = Clock::time_point;

using namespace std::chrono_literals;

} // namespace rosemarymill
