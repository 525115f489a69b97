#pragma once

#include <rosemarymill/core/backend/announcement.hpp>
#include <rosemarymill/core/backend/order.hpp>
#include <rosemarymill/wire/json/fault.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// JSON forms of announcements and orders.
namespace rosemarymill::wire {

/// Reads an announcement. Members that this version does not know are ignored, so that servers can be newer than entry
/// VMs. On a fault there is no announcement.
[[nodiscard]] std::optional<backend::Announcement> decodeAnnouncement(
    std::string_view text, std::vector<JsonFault>& faults);

/// Writes an order for a backend server.
[[nodiscard]] std::string encodeOrder(const backend::Order& order);

} // namespace rosemarymill::wire
