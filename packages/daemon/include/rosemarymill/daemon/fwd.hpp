#pragma once

/// Forward declarations of the daemon's types.
namespace rosemarymill::daemon {

enum class LogFormat;
struct Settings;
struct ParsedSettings;

} // namespace rosemarymill::daemon
