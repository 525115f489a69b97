#pragma once

#include <rosemarymill/core/quarantine/quarantine.hpp>

#include <cstdint>
#include <deque>
#include <map>
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

/// Crash records of one entry VM: its own observations, and the reports of the coordinator of all entry VMs.
class CrashTracker {
public:
    struct Counters {
        std::uint64_t crashes { 0 };
        std::uint64_t unanswered { 0 };
        std::uint64_t cleared { 0 };
        std::uint64_t survived { 0 };
    };

    explicit CrashTracker(std::size_t crashesUntilRefusal) { m_state.crashesUntilRefusal = crashesUntilRefusal; }

    /// A request was in flight at a server when the connection broke, or was given up there because the server did not
    /// respond. `kind` is Crashed or Unanswered.
    void ended(ReportKind kind, const Crash& crash, const Fingerprint& fingerprint, Instant now);

    /// A server completed the request.
    void completed(const Fingerprint& fingerprint, Instant now);

    /// Applies a report of the coordinator.
    void receive(const CrashReport& report, Instant now);

    /// Uses up a granted trial of a refused request and returns true. Without one, requests it and returns false.
    [[nodiscard]] bool takeTrial(const Fingerprint& fingerprint, Instant now);

    [[nodiscard]] Verdict verdictOf(const Fingerprint& fingerprint) const
    {
        return quarantine::verdictOf(m_state, fingerprint);
    }

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
    [[nodiscard]] const Counters& counters() const noexcept { return m_counters; }

private:
    struct Sent {
        Instant at;
        CrashReport report;
    };

    /// Adds a fingerprint to the report of a crash in m_reports, or a new report.
    void report(ReportKind kind, const Crash& crash, const Fingerprint& fingerprint);

    State m_state;
    std::vector<CrashReport> m_reports;
    std::deque<Sent> m_sent;
    /// Time of the last trial request, and time until which a granted trial may begin.
    std::map<Fingerprint, Instant> m_trialRequests;
    std::map<Fingerprint, Instant> m_trials;
    Counters m_counters;
};

} // namespace rosemarymill::quarantine
