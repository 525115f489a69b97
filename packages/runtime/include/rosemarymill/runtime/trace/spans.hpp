#pragma once

#include <rosemarymill/core/base/result.hpp>
#include <rosemarymill/core/node/effect.hpp>
#include <rosemarymill/core/node/event.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <ostream>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>

/// Spans of calls in OpenTelemetry's JSON format (OTLP/JSON).
namespace rosemarymill::runtime {

/// W3C trace context of a call.
struct TraceContext {
    /// 32 lower-case hexadecimal digits.
    std::string traceId;
    /// 16 lower-case hexadecimal digits; empty for a call that starts a trace.
    std::string parentId;
    bool sampled { true };
};

/// Parses a `traceparent` header of version 00 to fe. Empty for malformed texts and all-zero ids.
[[nodiscard]] std::optional<TraceContext> parseTraceparent(std::string_view text);

/// Writes one line per ended span: the caller's request, its wait in the queue, and each attempt at a backend server or
/// in another data centre. Calls whose trace context is not sampled are not written.
class SpanRecorder {
public:
    /// The offset is added to the core's instants to obtain the time since the Unix epoch.
    SpanRecorder(std::ostream& out, std::string vm, Duration epochOffset, std::uint64_t seed);

    /// Records one event and its effects.
    void observe(const node::Event& event, const node::Effects& effects);

private:
    struct Attempt {
        CallId call;
        const char* name { "" };
        std::string target;
        Instant startedAt;
    };

    struct Call {
        TraceContext context;
        std::string spanId;
        Instant arrivedAt;
        bool dispatched { false };
    };

    void arrived(const node::CallArrived& event);
    void dispatched(AttemptId attempt, CallId call, const char* name, const std::string& target, Instant now);
    void attemptEnded(AttemptId attempt, Instant now, bool failed);
    void callEnded(CallId call, Instant now, bool failed);
    void write(const Call& call, const std::string& spanId, const std::string& parentId, const char* name,
        const std::string& target, Instant start, Instant end, bool failed);
    [[nodiscard]] std::string generateId(std::size_t digits);

    std::ostream& m_out;
    std::string m_vm;
    Duration m_epochOffset;
    std::mt19937_64 m_random;
    std::unordered_map<CallId, Call> m_calls;
    std::unordered_map<AttemptId, Attempt> m_attempts;
};

} // namespace rosemarymill::runtime
