#include "call_handlers.hpp"
#include "configuration.hpp"
#include "ledger_handlers.hpp"

namespace rosemarymill::node {

void handle(State& state, const PeerMessageReceived& event, Effects& effects)
{
    const auto ignore = [&](std::monostate) {
        effects(WriteLog { LogLevel::Debug, "peers", "Empty message from " + event.from.text() + "." });
    };
    const auto receiveMembership
        = [&](const membership::Message& message) { receive(state, event.from, message, effects); };
    const auto receiveAny = [&](const auto& message) {
        std::visit([&](const auto& it) { receive(state, event.from, it, effects); }, message);
    };
    const auto receiveLedger = [&](const ledger::Message& message) {
        if (const auto* request = std::get_if<ledger::Request>(&message))
            receiveRequest(state, event.from, *request, effects);
        else
            applyLedger(state, ledger::HomeMessage { event.now, event.from, message }, effects);
    };
    const auto receiveLedgerLog = [&](const ledger::LogMessage& it) { receive(state, event.from, it, effects); };
    const auto receiveLog = [&](const configuration::LogMessage& it) { receive(state, event.from, it, effects); };
    std::visit(Overloaded { ignore, receiveLedger, receiveLedgerLog, receiveLog, receiveMembership, receiveAny },
        event.message);
}

} // namespace rosemarymill::node
