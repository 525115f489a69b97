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
    std::visit(Overloaded { ignore, take }, event.message);
}

} // namespace rosemarymill::node
