#pragma once

#include <rosemarymill/core/quarantine/quarantine.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace rosemarymill::quarantine {

/// Time for which an entry VM repeats its reports to a coordinator that it has just met, which may not have heard them.
inline constexpr Duration reportTerm = 60s;

/// Reports of an entry VM that are kept for that at most.
inline constexpr std::size_t maxReports = 256;

/// Time after which a refused request asks for a trial again.
inline constexpr Duration trialRequestInterval = 5s;

/// Time for which a granted trial may begin.
inline constexpr Duration trialTerm = 10s;

/// What one entry VM knows of crashes: what it saw itself, and what the coordinator of all entry VMs told it.
class CrashTracker {
public:
    struct Counters {
        std::uint64_t crashes { 0 };
        std::uint64_t unanswered { 0 };
        std::uint64_t cleared { 0 };
        std::uint64_t survived { 0 };
    };

    explicit CrashTracker(std::size_t crashesUntilRefusal) { m_state.crashesUntilRefusal = crashesUntilRefusal; }

    /// A request was in flight at a server when the connection broke, or was given up there because the server was
    /// silent. `kind` is Crashed or Unanswered.
    void ended(ReportKind kind, const Crash& crash, const Fingerprint& fingerprint, Instant now);

    /// A server ran the request to its end.
    void completed(const Fingerprint& fingerprint, Instant now);

    /// Takes in a report of the coordinator.
    void receive(const CrashReport& report, Instant now);

    /// Whether a refused request may be tried now, which uses up the trial. Asks for one otherwise.
    [[nodiscard]] bool takeTrial(const Fingerprint& fingerprint, Instant now);

    [[nodiscard]] Verdict verdictOf(const Fingerprint& fingerprint) const
    {
        return quarantine::verdictOf(m_state, fingerprint);
    }

    /// Record of a fingerprint, or null.
    [[nodiscard]] const Record* find(const Fingerprint& fingerprint) const;

    /// Reports that the coordinator has yet to hear, one for each crash.
    [[nodiscard]] std::vector<CrashReport> takeReports();
    [[nodiscard]] bool hasReports() const noexcept { return !m_reports.empty(); }

    /// Own reports of the last time that still hold, for a coordinator that may not have heard them.
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

    /// Adds a fingerprint to the report of a crash that has not been taken yet.
    void report(ReportKind kind, const Crash& crash, const Fingerprint& fingerprint);

    State m_state;
    std::vector<CrashReport> m_reports;
    std::deque<Sent> m_sent;
    /// Refused requests with the time of the last wish for a trial, and trials with the time until which they may
    /// begin.
    std::map<Fingerprint, Instant> m_wishes;
    std::map<Fingerprint, Instant> m_trials;
    Counters m_counters;
};

} // namespace rosemarymill::quarantine
