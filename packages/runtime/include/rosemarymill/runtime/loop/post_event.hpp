#pragma once

#include <rosemarymill/core/node/event.hpp>

#include <functional>

/// Interface through which adapters post events to the process.
namespace rosemarymill::runtime {

/// Passes an event to the top-level reducer. Its effects are executed before the call returns, unless another event is
/// being processed: then the event is queued.
using PostEvent = std::function<void(node::Event&&)>;

} // namespace rosemarymill::runtime
