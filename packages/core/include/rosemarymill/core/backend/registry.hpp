#pragma once

#include <rosemarymill/core/backend/announcement.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <map>

/// Registry of the backend servers that announce themselves to one process.
namespace rosemarymill::backend {

/// Time without an announcement after which a server counts as lost.
inline constexpr Duration announcementTimeout = 3s;

/// Time between two announcements of a server.
inline constexpr Duration announcementInterval = 1s;

/// Last announcement of a server, with the time of its receipt.
struct Record {
    Announcement announcement;
    Instant lastSeen;
};

/// Registry of backend servers, ordered by id so that iteration is deterministic.
using Registry = std::map<ServerId, Record>;

/// Checks that an announcement is consistent and belongs to the data centre that received it. Returns the reason for a
/// refusal; empty when the announcement is valid.
[[nodiscard]] std::string validate(const Announcement& announcement, const DataCentreId& dataCentre);

} // namespace rosemarymill::backend
