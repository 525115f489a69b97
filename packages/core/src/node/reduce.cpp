#include <rosemarymill/core/node/reduce.hpp>

#include "handlers.hpp"
#include "ledger_handlers.hpp"

namespace rosemarymill::node {

namespace {

void handle(State& state, const Started&, Effects& effects)
{
    effects(WriteLog { LogLevel::Info, "node", "Started." });
    startConfiguration(state, effects);
    startHomes(state, effects);
    startMembership(state, effects);
}

void handle(State& state, const Tick&, Effects& effects)
{
    advanceConfiguration(state, effects);
    advanceMembership(state, effects);
    updateGroups(state, effects);
    suspendStalledStreams(state, effects);
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
