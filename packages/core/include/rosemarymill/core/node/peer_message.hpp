#pragma once

#include <rosemarymill/core/admission/message.hpp>
#include <rosemarymill/core/ledger/message.hpp>
#include <rosemarymill/core/quarantine/quarantine.hpp>

#include <variant>

/// Messages between the system's processes.
namespace rosemarymill::node {

/// Message of any module. Each module adds its own Message variant here.
using PeerMessage = std::variant<std::monostate, admission::Message, quarantine::Message, ledger::Message>;

} // namespace rosemarymill::node
