#pragma once

#include <rosemarymill/core/quarantine/quarantine.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace rosemarymill::quarantine {

/// Separate or isolated crashes after which a part of a prompt is refused, if no request with it is known to have
/// survived.
inline constexpr std::size_t partCrashLimit = 4;

/// The same for a part of which a request survived earlier, for example before a release of new weights.
inline constexpr std::size_t survivedPartCrashLimit = 6;

/// Crashes from which on a part is suspected: entry VMs report survivals, and the servers are probed.
inline constexpr std::size_t suspectedPartCrashes = 2;

/// Different requests that must have been in flight at the crashes of a part; one request is judged by its fingerprint.
inline constexpr std::size_t minRequestsWithPart = 2;

/// Factor on these limits while nothing else is known to survive either, as when all servers fail.
inline constexpr std::size_t outageFactor = 2;

/// Crashes that have to follow one another: at the later one a request was in flight that was sent after the earlier
/// one.
inline constexpr std::size_t minSuccessiveCrashes = 2;

/// Shortest time between two separate crashes. Servers that fail together do so within less, while requests are still
/// retried at those which fail last.
inline constexpr Duration minCrashSpacing = 100ms;

/// Maximum number of crashes, of parts, and of exposures of one part that are kept. The oldest crashes are dropped
/// first, and the parts with the fewest exposures.
inline constexpr std::size_t maxPartCrashes = 512;
inline constexpr std::size_t maxSuspectParts = 4096;
inline constexpr std::size_t maxExposuresPerPart = 128;

/// Finds the parts of prompts that crash servers. A crash ends all requests at a server, so that each of their parts is
/// a possible cause. A part is refused when it was in flight at several separate or isolated crashes, and no request
/// with it has survived since. Crashes are separate if some time passes between them, and isolated if the other servers
/// of the domain live on: then the servers have not failed together, however little time passes. The crashes of a
/// refused part no longer count for other parts.
class PartEvidence {
public:
    /// A refused part and the crashes that it accounts for.
    struct Verdict {
        Fingerprint part;
        std::vector<Crash> crashes;
    };

    /// Records the parts in flight at a crash that was observed at `at`. Crashes of different boots are different ones.
    void crashed(const Crash& crash, std::span<const Exposure> parts, Instant at);

    /// The crash has been verified; only verified ones count.
    void confirm(const Crash& crash);

    /// The other servers of the crashed server's domain live on.
    void isolate(const Crash& crash);

    /// The server has not crashed.
    void retract(const Crash& crash);

    /// A server began to write an answer at `since`, and did not crash. Earlier crashes no longer count for the part,
    /// and its refusal is withdrawn if the last crash was before. Returns whether it was.
    bool survived(const Fingerprint& part, Instant since);

    /// Marks a part as refused, as an earlier instance decided.
    void refuse(const Fingerprint& part, Instant now);

    /// Selects the parts that have to be refused now, and marks them.
    [[nodiscard]] std::vector<Verdict> judge();

    /// Parts that have become suspects since the last call.
    [[nodiscard]] std::vector<Fingerprint> takeNewSuspects();

    /// Parts that are no longer suspected since the last call, though they were not refused: requests with them have
    /// survived, or too few of their crashes remain.
    [[nodiscard]] std::vector<Fingerprint> takeClearedSuspects();

    /// Unverified crashes on which suspicions depend, each returned once.
    [[nodiscard]] std::vector<Crash> takeCrashesToVerify();

    /// Suspected parts, and refused ones.
    [[nodiscard]] std::vector<Fingerprint> suspects() const;
    [[nodiscard]] std::vector<Fingerprint> refused() const;

    [[nodiscard]] std::size_t size() const noexcept { return m_parts.size(); }
    [[nodiscard]] bool refuses(const Fingerprint& part) const;
    [[nodiscard]] bool suspects(const Fingerprint& part) const;

    /// Removes refusals and crashes that are older than recordRetention, and returns the parts that were refused.
    std::vector<Fingerprint> expire(Instant now);

    /// Whether a refused part accounts for the crash.
    [[nodiscard]] bool isExplained(const Crash& crash) const;
    [[nodiscard]] bool contains(const Crash& crash) const { return m_crashes.contains(crash); }
    /// Time of the last crash at which the part was in flight; without one, the time of its refusal.
    [[nodiscard]] Instant lastCrashOf(const Fingerprint& part) const;

private:
    struct CrashState {
        std::uint64_t number { 0 };
        Instant at;
        bool verified { false };
        bool toVerify { false };
        bool isolated { false };
    };

    /// A request with the part that was in flight at a crash.
    struct Seen {
        std::uint64_t crash { 0 };
        std::uint64_t request { 0 };
        Instant sentAt;
        Instant at;
    };

    struct PartState {
        /// Sorted by the time of the crash.
        std::vector<Seen> seen;
        Instant survivedSince;
        Instant refusedAt;
        std::uint32_t position { 0 };
        bool hasSurvived { false };
        bool suspected { false };
        bool refused { false };
    };

    /// Crashes of a part since its last survival that no refused part accounts for.
    struct Count {
        std::size_t crashes { 0 };
        /// Separate crashes: servers that fail together count once, however many requests with the part they held.
        std::size_t separate { 0 };
        /// Those of them that follow one another.
        std::size_t successive { 0 };
        /// Crashes of servers whose domains live on, whatever the time between them.
        std::size_t isolated { 0 };
        std::size_t requests { 0 };
        /// Time of the first one.
        Instant first;
    };

    using Crashes = std::map<Crash, CrashState>;

    [[nodiscard]] Count count(const PartState& part, bool verifiedOnly) const;
    [[nodiscard]] bool suffices(const PartState& part, const Count& count) const;
    [[nodiscard]] const CrashState* find(std::uint64_t number) const;
    /// Marks the part as refused and its crashes as accounted for.
    std::vector<Crash> refuse(PartState& part);
    void suspect(const Fingerprint& id, PartState& part);
    /// Ends the suspicion of a part with fewer crashes than `suspectedPartCrashes`.
    void reviewSuspicion(const Fingerprint& id, PartState& part);
    void drop(const Crash& crash);
    void makeRoom();

    Crashes m_crashes;
    /// Crashes by number, in the order of their reports.
    std::map<std::uint64_t, Crash> m_byNumber;
    std::uint64_t m_lastNumber { 0 };
    /// Crashes that a refused part accounts for.
    std::set<std::uint64_t> m_explained;
    std::map<Fingerprint, PartState> m_parts;
    /// When a server last began to write an answer and survived, whatever the request held.
    Instant m_lastSurvival;
    std::vector<Fingerprint> m_newSuspects;
    std::vector<Fingerprint> m_clearedSuspects;
    std::vector<Crash> m_toVerify;
};

} // namespace rosemarymill::quarantine
