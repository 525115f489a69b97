#include "call_handlers.hpp"
#include "configuration.hpp"
#include "ledger_handlers.hpp"

namespace rosemarymill::node {

void handle(State& state, const PeerMessageReceived& event, Effects& effects)
{
    const auto ignore = [&](std::monostate) {
        effects(WriteLog { LogLevel::Debug, "peers", "Empty message from " + event.from.text() + "." });
    };
    const auto takeMembership
        = [&](const membership::Message& message) { receive(state, event.from, message, effects); };
    const auto take = [&](const auto& message) {
        std::visit([&](const auto& it) { receive(state, event.from, it, effects); }, message);
    };
    const auto takeLedger = [&](const ledger::Message& message) {
        if (const auto* request = std::get_if<ledger::Request>(&message))
            receiveRequest(state, event.from, *request, effects);
        else
            applyLedger(state, ledger::HomeMessage { event.now, event.from, message }, effects);
    };
    const auto takeLedgerLog = [&](const ledger::LogMessage& it) { receive(state, event.from, it, effects); };
    const auto takeLog = [&](const configuration::LogMessage& it) { receive(state, event.from, it, effects); };
    std::visit(Overloaded { ignore, takeLedger, takeLedgerLog, takeLog, takeMembership, take }, event.message);
}

} // namespace rosemarymill::node
