#pragma once

#include <chrono>
#include <cstdint>

/// Time in the core. The core never reads a clock: events supply the current instant.
namespace rosemarymill {

/// Time unit of the core: microseconds.
using Duration = std::chrono::duration<std::int64_t, std::micro>;

/// Clock type of the core's instants. It counts the time while the process is suspended, so that a paused process
/// detects an expired lease. It has no now(), because the runtime supplies all instants.
struct Clock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name fixed by std::chrono
};

/// Point in time on the process's monotonic clock. Instants of different processes are not comparable.
using Instant = Clock::time_point;

using namespace std::chrono_literals;

} // namespace rosemarymill
