#include <rosemarymill/core/node/reduce.hpp>

#include "parts.hpp"

namespace rosemarymill::node {

namespace {

void handle(State&, const Started&, Effects& effects) { effects(WriteLog { LogLevel::Info, "node", "Started." }); }

void handle(State& state, const Tick&, Effects& effects)
{
    updateGroups(state, effects);
    parkStalledStreams(state, effects);
    advancePolicy(state, effects);
}

} // namespace

void reduce(State& state, const Event& event, Effects& effects)
{
    std::visit(
        [&](const auto& it) {
            state.now = it.now;
            handle(state, it, effects);
        },
        event);
}

} // namespace rosemarymill::node
