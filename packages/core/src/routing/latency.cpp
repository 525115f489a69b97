#include <rosemarymill/core/routing/latency.hpp>

#include <algorithm>
#include <vector>

namespace rosemarymill::routing {

namespace {

constexpr double sampleWeight = 0.2;
constexpr std::uint32_t minimumSamples = 8;
constexpr double stragglerFactor = 2.0;
/// Smaller differences do not matter to callers: this is a twentieth of the 0.53 s target for the first token.
constexpr double stragglerFloorMicroseconds = 26'500.0;
/// Maximum number of cache blocks tracked per server.
constexpr std::size_t maxBlocks = 4096;

} // namespace

void observe(LatencyTable& table, const ServerId& server, Duration firstResponse, Duration finish)
{
    auto& it = table[server];
    const auto weight = it.samples == 0 ? 1.0 : sampleWeight;
    it.firstResponse += weight * (static_cast<double>(firstResponse.count()) - it.firstResponse);
    it.finish += weight * (static_cast<double>(finish.count()) - it.finish);
    ++it.samples;
}

void drainStragglers(LatencyTable& table, std::span<const ServerId> pool, Instant now)
{
    std::vector<double> measured;
    std::uint32_t drained = 0;
    for (const auto& id : pool) {
        const auto it = table.find(id);
        if (it == table.end())
            continue;
        drained += now < it->second.drainedUntil ? 1 : 0;
        if (it->second.samples >= minimumSamples)
            measured.push_back(it->second.firstResponse);
    }
    if (measured.size() < drainedPoolDivisor)
        return;
    auto middle = measured.begin() + static_cast<std::ptrdiff_t>(measured.size() / 2);
    std::nth_element(measured.begin(), middle, measured.end());
    const auto bound = std::max(stragglerFactor * *middle, *middle + stragglerFloorMicroseconds);
    const auto allowed = static_cast<std::uint32_t>(pool.size()) / drainedPoolDivisor;
    for (const auto& id : pool) {
        const auto it = table.find(id);
        if (drained >= allowed || it == table.end())
            continue;
        auto& latency = it->second;
        if (latency.samples < minimumSamples || latency.firstResponse <= bound || now < latency.drainedUntil)
            continue;
        latency.drainedUntil = now + drainTime;
        latency.samples = 0;
        ++drained;
    }
}

bool isDrained(const LatencyTable& table, const ServerId& server, Instant now)
{
    const auto it = table.find(server);
    return it != table.end() && now < it->second.drainedUntil;
}

Duration expectedFinish(const LatencyTable& table, const ServerId& server, std::uint32_t inFlight, std::uint32_t slots)
{
    const auto it = table.find(server);
    if (it == table.end())
        return Duration::zero();
    const double load = slots == 0 ? 1.0 : static_cast<double>(inFlight) / slots;
    return Duration { static_cast<std::int64_t>(it->second.finish * (1.0 + load)) };
}

void observe(PrefixCache& cache, std::uint64_t sequence, std::span<const std::uint64_t> added,
    std::span<const std::uint64_t> removed)
{
    if (sequence == cache.sequence)
        return;
    const bool restarted = sequence == 1;
    if (restarted)
        cache.blocks.clear();
    cache.complete = restarted || (cache.complete && sequence == cache.sequence + 1);
    cache.sequence = sequence;
    if (!cache.complete) {
        cache.blocks.clear();
        return;
    }
    for (const auto hash : removed)
        cache.blocks.erase(hash);
    for (const auto hash : added) {
        if (cache.blocks.size() < maxBlocks)
            cache.blocks.insert(hash);
    }
}

std::uint32_t cachedBlocks(const PrefixCache& cache, std::span<const std::uint64_t> prefixHashes)
{
    if (!cache.complete)
        return 0;
    std::uint32_t count = 0;
    for (const auto hash : prefixHashes) {
        if (!cache.blocks.contains(hash))
            break;
        ++count;
    }
    return count;
}

} // namespace rosemarymill::routing
