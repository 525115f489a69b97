#pragma once

#include <cstdint>

/// Build-wide constants that are not specific to one module.
namespace rosemarymill::config {

/// Version of the protocol between the system's processes. A link between different versions is refused.
inline constexpr std::uint16_t protocolVersion = 1;

} // namespace rosemarymill::config
