#pragma once

#include <variant>

/// Messages between the system's processes.
namespace rosemarymill::node {

/// Message of any module. Each module adds its own Message variant here.
using PeerMessage = std::variant<std::monostate>;

} // namespace rosemarymill::node
