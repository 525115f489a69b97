#pragma once

#include <rosemarymill/core/base/hash.hpp>
#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <compare>
#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <variant>
#include <vector>

/// Requests that crash the backend servers which run them. Fingerprints of requests in flight at a crash are shared
/// between entry VMs; a request seen at two crashes is refused.
namespace rosemarymill::quarantine {

/// Crashes after which a request is refused.
inline constexpr std::size_t crashesUntilRefusal = 2;

/// Time for which a fingerprint is remembered after its last crash.
inline constexpr Duration memoryTerm = 24h;

/// Fingerprints remembered at most. Those with one crash are evicted first.
inline constexpr std::size_t maxFingerprints = 4096;

/// A server that announces itself with the same boot id this long after a lost connection has not crashed. The time
/// exceeds the announcement interval, so the announcement was sent after the connection broke.
inline constexpr Duration survivalProof = 1500ms;

/// Boot of a server that ended in a crash.
struct Crash {
    ServerId server;
    BootId bootId;

    friend auto operator<=>(const Crash&, const Crash&) = default;
    friend bool operator==(const Crash&, const Crash&) = default;
};

/// What a report states.
enum class ReportKind {
    /// The connection to the server broke, or the server was lost, while the requests were in flight.
    Crashed,
    /// The server has not crashed.
    Retracted,
    /// The requests ran alone to their end.
    Cleared
};

/// Report to the other entry VMs.
struct CrashReport {
    ReportKind kind { ReportKind::Crashed };
    Crash crash;
    std::vector<Fingerprint> fingerprints;

    friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

/// Message of the quarantine module.
using Message = std::variant<CrashReport>;

/// What may be done with a request.
enum class Verdict {
    Normal,
    /// The request runs alone on a server.
    Suspect,
    Refused
};

/// Crashes at which a fingerprint was in flight.
struct Record {
    std::set<Crash> crashes;
    Instant lastCrash;
};

/// What one process knows of crashes.
struct State {
    std::map<Fingerprint, Record> records;
    /// Crashes that an announcement of the same boot can still disprove, with the time of the report.
    std::map<Crash, Instant> unconfirmed;
};

/// Takes in a report, own or received. Returns whether it changed anything.
bool reduce(State& state, const CrashReport& report, Instant now);

/// Whether an announcement of this boot disproves a reported crash.
[[nodiscard]] bool disproves(const State& state, const ServerId& server, const BootId& bootId, Instant now);

[[nodiscard]] Verdict verdictOf(const State& state, const Fingerprint& fingerprint);

/// Forgets old fingerprints.
void expire(State& state, Instant now);

} // namespace rosemarymill::quarantine
