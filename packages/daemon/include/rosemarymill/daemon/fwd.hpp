#pragma once

/// Forward declarations of the daemon's types.
namespace rosemarymill::daemon {

struct Settings;
struct ParsedSettings;

} // namespace rosemarymill::daemon
