#pragma once

#include <rosemarymill/core/backend/announcement.hpp>
#include <rosemarymill/core/backend/order.hpp>
#include <rosemarymill/wire/json/fault.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// JSON encoding of announcements and orders.
namespace rosemarymill::wire {

/// Parses an announcement. Unknown members are ignored, so that backend servers can run a newer version than entry VMs.
/// Returns nothing if there is a fault.
[[nodiscard]] std::optional<backend::Announcement> decodeAnnouncement(
    std::string_view text, std::vector<JsonFault>& faults);

/// Formats an order for a backend server as JSON.
[[nodiscard]] std::string encodeOrder(const backend::Order& order);

} // namespace rosemarymill::wire
