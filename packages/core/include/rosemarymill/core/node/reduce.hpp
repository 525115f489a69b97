#pragma once

#include <rosemarymill/core/node/effect.hpp>
#include <rosemarymill/core/node/event.hpp>
#include <rosemarymill/core/node/state.hpp>

/// Top reducer: dispatches each event to the module that handles it.
namespace rosemarymill::node {

/// Applies one event to the state and appends the effects it causes. Deterministic: equal states and events give equal
/// effects.
void reduce(State& state, const Event& event, Effects& effects);

} // namespace rosemarymill::node
