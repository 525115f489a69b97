#pragma once

#include <rosemarymill/core/base/hash.hpp>
#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

/// Requests that crash the backend servers which run them. What the requests in flight at a crash have in common with
/// others, their traits, is shared between entry VMs; a trait that was in flight at several crashes is refused.
namespace rosemarymill::quarantine {

/// Crashes after which a request is refused if suspects run alone on a server: the second crash has no other cause.
inline constexpr std::size_t isolatedRequestCrashLimit = 2;

/// Crashes after which a request is refused if servers run suspects beside other requests.
inline constexpr std::size_t sharedRequestCrashLimit = 3;

/// Time for which a completed request is not suspected: a crash of a server that runs it has another cause.
inline constexpr Duration completionWindow = 20s;

/// Time for which a fingerprint is kept after its last crash.
inline constexpr Duration recordRetention = 24h;

/// Trials of a refused request. At most three repeats are allowed after its refusal, and one may be in flight then.
inline constexpr std::size_t maxTrials = 2;

/// Maximum number of fingerprints with crashes, and of completed ones. Those that are not refused are evicted first.
inline constexpr std::size_t maxFingerprints = 4096;

/// Time for which a server writes an answer until its request is known not to crash it: a server that crashes on a
/// request does so with one of the first events, which follow within 150 ms each even at full load.
inline constexpr Duration survivalTime = 500ms;

/// Maximum number of parts of prompts in the report of one crash.
inline constexpr std::size_t maxExposuresPerReport = 256;

/// Maximum number of crashes kept for one fingerprint.
inline constexpr std::size_t maxCrashes = 8;

/// Tolerance for comparing times that different processes observed: the jitter of their connections.
inline constexpr Duration reportJitter = 50ms;

/// The end of a server counts as a crash for requests given up there only if it is detected within this time.
inline constexpr Duration confirmationTimeout = 30s;

/// A server that announces itself with the same boot id this long after a lost connection has not crashed. The time
/// exceeds the announcement interval, so the announcement was sent after the connection broke.
inline constexpr Duration survivalDelay = 1500ms;

/// Boot of a server that ended in a crash.
struct Crash {
    ServerId server;
    BootId bootId;

    friend auto operator<=>(const Crash&, const Crash&) = default;
    friend bool operator==(const Crash&, const Crash&) = default;
};

/// Kind of a report.
enum class ReportKind {
    /// The connection to the server broke, or the server was lost, while the requests were in flight.
    Crashed,
    /// The server has not crashed.
    Retracted,
    /// The requests were completed.
    Cleared,
    /// The server did not respond until the requests were given up. Counts as a crash once the end of the server is
    /// detected.
    Unanswered,
    /// An entry VM refused the requests and asks to try one of each.
    TrialWanted,
    /// The entry VM may send one of each request to one server.
    TrialGranted,
    /// Parts of prompts that were in flight at several crashes. Entry VMs report which of them have survived.
    PartSuspected,
    /// Requests with one of the parts are refused.
    PartRefused
};

/// What a request has in common with others. Each trait may be what crashes its servers.
struct Traits {
    /// Client account, path and body: the same for each copy of the request.
    Fingerprint request;
    /// Parts of the prompt that other requests may hold too, in their order.
    std::vector<Fingerprint> parts {};
};

/// Part of a prompt of a request that was in flight at a crash.
struct Exposure {
    Fingerprint part;
    /// Distinguishes the requests that hold the part.
    std::uint64_t request { 0 };
    /// Time from sending the request until the crash. In reports of survivals, the time since the server began to write
    /// the answer.
    Duration inFlight {};
    /// Position of the part in the prompt.
    std::uint32_t position { 0 };

    friend bool operator==(const Exposure&, const Exposure&) = default;
};

/// Name of the value in logs.
[[nodiscard]] std::string_view nameOf(ReportKind kind) noexcept;

/// Report to the other entry VMs.
struct CrashReport {
    ReportKind kind { ReportKind::Crashed };
    Crash crash;
    std::vector<Fingerprint> fingerprints;
    /// Parts of the prompts of these requests. In reports that concern no crash, the parts that are meant.
    std::vector<Exposure> parts {};
    /// Time since the crash was observed.
    Duration age {};

    friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

/// Message of the quarantine module.
using Message = std::variant<CrashReport>;

/// How a request may be executed.
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

/// Recently completed requests, in two successive periods of completionWindow.
struct Completions {
    std::set<Fingerprint> current;
    std::set<Fingerprint> previous;
    Instant currentSince;

    [[nodiscard]] bool contains(const Fingerprint& fingerprint) const
    {
        return current.contains(fingerprint) || previous.contains(fingerprint);
    }
};

/// Crash records of one process.
struct State {
    std::size_t crashesUntilRefusal { isolatedRequestCrashLimit };
    std::map<Fingerprint, Record> records;
    Completions completions;
    /// Crashes that an announcement of the same boot can still disprove, with the time of the report.
    std::map<Crash, Instant> unconfirmed;
};

/// Report on parts of prompts that concerns no crash.
[[nodiscard]] CrashReport partReport(ReportKind kind, std::span<const Fingerprint> parts);

/// Applies an own or received report. Crashes of recently completed requests are ignored; unanswered requests, trials
/// and parts of prompts change nothing. Returns whether the report changed a record.
bool reduce(State& state, const CrashReport& report, Instant now);

/// Whether an announcement of this boot disproves a reported crash.
[[nodiscard]] bool disproves(const State& state, const ServerId& server, const BootId& bootId, Instant now);

[[nodiscard]] Verdict verdictOf(const State& state, const Fingerprint& fingerprint);

/// Crash reports that make up the records of the fingerprints, one for each crash.
[[nodiscard]] std::vector<CrashReport> reportsOf(const State& state, std::span<const Fingerprint> fingerprints);

/// Removes expired fingerprints and returns them.
std::vector<Fingerprint> expire(State& state, Instant now);

} // namespace rosemarymill::quarantine
