#pragma once

#include <rosemarymill/core/quarantine/crash_isolation.hpp>
#include <rosemarymill/core/quarantine/part_evidence.hpp>
#include <rosemarymill/core/quarantine/stored_record.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <vector>

namespace rosemarymill::quarantine {

/// Maximum number of servers with unanswered requests that are tracked.
inline constexpr std::size_t maxUnansweredServers = 1024;

/// Delay from the last crash of a refused request to its first trial, and the factor by which the delay grows with each
/// trial.
inline constexpr Duration firstTrialDelay = 30s;
inline constexpr int trialDelayFactor = 20;

/// Reports that a coordinator has to send and store after an event.
struct Outcome {
    /// For all entry VMs.
    std::vector<CrashReport> publish;
    /// For the entry VM that sent the report.
    std::vector<CrashReport> reply;
    /// For the log, so that the next coordinator starts with them.
    std::vector<CrashReport> store;
    /// Parts that are refused from now on, for logs.
    std::vector<PartEvidence::Verdict> verdicts {};

    [[nodiscard]] bool empty() const noexcept { return publish.empty() && reply.empty() && store.empty(); }
};

/// Merges the crash reports of all entry VMs. A request is published one crash before it is refused, and a part of a
/// prompt when it is suspected, so that entry VMs that have seen it complete can clear it.
class Coordinator {
public:
    struct Counters {
        /// Parts of prompts that were suspected, refused, and no longer refused because a request survived.
        std::uint64_t partsSuspected { 0 };
        std::uint64_t partsRefused { 0 };
        std::uint64_t partsCleared { 0 };
    };

    explicit Coordinator(std::size_t crashesUntilRefusal, Duration announcementInterval = defaultAnnouncementInterval)
        : m_announcementInterval(announcementInterval)
    {
        m_state.crashesUntilRefusal = crashesUntilRefusal;
    }

    /// Replaces the state by the stored records.
    void start(const StoredRecords& stored, const StoredParts& parts, Instant now);

    /// Applies the report of an entry VM.
    void report(const CrashReport& report, Instant now, Outcome& outcome);

    /// Applies an announcement. Two announcements of one boot after a report show that the server has not crashed: the
    /// first of them may have been in flight at the time of the report. An announcement also shows that the domain has
    /// not failed in which other servers have crashed.
    void announced(const ServerId& server, const BootId& bootId, const FabricDomainId& domain, std::uint64_t sequence,
        Instant now, Outcome& outcome);

    /// Unconfirmed crashes on which the refusal of a request depends, each returned once. The caller probes the servers
    /// and passes the results to applyProbeResult().
    [[nodiscard]] std::vector<Crash> takeCrashesToProbe();

    /// Applies the result of a probe. A server that answers right after its crash was reported has not crashed, because
    /// a restart takes longer. Otherwise the crash counts until the server announces itself.
    void applyProbeResult(const Crash& crash, bool alive, Instant now, Outcome& outcome);

    /// Removes expired records, and counts a server with unanswered requests as crashed if it `hasEnded`.
    void review(const std::function<bool(const Crash&)>& hasEnded, Instant now, Outcome& outcome);

    /// Reports for an entry VM that has just subscribed.
    [[nodiscard]] std::vector<CrashReport> published() const;

    [[nodiscard]] std::size_t suspects() const noexcept { return m_state.records.size(); }
    [[nodiscard]] std::size_t refused() const;
    [[nodiscard]] std::vector<Fingerprint> refusedParts() const { return m_parts.refused(); }
    [[nodiscard]] const Counters& counters() const noexcept { return m_counters; }

private:
    struct Unanswered {
        Instant at;
        std::vector<Fingerprint> fingerprints;
        /// Parts of these requests, as if their server had crashed at `at`.
        std::vector<Exposure> parts;
    };

    struct Trials {
        Instant lastAt;
        std::size_t granted { 0 };
    };

    void addCrash(const CrashReport& report, Instant now, Outcome& outcome);
    void clear(const std::vector<Fingerprint>& fingerprints, Instant now, Outcome& outcome);
    void survived(std::span<const Exposure> parts, Instant now, Outcome& outcome);
    /// Publishes new suspects among the parts of prompts, and refuses those with enough evidence.
    void judgeParts(Instant now, Outcome& outcome);
    /// Tells entry VMs which parts are no longer suspected.
    void publishClearedSuspects(Outcome& outcome);
    /// Whether a trial of a request or part is due, which is recorded if so.
    [[nodiscard]] bool grantTrial(const Fingerprint& fingerprint, std::size_t before, Instant lastCrash, Instant now);
    void retract(const Crash& crash, Outcome& outcome);
    /// Removes the crash from the records of requests: it has not happened or has another cause.
    void retractForRequests(const Crash& crash, Outcome& outcome);
    /// Grants a trial of those requests whose delay since the last crash or trial has passed.
    void grantTrials(const std::vector<Fingerprint>& fingerprints, Instant now, Outcome& outcome);
    /// Publishes those requests that have enough counted crashes.
    void publish(std::span<const Fingerprint> fingerprints, Outcome& outcome) const;
    /// Whether a crash counts: its server did not answer a probe or has ended, or the crash was stored.
    [[nodiscard]] bool counts(const Crash& crash) const;
    [[nodiscard]] std::size_t countedCrashes(const Record& record) const;
    [[nodiscard]] bool isPublished(const Fingerprint& fingerprint) const;

    State m_state;
    std::map<Crash, Unanswered> m_unanswered;
    std::vector<Crash> m_crashesToProbe;
    /// Crashes that were probed, stored or confirmed by the end of the server, and whether they count.
    std::map<Crash, bool> m_counted;
    std::map<Fingerprint, Trials> m_trials;
    /// Sequence number of the first announcement after the report of a crash.
    std::map<Crash, std::uint64_t> m_announcedAfter;
    PartEvidence m_parts;
    Duration m_announcementInterval;
    CrashIsolation m_isolation { m_announcementInterval };
    Counters m_counters;
};

} // namespace rosemarymill::quarantine
