#pragma once

#include <rosemarymill/core/base/time.hpp>

/// The process's clock.
namespace rosemarymill::runtime {

/// Reads CLOCK_BOOTTIME, which counts time while the machine is suspended.
[[nodiscard]] Instant readClock() noexcept;

} // namespace rosemarymill::runtime
