#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/sink.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <cstdint>
#include <system_error>
#include <unordered_map>
#include <variant>

/// Flow control of streams between backend servers and slow callers. The runtime buffers the bytes; this module counts
/// them and decides when a server's stream is paused, suspended and resumed.
namespace rosemarymill::stream {

/// Limits on the bytes buffered for callers.
struct Limits {
    /// Buffered bytes of one stream at which reading from its server stops.
    std::uint64_t highWaterMark { 64 * 1024 };
    /// Buffered bytes of one stream at which reading starts again.
    std::uint64_t lowWaterMark { 16 * 1024 };
    /// Maximum buffered bytes of all streams of the process.
    std::uint64_t budget { 16 * 1024 * 1024 };
    /// Time without progress after which a stream above the low water mark is suspended.
    Duration stallTimeout { 10s };
};

/// State of a stream's attempt.
enum class Phase {
    Flowing,
    /// Reading from the server is stopped.
    Paused,
    /// The attempt is cancelled and the buffered tokens are dropped. Only the token index is kept.
    Suspended,
    /// Waits for a server to resume the stream at the token index.
    Resuming
};

/// Errors of a stream.
enum class StreamError {
    /// A token index is missing. The attempt cannot be continued.
    Gap = 1
};

[[nodiscard]] std::error_code make_error_code(StreamError error) noexcept; // NOLINT(readability-identifier-naming)

/// One stream, from its first response head until the call is closed.
struct Stream {
    Phase phase { Phase::Flowing };
    /// All tokens have been received from the server.
    bool complete { false };
    /// Index of the next token expected from the server.
    std::uint64_t next { 0 };
    /// Index of the first token that the caller's connection has not accepted.
    std::uint64_t firstUnsentToken { 0 };
    /// Bytes buffered in the process, in the stream's buffer and in the connection's.
    std::uint64_t bytes { 0 };
    /// Last time at which the caller received bytes, or at which a byte was added to the empty buffer.
    Instant progressAt;
};

/// Totals since the start of the process.
struct Counters {
    std::uint64_t suspended { 0 };
    std::uint64_t resumed { 0 };
    std::uint64_t gaps { 0 };
    std::uint64_t repeats { 0 };
};

/// All streams of one process.
struct State {
    Limits limits;
    std::unordered_map<CallId, Stream> streams;
    /// Bytes of all streams.
    std::uint64_t bytes { 0 };
    Counters counters;
};

/// A server began to answer, at the first token or at the token requested on a resume.
struct Opened {
    Instant now;
    CallId call;
    std::uint64_t next { 0 };
};

/// A token was received from the server.
struct Received {
    Instant now;
    CallId call;
    std::uint64_t index { 0 };
    std::uint32_t bytes { 0 };
};

/// The caller's connection accepted tokens or sent bytes.
struct Delivered {
    Instant now;
    CallId call;
    std::uint64_t firstUnsentToken { 0 };
    /// Bytes that are still buffered.
    std::uint64_t bytes { 0 };
};

/// The server sent its last token.
struct Completed {
    Instant now;
    CallId call;
};

/// The call has ended, whether it succeeded or failed.
struct Closed {
    Instant now;
    CallId call;
};

struct TimePassed {
    Instant now;
};

using Event = std::variant<Opened, Received, Delivered, Completed, Closed, TimePassed>;

/// Append the token just received to the caller's buffer.
struct Forward {
    CallId call;
};

/// Stop or resume reading from the server.
struct SetFlow {
    CallId call;
    bool enabled { true };
};

/// Cancel the attempt and drop the buffered tokens.
struct Suspend {
    CallId call;
    /// Token index to resume at.
    std::uint64_t next { 0 };
};

/// Run the call again from the token index at which it was suspended.
struct Resume {
    CallId call;
};

/// End the response: the caller's connection has accepted the last token.
struct Finish {
    CallId call;
};

/// The attempt cannot be continued.
struct Broken {
    CallId call;
    StreamError error { StreamError::Gap };
};

using Effect = std::variant<Forward, SetFlow, Suspend, Resume, Finish, Broken>;
using Effects = EffectList<Effect>;

/// Applies one event. Events of unknown calls are ignored, except Opened.
void reduce(State& state, const Event& event, Effects& effects);

} // namespace rosemarymill::stream

template <> struct std::is_error_code_enum<rosemarymill::stream::StreamError> : std::true_type {
};
