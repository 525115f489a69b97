#pragma once

#include <rosemarymill/core/node/event.hpp>

#include <functional>

/// How adapters hand events to the process.
namespace rosemarymill::runtime {

/// Hands an event to the top reducer. The effects are carried out before the call returns, unless it is made while
/// another event is being reduced; then the event is queued.
using PostEvent = std::function<void(node::Event&&)>;

} // namespace rosemarymill::runtime
