#pragma once

#include <rosemarymill/core/quarantine/stored_record.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <vector>

namespace rosemarymill::quarantine {

/// The end of a server counts as a crash for requests given up there only if it is detected within this time.
inline constexpr Duration confirmationTimeout = 30s;

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

    [[nodiscard]] bool empty() const noexcept { return publish.empty() && reply.empty() && store.empty(); }
};

/// Merges the crash reports of all entry VMs. A request is published one crash before it is refused, so that entry VMs
/// that have seen it complete can clear it.
class Coordinator {
public:
    explicit Coordinator(std::size_t crashesUntilRefusal) { m_state.crashesUntilRefusal = crashesUntilRefusal; }

    /// Replaces the state by the stored records.
    void start(const StoredRecords& stored, Instant now);

    /// Applies the report of an entry VM.
    void report(const CrashReport& report, Instant now, Outcome& outcome);

    /// Applies an announcement. Two announcements of one boot after a report show that the server has not crashed: the
    /// first of them may have been in flight at the time of the report.
    void announced(const ServerId& server, const BootId& bootId, std::uint64_t sequence, Instant now, Outcome& outcome);

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

private:
    struct Unanswered {
        Instant at;
        std::vector<Fingerprint> fingerprints;
    };

    struct Trials {
        Instant lastAt;
        std::size_t granted { 0 };
    };

    void addCrash(const CrashReport& report, Instant now, Outcome& outcome);
    void clear(const std::vector<Fingerprint>& fingerprints, Instant now, Outcome& outcome);
    void retract(const Crash& crash, Instant now, Outcome& outcome);
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
};

} // namespace rosemarymill::quarantine
