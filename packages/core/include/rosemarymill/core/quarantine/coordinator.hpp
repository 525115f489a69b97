#pragma once

#include <rosemarymill/core/quarantine/stored_record.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <vector>

namespace rosemarymill::quarantine {

/// Time in which a server at which a request was given up has to be known to have ended for that to count as a crash.
inline constexpr Duration confirmationTerm = 30s;

/// Servers with unanswered requests that are remembered at most.
inline constexpr std::size_t maxUnanswered = 1024;

/// Time after its last crash after which a refused request may be tried, and the factor by which the time grows with
/// each trial.
inline constexpr Duration firstTrialPause = 30s;
inline constexpr int trialPauseGrowth = 20;

/// What a coordinator wants done after an event.
struct Outcome {
    /// For all entry VMs.
    std::vector<CrashReport> publish;
    /// For the entry VM whose report it was.
    std::vector<CrashReport> reply;
    /// For the log, so that it outlives this coordinator.
    std::vector<CrashReport> store;

    [[nodiscard]] bool empty() const noexcept { return publish.empty() && reply.empty() && store.empty(); }
};

/// Sums up what all entry VMs saw of crashes. Entry VMs are told of a request from the last crash before it is refused,
/// so that those that have seen it complete can clear it.
class Coordinator {
public:
    explicit Coordinator(std::size_t crashesUntilRefusal) { m_state.crashesUntilRefusal = crashesUntilRefusal; }

    /// Begins with the stored records.
    void start(const StoredRecords& stored, Instant now);

    /// An entry VM reports.
    void report(const CrashReport& report, Instant now, Outcome& outcome);

    /// A server announced itself. Two announcements of one life after a report show that it has not crashed: the first
    /// of them may have been on its way.
    void announced(const ServerId& server, const BootId& bootId, std::uint64_t sequence, Instant now, Outcome& outcome);

    /// Servers whose end decides about a request and has yet to be confirmed, each once. The caller asks them and tells
    /// the outcome to answered().
    [[nodiscard]] std::vector<Crash> takeCrashesToProbe();

    /// A server that answers right after its crash was reported has not crashed: it takes longer to start. Otherwise
    /// the crash counts until the server announces itself.
    void answered(const Crash& crash, bool alive, Instant now, Outcome& outcome);

    /// Forgets old records, and counts unanswered requests as crashes whose server `hasEnded`.
    void review(const std::function<bool(const Crash&)>& hasEnded, Instant now, Outcome& outcome);

    /// Reports for an entry VM that knows nothing yet.
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
    /// Lets the entry VM that asks try requests whose last crash or trial was long ago.
    void grantTrials(const std::vector<Fingerprint>& fingerprints, Instant now, Outcome& outcome);
    /// Publishes those requests of which enough crashes count.
    void publish(std::span<const Fingerprint> fingerprints, Outcome& outcome) const;
    /// Whether the server of a crash was asked and did not answer.
    [[nodiscard]] bool counts(const Crash& crash) const;
    [[nodiscard]] std::size_t countedCrashes(const Record& record) const;
    [[nodiscard]] bool isPublished(const Fingerprint& fingerprint) const;

    State m_state;
    std::map<Crash, Unanswered> m_unanswered;
    std::vector<Crash> m_crashesToProbe;
    /// Crashes that were asked about, and whether they count since.
    std::map<Crash, bool> m_counted;
    std::map<Fingerprint, Trials> m_trials;
    /// Sequence number of the first announcement after the report of a crash.
    std::map<Crash, std::uint64_t> m_announcedAfter;
};

} // namespace rosemarymill::quarantine
