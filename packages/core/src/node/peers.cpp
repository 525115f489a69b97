#include "parts.hpp"

namespace rosemarymill::node {

void handle(State&, const PeerMessageReceived& event, Effects& effects)
{
    const auto ignore = [&](std::monostate) {
        effects(WriteLog { LogLevel::Debug, "peers", "Empty message from " + event.from.text() + "." });
    };
    std::visit(Overloaded { ignore }, event.message);
}

} // namespace rosemarymill::node
