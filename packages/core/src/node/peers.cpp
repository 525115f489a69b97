#include "call_parts.hpp"

namespace rosemarymill::node {

void handle(State& state, const PeerMessageReceived& event, Effects& effects)
{
    const auto ignore = [&](std::monostate) {
        effects(WriteLog { LogLevel::Debug, "peers", "Empty message from " + event.from.text() + "." });
    };
    const auto take = [&](const auto& message) {
        std::visit([&](const auto& it) { receive(state, event.from, it, effects); }, message);
    };
    const auto takeLedger = [&](const ledger::Message& message) {
        applyLedger(state, ledger::HomeMessage { event.now, event.from, message }, effects);
    };
    std::visit(Overloaded { ignore, takeLedger, take }, event.message);
}

} // namespace rosemarymill::node
