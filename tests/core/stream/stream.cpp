#include <rosemarymill/core/stream/stream.hpp>

#include <catch2/catch.hpp>

#include <cstdlib>
#include <new>

using namespace rosemarymill;
using namespace rosemarymill::stream;

namespace {

std::size_t allocations = 0;

constexpr CallId call { 1 };
constexpr Instant start { 1s };

struct Harness {
    State state;
    Effects effects;

    void apply(const Event& event)
    {
        effects.clear();
        reduce(state, event, effects);
    }

    /// Receives tokens of 1 KiB.
    void receive(CallId id, std::uint64_t from, std::uint64_t count, Instant now = start)
    {
        for (std::uint64_t i = from; i < from + count; ++i)
            apply(Received { now, id, i, 1024 });
    }

    template <typename T> [[nodiscard]] std::size_t count() const
    {
        std::size_t n = 0;
        for (const auto& it : effects)
            n += std::holds_alternative<T>(it) ? 1 : 0;
        return n;
    }
};

} // namespace

void* operator new(std::size_t size)
{
    ++allocations;
    if (auto* it = std::malloc(size))
        return it;
    throw std::bad_alloc();
}

void operator delete(void* it) noexcept { std::free(it); }
void operator delete(void* it, std::size_t) noexcept { std::free(it); }

// Guards against duplicate or missing tokens after a resume.
TEST_CASE("Repeated tokens are dropped and a gap breaks the attempt", "[stream]")
{
    Harness it;
    it.apply(Opened { start, call, 5 });
    it.apply(Received { start, call, 5, 10 });
    CHECK(it.count<Forward>() == 1);
    it.apply(Received { start, call, 5, 10 });
    CHECK(it.effects.empty());
    it.apply(Received { start, call, 7, 10 });
    CHECK(it.count<Forward>() == 0);
    CHECK(it.count<Broken>() == 1);
    CHECK(it.state.counters.repeats == 1);
    CHECK(it.state.counters.gaps == 1);
}

// Guards against a buffer that grows beyond the high water mark, and against reading that never resumes.
TEST_CASE("Reading stops at the high and restarts at the low water mark", "[stream]")
{
    Harness it;
    it.apply(Opened { start, call, 0 });
    it.receive(call, 0, 63);
    CHECK(it.count<SetFlow>() == 0);
    it.receive(call, 63, 1);
    REQUIRE(it.count<SetFlow>() == 1);
    it.apply(Delivered { start, call, 30, 34 * 1024 });
    CHECK(it.count<SetFlow>() == 0);
    it.apply(Delivered { start, call, 48, 16 * 1024 });
    CHECK(it.count<SetFlow>() == 1);
    CHECK(it.state.bytes == 16 * 1024);
}

// Guards against memory held for callers that stopped reading, and against a resume at the wrong token.
TEST_CASE("A stalled stream is suspended at the first unsent token and resumes when the caller has received the rest",
    "[stream]")
{
    Harness it;
    it.apply(Opened { start, call, 0 });
    it.receive(call, 0, 40);
    it.apply(Delivered { start, call, 4, 40 * 1024 });
    it.apply(TimePassed { start + 9s });
    CHECK(it.effects.empty());
    it.apply(TimePassed { start + 11s });
    REQUIRE(it.count<Suspend>() == 1);
    CHECK(std::get<Suspend>(it.effects[0]).next == 4);
    it.apply(Received { start + 11s, call, 4, 1024 });
    CHECK(it.effects.empty());
    it.apply(Delivered { start + 12s, call, 4, 2048 });
    CHECK(it.effects.empty());
    it.apply(Delivered { start + 20s, call, 4, 0 });
    CHECK(it.count<Resume>() == 1);
    it.apply(Opened { start + 21s, call, 4 });
    it.apply(Received { start + 21s, call, 4, 1024 });
    CHECK(it.count<Forward>() == 1);
}

// Guards against a process whose memory grows with the number of slow callers.
TEST_CASE("The buffered bytes stay within the budget for any number of stalled streams", "[stream]")
{
    Harness it;
    std::uint64_t most = 0;
    for (std::uint64_t id = 1; id <= 1000; ++id) {
        it.apply(Opened { start, CallId { id }, 0 });
        for (std::uint64_t i = 0; i < 64; ++i) {
            it.apply(Received { start + Duration { id * 1000 }, CallId { id }, i, 1024 });
            most = std::max(most, it.state.bytes);
        }
    }
    CHECK(most <= it.state.limits.budget + 1024);
    CHECK(it.state.counters.suspended >= 700);
    std::uint64_t sum = 0;
    for (const auto& [id, stream] : it.state.streams)
        sum += stream.bytes;
    CHECK(sum == it.state.bytes);
    for (std::uint64_t id = 1; id <= 1000; ++id)
        it.apply(Closed { start, CallId { id } });
    CHECK(it.state.bytes == 0);
}

// Guards against a response that ends before the caller's connection has accepted every token.
TEST_CASE("A complete stream finishes once the connection has accepted the last token", "[stream]")
{
    Harness it;
    it.apply(Opened { start, call, 0 });
    it.receive(call, 0, 3);
    it.apply(Completed { start, call });
    CHECK(it.count<Finish>() == 0);
    it.apply(Delivered { start, call, 2, 1024 });
    CHECK(it.count<Finish>() == 0);
    it.apply(Delivered { start, call, 3, 1024 });
    CHECK(it.count<Finish>() == 1);
}

// Guards against an allocation per token, which would exceed the time per token of the throughput target.
TEST_CASE("The per-token path does not allocate", "[stream]")
{
    Harness it;
    it.apply(Opened { start, call, 0 });
    it.receive(call, 0, 1);
    const auto before = allocations;
    for (std::uint64_t i = 1; i < 10'000; ++i) {
        it.apply(Received { start, call, i, 100 });
        it.apply(Delivered { start, call, i + 1, 0 });
    }
    CHECK(allocations == before);
}
