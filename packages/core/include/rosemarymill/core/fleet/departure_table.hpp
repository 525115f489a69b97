#pragma once

#include <rosemarymill/core/base/id.hpp>

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace rosemarymill::fleet {

/// Maximum total size of the stored departures in bytes, as estimated by `DepartureTable`. A snapshot of the log has to
/// fit into one frame together with the largest document. Ids of 10 bytes give 1,800 departures, which is more than a
/// day's at the 1,200 replaced servers a day of docs/CAPACITY.md.
inline constexpr std::size_t maxDeparturesBytes = 96 * 1024;

/// Server that has announced that it drains or ends.
struct Departure {
    ServerId server;
    /// Start of the process, as in `ServerRecord`. It and earlier processes of the server get no new requests.
    std::int64_t startedAtMs { 0 };

    friend bool operator==(const Departure&, const Departure&) = default;
};

/// Departures in the control log. They are stored before they are acknowledged, so that no later leader takes a late
/// heartbeat of such a process for that of one that can be used. The oldest ones are dropped first.
class DepartureTable {
public:
    /// Returns whether this process's departure was not known yet.
    bool add(const Departure& departure);

    /// Whether this process of the server, or a later one, has departed.
    [[nodiscard]] bool contains(const ServerId& server, std::int64_t startedAtMs) const;

    /// Departures in the order in which they were added; one for each server.
    [[nodiscard]] const std::vector<Departure>& entries() const noexcept { return m_entries; }

    friend bool operator==(const DepartureTable& a, const DepartureTable& b) { return a.m_entries == b.m_entries; }

private:
    std::vector<Departure> m_entries;
    std::unordered_map<ServerId, std::int64_t> m_startedAtMs;
    std::size_t m_bytes { 0 };
};

} // namespace rosemarymill::fleet
