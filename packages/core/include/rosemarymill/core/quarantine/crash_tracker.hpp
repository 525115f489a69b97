#pragma once

#include <rosemarymill/core/quarantine/quarantine.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <vector>

namespace rosemarymill::quarantine {

/// Age up to which an entry VM repeats its reports to a new coordinator, which may not have received them.
inline constexpr Duration reportRepeatPeriod = 60s;

/// Maximum number of reports that an entry VM keeps for that.
inline constexpr std::size_t maxReports = 256;

/// Time after which another trial of a refused request is requested.
inline constexpr Duration trialRequestInterval = 5s;

/// Time within which a granted trial must begin.
inline constexpr Duration trialTimeout = 10s;

/// Shortest interval between two reports that a suspected part survived.
inline constexpr Duration survivalReportInterval = 250ms;

/// Time for which an entry VM watches a suspected part for survivals.
inline constexpr Duration watchPeriod = 10min;

/// Crash records of one entry VM: its own observations, and the reports of the coordinator of all entry VMs.
class CrashTracker {
public:
    struct Counters {
        std::uint64_t crashes { 0 };
        std::uint64_t unanswered { 0 };
        std::uint64_t cleared { 0 };
        std::uint64_t survived { 0 };
        /// Parts of prompts: in flight at crashes, and reported to have survived though they were suspected.
        std::uint64_t partExposures { 0 };
        std::uint64_t partSurvivals { 0 };
    };

    /// Attempt that ended with its server.
    struct Ended {
        Crash crash;
        /// Time since the request was sent to the server.
        Duration inFlight {};
        /// The server had been writing the answer for longer than a request that crashes it allows.
        bool survived { false };
    };

    explicit CrashTracker(std::size_t crashesUntilRefusal) { m_state.crashesUntilRefusal = crashesUntilRefusal; }

    /// A request was in flight at a server when the connection broke, or was given up there because the server did not
    /// respond. `kind` is Crashed or Unanswered.
    void ended(ReportKind kind, const Ended& attempt, const Traits& traits, Instant now);

    /// A server completed the request.
    void completed(const Fingerprint& fingerprint, Instant now);

    /// A server began to write the answer at `since` and did not crash, so that none of the parts crashes servers.
    void survived(std::span<const Fingerprint> parts, Instant since, Instant now);

    /// Applies a report of the coordinator.
    void receive(const CrashReport& report, Instant now);

    /// Uses up a granted trial of a refused request and returns true. Without one, requests it and returns false.
    [[nodiscard]] bool takeTrial(const Fingerprint& fingerprint, Instant now);

    [[nodiscard]] Verdict verdictOf(const Fingerprint& fingerprint) const
    {
        return quarantine::verdictOf(m_state, fingerprint);
    }

    /// The part for which a request is refused, or null.
    [[nodiscard]] const Fingerprint* refusedPart(const Traits& traits) const;

    /// Whether the request holds a part that the coordinator suspects and of which this VM has seen no request survive.
    /// While it does, a request that may have crashed its server is not sent to another one.
    [[nodiscard]] bool holdsSuspectedPart(const Traits& traits) const;

    /// Record of a fingerprint, or null.
    [[nodiscard]] const Record* find(const Fingerprint& fingerprint) const;

    /// Reports that were not sent to the coordinator yet, one for each crash.
    [[nodiscard]] std::vector<CrashReport> takeReports();
    [[nodiscard]] bool hasReports() const noexcept { return !m_reports.empty(); }

    /// Own reports within reportRepeatPeriod that are still valid, for a coordinator that may not have received them.
    [[nodiscard]] std::vector<CrashReport> recentReports(Instant now) const;

    void expire(Instant now);

    [[nodiscard]] std::size_t suspects() const noexcept { return m_state.records.size(); }
    [[nodiscard]] std::size_t refused() const;
    /// Suspected and refused parts, and the refused ones among them.
    [[nodiscard]] std::size_t watchedParts() const noexcept { return m_watched.size(); }
    [[nodiscard]] std::size_t refusedParts() const noexcept { return m_refusedParts; }
    [[nodiscard]] const Counters& counters() const noexcept { return m_counters; }

private:
    struct Sent {
        Instant at;
        CrashReport report;
    };

    /// Suspected or refused part.
    struct Watched {
        Instant since;
        Instant reportedAt;
        bool refused { false };
    };

    /// The report of a crash in m_reports, which is added if it is missing.
    CrashReport& reportOf(ReportKind kind, const Crash& crash);
    /// Adds a fingerprint to the report of a crash.
    void report(ReportKind kind, const Crash& crash, const Fingerprint& fingerprint);
    void watch(const Fingerprint& part, bool refused, Instant now);
    void unwatch(const Fingerprint& part);
    void reportSurvival(const Fingerprint& part, Watched& watched, Instant since, Instant now);
    /// Latest time at which a server began to write an answer on the part and survived, if it is known.
    [[nodiscard]] const Instant* lastSurvival(const Fingerprint& part) const;

    State m_state;
    std::vector<CrashReport> m_reports;
    std::deque<Sent> m_sent;
    /// Time of the last trial request, and time until which a granted trial may begin.
    std::map<Fingerprint, Instant> m_trialRequests;
    std::map<Fingerprint, Instant> m_trials;
    std::map<Fingerprint, Watched> m_watched;
    std::size_t m_refusedParts { 0 };
    /// Last survivals of parts, in two successive generations, the older of which is dropped when the newer is full.
    std::map<Fingerprint, Instant> m_survivals;
    std::map<Fingerprint, Instant> m_earlierSurvivals;
    Counters m_counters;
};

} // namespace rosemarymill::quarantine
