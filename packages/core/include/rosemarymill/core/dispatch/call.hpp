#pragma once

#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/core/routes/document.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>

/// What happens to a call after an attempt at one server has ended.
namespace rosemarymill::dispatch {

/// How an attempt ended.
enum class AttemptOutcome : std::uint8_t {
    /// No byte of the request can have reached the server.
    NotSent,
    /// The server said that it did not and will not run the request.
    Rejected,
    /// The server ran the request and answered with a server error.
    ServerError,
    /// The connection ended, or the answer was unusable. The request may have run.
    Broken,
    /// The server stopped sending. The request may have run.
    Stalled
};

/// Number of values of AttemptOutcome.
inline constexpr std::size_t attemptOutcomeCount = 5;

/// Name of the value in logs and metrics.
[[nodiscard]] std::string_view nameOf(AttemptOutcome end) noexcept;

/// What a call has been through so far.
struct CallState {
    bool retryable { false };
    bool streaming { false };
    unsigned maxServers { 1 };
    /// Attempts that may have run at servers that still count.
    unsigned runs { 0 };
    /// Attempts that may have run at all.
    unsigned possibleRuns { 0 };
    /// Attempts that may have reached a server. After the first of them each further one is a repeat.
    unsigned arrivals { 0 };
    unsigned rejections { 0 };
    unsigned unsent { 0 };
    /// The request is suspected of crashing servers and not to be sent to any further one.
    bool quarantined { false };
    /// The client has received the head of the answer.
    bool headSent { false };
    Instant deadline;
};

/// Next step of a call.
enum class Step : std::uint8_t {
    /// Send the request to another server; a stream continues after its last event.
    TryNext,
    /// Leave a stream that has begun waiting: its request is suspected, and may be cleared.
    Wait,
    /// Hand the server's answer to the client.
    ForwardResponse,
    /// Tell the client that the request has not run.
    Refuse,
    /// Tell the client that the outcome is unknown.
    Fail,
    /// Cut the answer that has begun.
    Abort
};

/// Attempts rejected or not sent after which a call is given up.
inline constexpr unsigned maxRejections = 3;
inline constexpr unsigned maxUnsent = 4;

/// Attempts at servers that had ended before they can have begun, as far as this VM can tell, after which a call is
/// given up.
inline constexpr unsigned maxLostServers = 3;

/// Time that has to be left before the deadline for another attempt to be worth its cost.
inline constexpr Duration minTimeForRetry = 60ms;

/// Decides the next step. The state already counts the attempt. `budgetLeft` tells whether the service's retry budget
/// allows another arrival at a server.
[[nodiscard]] Step nextStep(const CallState& state, AttemptOutcome end, bool budgetLeft, Instant now) noexcept;

/// Decides how a call ends whose time is over. `underWay` tells whether an attempt has not ended: its server may run
/// the request.
[[nodiscard]] Step deadlineStep(const CallState& state, bool underWay) noexcept;

/// How far a graceful shutdown has come.
struct Shutdown {
    /// When the process was told to stop.
    Instant since;
    /// Time until the platform kills the process.
    Duration grace {};
};

/// Whether a request that arrives during a shutdown can still be answered before the process is killed. Streams are
/// taken only while the balancer still sends clients; other requests while their time limit fits.
[[nodiscard]] bool acceptsDuringShutdown(const Shutdown& shutdown, const routes::Route& route, Instant now) noexcept;

} // namespace rosemarymill::dispatch
