#pragma once

#include <rosemarymill/core/base/id.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// Orders from the placement leader to backend servers.
namespace rosemarymill::backend {

/// Action that an order requests from the server.
enum class OrderAction { Load, Unload, Join, Leave, Role };

/// One order. A server that checks fencing numbers refuses an order with a lower number than one it has accepted.
struct Order {
    std::uint64_t orderId { 0 };
    FencingNumber fencing;
    OrderAction action { OrderAction::Load };
    ModelName model;
    std::string version;
    std::string adapter;
    GroupId group;
    /// Addresses of the group's members in rank order; empty unless the action is Join.
    std::vector<std::string> members;
    std::uint32_t rank { 0 };

    friend bool operator==(const Order&, const Order&) = default;
};

} // namespace rosemarymill::backend
