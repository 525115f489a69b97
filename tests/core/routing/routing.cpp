#include <rosemarymill/core/routing/choice.hpp>
#include <rosemarymill/core/routing/latency.hpp>
#include <rosemarymill/core/routing/remote.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using namespace rosemarymill::routing;

namespace {

std::vector<Candidate> candidates(std::size_t count)
{
    std::vector<Candidate> all(count);
    for (std::size_t i = 0; i < count; ++i) {
        all[i].server = ServerId { "s" + std::to_string(i) };
        all[i].free = true;
    }
    return all;
}

CapacityDigest digest(std::uint32_t free) { return { DataCentreId { "antigua" }, true, { { "pool", 20, free } } }; }

} // namespace

TEST_CASE("Calls with one prefix stay on one server until its load exceeds the bound", "[routing]")
{
    PowerOfTwoChoices choice { 1 };
    auto all = candidates(8);
    for (auto& it : all)
        it.inFlight = 4;
    const std::vector<std::uint64_t> prefix { 11, 12, 13 };
    const auto preferred = choice.choose({ "pool", prefix }, all);
    REQUIRE(preferred);
    CHECK(choice.choose({ "pool", prefix }, all) == preferred);
    all[*preferred].inFlight = 6;
    CHECK(choice.choose({ "pool", prefix }, all) != preferred);
    for (int i = 0; i < 400; ++i) {
        const auto pos = choice.choose({ "pool", prefix }, all);
        ++all[*pos].inFlight;
    }
    double sum = 0;
    std::uint32_t most = 0;
    for (const auto& it : all) {
        sum += it.inFlight;
        most = std::max(most, it.inFlight);
    }
    CHECK(most <= loadBound * sum / 8 + 1);
}

TEST_CASE("A server whose cache holds the prefix is preferred, one with lost cache events is not", "[routing]")
{
    PrefixCache cache;
    const std::vector<std::uint64_t> blocks { 1, 2 };
    observe(cache, 1, blocks, {});
    CHECK(cachedBlocks(cache, blocks) == 2);
    observe(cache, 3, {}, {});
    CHECK(cachedBlocks(cache, blocks) == 0);
    observe(cache, 4, blocks, {});
    CHECK(cachedBlocks(cache, blocks) == 0);
    observe(cache, 1, blocks, {});
    CHECK(cachedBlocks(cache, blocks) == 2);

    PowerOfTwoChoices choice { 1 };
    auto all = candidates(8);
    all[5].cachedBlocks = 2;
    CHECK(choice.choose({ "pool", blocks }, all) == 5);
}

TEST_CASE("Power of two choices avoids a server that is expected to finish late", "[routing]")
{
    PowerOfTwoChoices choice { 7 };
    auto all = candidates(4);
    all[0].expectedFinish = 9s;
    int slow = 0;
    for (int i = 0; i < 1000; ++i)
        slow += choice.choose({ "pool", {} }, all) == 0 ? 1 : 0;
    // The slow server is chosen only if it is drawn twice: one in sixteen.
    CHECK(slow < 100);
}

TEST_CASE("Servers much slower than their peers are drained, at most a fifth of the pool at once", "[routing]")
{
    LatencyTable table;
    std::vector<ServerId> pool;
    for (int i = 0; i < 10; ++i) {
        pool.push_back(ServerId { "s" + std::to_string(i) });
        for (int n = 0; n < 10; ++n)
            observe(table, pool.back(), i < 4 ? 900ms : 100ms, 2s);
    }
    const Instant now { 100s };
    drainStragglers(table, pool, now);
    drainStragglers(table, pool, now + 1s);
    const auto drained
        = std::count_if(pool.begin(), pool.end(), [&](const auto& id) { return isDrained(table, id, now); });
    CHECK(drained == 2);
    CHECK_FALSE(isDrained(table, pool[9], now));

    auto all = candidates(3);
    all[0].drained = true;
    PowerOfTwoChoices choice { 1 };
    for (int i = 0; i < 50; ++i)
        CHECK(choice.choose({ "pool", {} }, all) != 0);
    all[1].free = all[2].free = false;
    CHECK(choice.choose({ "pool", {} }, all) == 0);
}

TEST_CASE("The share of a data centre that becomes available ramps up over 30 s", "[routing]")
{
    RemoteDataCentres remotes;
    Instant now { 100s };
    const DataCentreId antigua { "antigua" };
    const auto sentPerDigest = [&] {
        int count = 0;
        while (chooseRemote(remotes, "pool", now, {})) {
            countSent(remotes, antigua, "pool");
            ++count;
        }
        return count;
    };
    receive(remotes, digest(20), VmId { "a" }, now);
    CHECK(sentPerDigest() == 0);
    now += 3s;
    receive(remotes, digest(20), VmId { "a" }, now);
    CHECK(sentPerDigest() == 2);
    for (int i = 0; i < 10; ++i) {
        now += 3s;
        receive(remotes, digest(20), VmId { "a" }, now);
    }
    CHECK(sentPerDigest() == 18);
    now += 10s;
    CHECK_FALSE(chooseRemote(remotes, "pool", now, {}).has_value());
    receive(remotes, digest(20), VmId { "a" }, now);
    CHECK(sentPerDigest() == 0);
    now += 30s;
    CHECK_FALSE(chooseRemote(remotes, "pool", now, {}).has_value());
}

TEST_CASE("Calls overflow with hysteresis, and only to data centres that accept calls", "[routing]")
{
    RemoteDataCentres remotes;
    CHECK_FALSE(updateOverflow(remotes, "pool", 200ms, true));
    CHECK(updateOverflow(remotes, "pool", 300ms, true));
    CHECK(updateOverflow(remotes, "pool", 200ms, true));
    CHECK_FALSE(updateOverflow(remotes, "pool", 50ms, true));
    CHECK(updateOverflow(remotes, "pool", 0ms, false));
    Instant now { 100s };
    receive(remotes, digest(20), VmId { "a" }, now);
    for (int i = 0; i < 10; ++i) {
        now += 4s;
        receive(remotes, digest(20), VmId { "a" }, now);
    }
    CHECK(chooseRemote(remotes, "pool", now, {}));
    CHECK_FALSE(chooseRemote(remotes, "pool", now, { DataCentreId { "antigua" } }).has_value());
    auto leaving = digest(20);
    leaving.accepting = false;
    receive(remotes, leaving, VmId { "a" }, now);
    CHECK_FALSE(chooseRemote(remotes, "pool", now, {}).has_value());
}
