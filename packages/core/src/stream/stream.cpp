#include <rosemarymill/core/stream/stream.hpp>

#include <algorithm>
#include <tuple>
#include <vector>

namespace rosemarymill::stream {

namespace {

class Category final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "stream"; }
    [[nodiscard]] std::string message(int) const override { return "a token index is missing"; }
};

void setBytes(State& state, Stream& stream, std::uint64_t bytes)
{
    state.bytes += bytes - stream.bytes;
    stream.bytes = bytes;
}

void suspend(State& state, CallId call, Stream& stream, Effects& effects)
{
    ++state.counters.suspended;
    stream.phase = Phase::Suspended;
    stream.complete = false;
    stream.next = stream.firstUnsentToken;
    // Bytes in the connection's own buffer cannot be dropped; the runtime reports those that are left with Delivered.
    setBytes(state, stream, 0);
    effects(Suspend { call, stream.next });
}

/// Whether the stream has an attempt that can be suspended: tokens may arrive, and dropped ones can be requested again.
bool hasAttempt(const Stream& stream) noexcept
{
    return stream.phase == Phase::Flowing || stream.phase == Phase::Paused;
}

/// Suspends the largest streams until the buffered bytes are within the budget. A stream whose caller received bytes
/// recently (100 ms) is suspended only if no other stream can be.
void enforceBudget(State& state, Instant now, Effects& effects)
{
    constexpr Duration recentProgress = 100ms;
    while (state.bytes > state.limits.budget) {
        // The call id makes the choice independent of the iteration order of the map.
        const auto rank = [&](const auto& it) {
            return std::tuple(now - it.second.progressAt > recentProgress, it.second.bytes, it.first);
        };
        auto victim = state.streams.end();
        for (auto it = state.streams.begin(); it != state.streams.end(); ++it) {
            const bool candidate = hasAttempt(it->second) && it->second.bytes > 0;
            if (candidate && (victim == state.streams.end() || rank(*it) > rank(*victim)))
                victim = it;
        }
        if (victim == state.streams.end())
            return;
        suspend(state, victim->first, victim->second, effects);
    }
}

void finishIfDelivered(CallId call, const Stream& stream, Effects& effects)
{
    if (stream.complete && stream.firstUnsentToken == stream.next)
        effects(Finish { call });
}

void handle(State& state, const Opened& event, Effects&)
{
    auto& stream = state.streams[event.call];
    stream.phase = Phase::Flowing;
    stream.complete = false;
    stream.next = event.next;
    stream.progressAt = event.now;
}

void handle(State& state, const Received& event, Effects& effects)
{
    const auto it = state.streams.find(event.call);
    if (it == state.streams.end() || !hasAttempt(it->second))
        return;
    auto& stream = it->second;
    if (event.index < stream.next) {
        ++state.counters.repeats;
        return;
    }
    if (event.index > stream.next) {
        ++state.counters.gaps;
        effects(Broken { event.call, StreamError::Gap });
        return;
    }
    ++stream.next;
    if (stream.bytes == 0)
        stream.progressAt = event.now;
    setBytes(state, stream, stream.bytes + event.bytes);
    effects(Forward { event.call });
    if (stream.phase == Phase::Flowing && stream.bytes >= state.limits.highWaterMark) {
        stream.phase = Phase::Paused;
        effects(SetFlow { event.call, false });
    }
    enforceBudget(state, event.now, effects);
}

void handle(State& state, const Delivered& event, Effects& effects)
{
    const auto it = state.streams.find(event.call);
    if (it == state.streams.end())
        return;
    auto& stream = it->second;
    if (event.bytes < stream.bytes || event.firstUnsentToken > stream.firstUnsentToken)
        stream.progressAt = event.now;
    setBytes(state, stream, event.bytes);
    stream.firstUnsentToken = std::max(stream.firstUnsentToken, event.firstUnsentToken);
    if (stream.phase == Phase::Suspended && event.bytes == 0) {
        ++state.counters.resumed;
        stream.phase = Phase::Resuming;
        effects(Resume { event.call });
    } else if (stream.phase == Phase::Paused && event.bytes <= state.limits.lowWaterMark) {
        stream.phase = Phase::Flowing;
        effects(SetFlow { event.call, true });
    }
    finishIfDelivered(event.call, stream, effects);
}

void handle(State& state, const Completed& event, Effects& effects)
{
    const auto it = state.streams.find(event.call);
    if (it == state.streams.end())
        return;
    it->second.complete = true;
    finishIfDelivered(event.call, it->second, effects);
}

void handle(State& state, const Closed& event, Effects&)
{
    const auto it = state.streams.find(event.call);
    if (it == state.streams.end())
        return;
    setBytes(state, it->second, 0);
    state.streams.erase(it);
}

void handle(State& state, const TimePassed& event, Effects& effects)
{
    std::vector<CallId> stalled;
    for (const auto& [call, stream] : state.streams) {
        const bool isStalled = event.now - stream.progressAt > state.limits.stallTimeout;
        if (isStalled && hasAttempt(stream) && stream.bytes > state.limits.lowWaterMark)
            stalled.push_back(call);
    }
    // Makes the order of the effects independent of the iteration order of the map.
    std::sort(stalled.begin(), stalled.end());
    for (const auto call : stalled)
        suspend(state, call, state.streams.at(call), effects);
}

} // namespace

std::error_code make_error_code(StreamError error) noexcept
{
    static const Category category;
    return { static_cast<int>(error), category };
}

void reduce(State& state, const Event& event, Effects& effects)
{
    std::visit([&](const auto& it) { handle(state, it, effects); }, event);
}

} // namespace rosemarymill::stream
