#pragma once

#include <rosemarymill/core/backend/announcement.hpp>
#include <rosemarymill/core/backend/order.hpp>

#include <string>
#include <string_view>
#include <variant>

/// JSON forms of announcements and orders.
namespace rosemarymill::wire {

/// Why a JSON document was refused: the path of the member and the rule that it breaks.
struct JsonFault {
    std::string reason;
};

/// Reads an announcement. Members that this version does not know are ignored.
[[nodiscard]] std::variant<backend::Announcement, JsonFault> decodeAnnouncement(std::string_view text);

/// Writes an order for a backend server.
[[nodiscard]] std::string encodeOrder(const backend::Order& order);

} // namespace rosemarymill::wire
