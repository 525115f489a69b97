#pragma once

#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/core/routes/document.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>

/// Retry decisions: the next step of a call after an attempt at one server has ended.
namespace rosemarymill::dispatch {

/// How an attempt ended.
enum class AttemptOutcome : std::uint8_t {
    /// No byte of the request can have reached the server.
    NotSent,
    /// The server answered that it did not and will not run the request.
    Rejected,
    /// The server ran the request and answered with a server error.
    ServerError,
    /// The connection was closed, or the answer was unusable. The request may have run.
    Broken,
    /// The server stopped sending. The request may have run.
    Stalled
};

/// Number of values of AttemptOutcome.
inline constexpr std::size_t attemptOutcomeCount = 5;

/// Name of the value in logs and metrics.
[[nodiscard]] std::string_view nameOf(AttemptOutcome end) noexcept;

/// State of a call and its attempts so far.
struct CallState {
    bool retryable { false };
    bool streaming { false };
    unsigned maxServers { 1 };
    /// Attempts that may have begun to run; they count towards `maxServers`.
    unsigned runs { 0 };
    /// Attempts that reached a server and were not rejected, including those that had certainly not begun to run.
    unsigned possibleRuns { 0 };
    /// Attempts that may have reached a server. Each one after the first is a repeat.
    unsigned arrivals { 0 };
    unsigned rejections { 0 };
    unsigned unsent { 0 };
    /// The request is suspected of crashing servers and must not be sent to another one.
    bool quarantined { false };
    /// The client has received the head of the answer.
    bool headSent { false };
    Instant deadline;
};

/// Next step of a call.
enum class Step : std::uint8_t {
    /// Send the request to another server; a stream continues after its last event.
    TryNext,
    /// Keep a stream that has begun open without an attempt: its request is quarantined and may be cleared later.
    Wait,
    /// Forward the server's answer to the client.
    ForwardResponse,
    /// Answer the client that the request has not run.
    Refuse,
    /// Answer the client that the outcome is unknown.
    Fail,
    /// Terminate the answer that has begun without completing it.
    Abort
};

/// Numbers of rejected and of unsent attempts after which a call is given up.
inline constexpr unsigned maxRejections = 3;
inline constexpr unsigned maxUnsent = 4;

/// Number of attempts that cannot have begun to run, as far as this VM can determine, because their servers terminated
/// first, after which a call is given up.
inline constexpr unsigned maxLostServers = 3;

/// Minimum time before the deadline for which another attempt is worth its cost.
inline constexpr Duration minTimeForRetry = 60ms;

/// Returns the next step after an attempt that `state` already counts. `budgetLeft` states whether the service's retry
/// budget allows another arrival at a server.
[[nodiscard]] Step nextStep(const CallState& state, AttemptOutcome end, bool budgetLeft, Instant now) noexcept;

/// Returns how a call ends at its deadline. `attemptActive` states whether an attempt is still in progress, so that its
/// server may run the request.
[[nodiscard]] Step deadlineStep(const CallState& state, bool attemptActive) noexcept;

/// Progress of a graceful shutdown.
struct Shutdown {
    /// Time at which the process was asked to stop.
    Instant since;
    /// Time from then until the platform kills the process.
    Duration grace {};
};

/// Whether a request that arrives during a shutdown can still be answered before the process is killed. Streams are
/// accepted only while the external load balancer may still send new clients; other requests if their timeout ends in
/// time.
[[nodiscard]] bool acceptsDuringShutdown(const Shutdown& shutdown, const routes::Route& route, Instant now) noexcept;

} // namespace rosemarymill::dispatch
