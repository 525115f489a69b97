#pragma once

/// Forward declarations of the limits module.
namespace rosemarymill::limits {

class ConnectionTable;
enum class Activity;
struct Connection;
struct ConnectionLimits;

} // namespace rosemarymill::limits
