#include <rosemarymill/runtime/trace/spans.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

#include <nlohmann/json.hpp>

namespace rosemarymill::runtime {

namespace {

using nlohmann::ordered_json;

constexpr std::size_t traceIdDigits = 32;
constexpr std::size_t spanIdDigits = 16;
// Span kinds and status codes of OpenTelemetry.
constexpr int kindInternal = 1;
constexpr int kindServer = 2;
constexpr int kindClient = 3;
constexpr int statusOk = 1;
constexpr int statusError = 2;

bool isId(std::string_view text)
{
    const auto isDigit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return std::all_of(text.begin(), text.end(), isDigit)
        && std::any_of(text.begin(), text.end(), [](char c) { return c != '0'; });
}

int kindOf(std::string_view name)
{
    if (name == "caller")
        return kindServer;
    return name == "queue" ? kindInternal : kindClient;
}

ordered_json attribute(const char* key, const std::string& value)
{
    return { { "key", key }, { "value", { { "stringValue", value } } } };
}

} // namespace

std::optional<TraceContext> parseTraceparent(std::string_view text)
{
    // version "-" trace id "-" parent id "-" flags
    constexpr std::size_t length = 55;
    if (text.size() < length || text[2] != '-' || text[35] != '-' || text[52] != '-')
        return std::nullopt;
    const auto version = text.substr(0, 2);
    // Only version 00 fixes the length; later versions may append fields.
    const bool isValidLength = text.size() == length || (version != "00" && text[length] == '-');
    const auto traceId = text.substr(3, traceIdDigits);
    const auto parentId = text.substr(36, spanIdDigits);
    const auto flags = text.substr(53, 2);
    const bool isValidVersion = version == "00" || (isId(version) && version != "ff");
    if (!isValidLength || !isValidVersion || !isId(traceId) || !isId(parentId) || (flags != "00" && !isId(flags)))
        return std::nullopt;
    constexpr int hexadecimal = 16;
    const bool sampled = std::stoi(std::string(flags), nullptr, hexadecimal) & 1;
    return TraceContext { std::string(traceId), std::string(parentId), sampled };
}

SpanRecorder::SpanRecorder(std::ostream& out, std::string vm, Duration epochOffset, std::uint64_t seed)
    : m_out(out)
    , m_vm(std::move(vm))
    , m_epochOffset(epochOffset)
    , m_random(seed)
{
}

std::string SpanRecorder::generateId(std::size_t digits)
{
    constexpr std::string_view alphabet = "0123456789abcdef";
    std::uniform_int_distribution<std::size_t> digit(0, alphabet.size() - 1);
    std::string id;
    do {
        id.clear();
        std::generate_n(std::back_inserter(id), digits, [&] { return alphabet[digit(m_random)]; });
    } while (!isId(id));
    return id;
}

void SpanRecorder::write(const Call& call, const std::string& spanId, const std::string& parentId, const char* name,
    const std::string& target, Instant start, Instant end, bool failed)
{
    const auto nanoseconds = [&](Instant at) {
        return std::to_string(std::chrono::nanoseconds { at.time_since_epoch() + m_epochOffset }.count());
    };
    ordered_json span { { "traceId", call.context.traceId }, { "spanId", spanId } };
    if (!parentId.empty())
        span["parentSpanId"] = parentId;
    span["name"] = name;
    span["kind"] = kindOf(name);
    span["startTimeUnixNano"] = nanoseconds(start);
    span["endTimeUnixNano"] = nanoseconds(end);
    if (!target.empty())
        span["attributes"] = ordered_json::array({ attribute("rosemarymill.target", target) });
    span["status"] = { { "code", failed ? statusError : statusOk } };
    const ordered_json resource { { "attributes",
        ordered_json::array({ attribute("service.name", "rosemarymilld"), attribute("service.instance.id", m_vm) }) } };
    const ordered_json scope { { "scope", { { "name", "rosemarymill" } } },
        { "spans", ordered_json::array({ std::move(span) }) } };
    const ordered_json entry { { "resource", resource }, { "scopeSpans", ordered_json::array({ scope }) } };
    const ordered_json line { { "resourceSpans", ordered_json::array({ entry }) } };
    m_out << line.dump(-1, ' ', true, ordered_json::error_handler_t::replace) << '\n';
    m_out.flush();
}

void SpanRecorder::arrived(const node::CallArrived& event)
{
    auto context = parseTraceparent(event.request.traceparent);
    if (!context)
        context = TraceContext { generateId(traceIdDigits), {}, true };
    if (context->sampled)
        m_calls[event.call] = { std::move(*context), generateId(spanIdDigits), event.now, false };
}

void SpanRecorder::dispatched(AttemptId attempt, CallId call, const char* name, const std::string& target, Instant now)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end())
        return;
    if (!std::exchange(it->second.dispatched, true))
        write(it->second, generateId(spanIdDigits), it->second.spanId, "queue", {}, it->second.arrivedAt, now, false);
    m_attempts[attempt] = { call, name, target, now };
}

void SpanRecorder::attemptEnded(AttemptId attempt, Instant now, bool failed)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end())
        return;
    const auto endedAttempt = std::move(it->second);
    m_attempts.erase(it);
    if (const auto call = m_calls.find(endedAttempt.call); call != m_calls.end())
        write(call->second, generateId(spanIdDigits), call->second.spanId, endedAttempt.name, endedAttempt.target,
            endedAttempt.startedAt, now, failed);
}

void SpanRecorder::callEnded(CallId call, Instant now, bool failed)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end())
        return;
    if (!it->second.dispatched)
        write(it->second, generateId(spanIdDigits), it->second.spanId, "queue", {}, it->second.arrivedAt, now, failed);
    write(it->second, it->second.spanId, it->second.context.parentId, "caller", {}, it->second.arrivedAt, now, failed);
    m_calls.erase(it);
    // Attempts that the core keeps running after the call, e.g. for the ledger, get no span.
    std::erase_if(m_attempts, [&](const auto& entry) { return entry.second.call == call; });
}

void SpanRecorder::observe(const node::Event& event, const node::Effects& effects)
{
    const auto now = std::visit([](const auto& it) { return it.now; }, event);
    std::visit(Overloaded { [&](const node::CallArrived& it) { arrived(it); },
                   [&](const node::ResponseFinished& it) { attemptEnded(it.attempt, now, false); },
                   [&](const node::AttemptFailed& it) { attemptEnded(it.attempt, now, true); }, [](const auto&) {} },
        event);
    const Overloaded handler {
        [&](const node::Dispatch& it) { dispatched(it.attempt, it.call, "backend", it.server.text(), now); },
        [&](const node::ForwardCall& it) { dispatched(it.attempt, it.call, "forward", it.vm.text(), now); },
        [&](const node::CancelAttempt& it) { attemptEnded(it.attempt, now, true); },
        [&](const node::FinishCall& it) { callEnded(it.call, now, false); },
        [&](const node::AnswerCall& it) { callEnded(it.call, now, false); },
        [&](const node::RefuseCall& it) { callEnded(it.call, now, true); },
        [](const auto&) {},
    };
    for (const auto& effect : effects)
        std::visit(handler, effect);
    if (const auto* disconnected = std::get_if<node::CallerGone>(&event))
        callEnded(disconnected->call, now, true);
}

} // namespace rosemarymill::runtime
