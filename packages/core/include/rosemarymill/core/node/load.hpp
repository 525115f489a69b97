#pragma once

#include <rosemarymill/core/base/id.hpp>

#include <cstddef>
#include <cstdint>

/// Load of one process, for status pages, metrics and placement.
namespace rosemarymill::node {

struct State;

/// Calls that wait for a slot.
[[nodiscard]] std::size_t waitingCalls(const State& state);

/// Calls that wait for a model.
[[nodiscard]] std::size_t waitingCalls(const State& state, const ModelName& model);

/// Requests that this process has in flight at a server.
[[nodiscard]] std::uint32_t requestsInFlight(const State& state, const ServerId& server);

} // namespace rosemarymill::node
