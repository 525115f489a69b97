#pragma once

#include <rosemarymill/core/backend/announcement.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <map>

/// Backend servers known to one process, from their announcements.
namespace rosemarymill::backend {

/// Time after the last announcement at which a server counts as lost.
inline constexpr Duration announcementTimeout = 3s;

/// Time between two announcements of a server.
inline constexpr Duration announcementInterval = 1s;

/// Last announcement of a server and when it arrived.
struct Record {
    Announcement announcement;
    Instant lastSeen;
};

/// Registry of backend servers, ordered by id so that iteration is deterministic.
using Registry = std::map<ServerId, Record>;

/// Checks an announcement against itself and the data centre that received it. Returns the reason for a refusal, or an
/// empty text.
[[nodiscard]] std::string validate(const Announcement& announcement, const DataCentreId& dataCentre);

} // namespace rosemarymill::backend
