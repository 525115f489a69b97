#pragma once

#include <rosemarymill/core/quarantine/part_evidence.hpp>
#include <rosemarymill/core/quarantine/quarantine.hpp>

#include <cstddef>
#include <map>
#include <vector>

namespace rosemarymill::quarantine {

/// Interval at which servers announce themselves, unless the settings state another one.
inline constexpr Duration defaultAnnouncementInterval { 1200ms };

/// Shortest time from a crash until it counts as isolated, in which a sound part shows on other servers that requests
/// with it survive: the time to the first event, `survivalTime` and the time to report it.
inline constexpr Duration isolationDelay { 1s };

/// Announcement intervals for which a crash is observed. Neighbours that live announce themselves several times
/// meanwhile, so that a late announcement does not keep the crash from being judged.
inline constexpr int observedIntervals = 5;

/// Fewest neighbours by which a crash is judged, and the number of them for each of which one may be missing because
/// it was lost for another reason or its announcement is late.
inline constexpr std::size_t minNeighbours = 2;
inline constexpr std::size_t neighboursPerMissing = 8;

/// Tells the crash of a single server from the failure of its fabric domain. A crash is isolated if the server's
/// neighbours, which are the other servers of the domain that lived before it, announce themselves after it. Those that
/// have crashed under requests too do not count. Servers outside any domain count as one domain.
class CrashIsolation {
public:
    /// Servers announce themselves at this interval.
    explicit CrashIsolation(Duration announcementInterval)
        : m_interval(announcementInterval)
    {
    }

    /// Records that the server's process with this boot id has announced itself.
    void announced(const ServerId& server, const BootId& bootId, const FabricDomainId& domain, Instant now);

    /// Observes the neighbours of a server that crashed at `at`. Without an earlier announcement of the server its
    /// domain is not known, and the crash never counts as isolated; neither does one beyond `maxPartCrashes` at a time.
    void crashed(const Crash& crash, Instant at);

    /// Crashes that are now known to be isolated, each returned once.
    [[nodiscard]] std::vector<Crash> takeIsolated(Instant now);

    /// Forgets servers and crashes that are too old to matter.
    void expire(Instant now);

    /// Number of crashes that are observed.
    [[nodiscard]] std::size_t size() const noexcept { return m_crashes.size(); }

private:
    struct Announcement {
        BootId bootId;
        FabricDomainId domain;
        Instant at;
    };

    struct Neighbour {
        ServerId server;
        BootId bootId;
    };

    struct Observed {
        Instant at;
        std::vector<Neighbour> neighbours;
        bool isolated { false };
    };

    [[nodiscard]] bool isIsolated(const Observed& crash) const;
    [[nodiscard]] bool hasAnnouncedSince(const Neighbour& neighbour, Instant since) const;

    /// Time before a crash within which the neighbours announced themselves last. Those that failed together with the
    /// server did so too.
    [[nodiscard]] Duration neighbourWindow() const noexcept { return 2 * (m_interval + reportJitter); }

    Duration m_interval;
    /// Last announcement of each server.
    std::map<ServerId, Announcement> m_announcements;
    std::map<Crash, Observed> m_crashes;
};

} // namespace rosemarymill::quarantine
