#pragma once

/// Forward declarations of the lifecycle types.
namespace rosemarymill::lifecycle {

struct Availability;
struct Shutdown;

} // namespace rosemarymill::lifecycle
