#pragma once

#include <rosemarymill/core/admission/message.hpp>
#include <rosemarymill/core/configuration/message.hpp>
#include <rosemarymill/core/configuration/replica.hpp>
#include <rosemarymill/core/ledger/message.hpp>
#include <rosemarymill/core/ledger/replica.hpp>
#include <rosemarymill/core/membership/message.hpp>
#include <rosemarymill/core/placement/message.hpp>
#include <rosemarymill/core/quarantine/quarantine.hpp>

#include <variant>

/// Messages between the system's processes.
namespace rosemarymill::node {

/// Message of any module. Each module adds its own Message variant here.
using PeerMessage = std::variant<std::monostate, configuration::LogMessage, configuration::Message, admission::Message,
    quarantine::Message, ledger::Message, ledger::LogMessage, membership::Message, placement::Message>;

} // namespace rosemarymill::node
