#pragma once

/// Forward declarations of the lifecycle types.
namespace rosemarymill::lifecycle {

struct OutOfServiceSet;
struct Shutdown;

} // namespace rosemarymill::lifecycle
