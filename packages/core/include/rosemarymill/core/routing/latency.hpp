#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <span>

/// Latency of servers as this process measures it, and stragglers found by comparison with their peers.
namespace rosemarymill::routing {

/// Part of a pool's servers that may be drained at once.
inline constexpr std::uint32_t drainedPoolDivisor = 5;

/// Time for which a straggler gets no calls. Then it is measured anew.
inline constexpr Duration drainTime = 10s;

/// Latency of one server.
struct ServerLatency {
    /// Mean time to the start of an answer and to its end, exponentially weighted, in microseconds.
    double firstResponse { 0.0 };
    double finish { 0.0 };
    std::uint32_t samples { 0 };
    Instant drainedUntil;
};

using LatencyTable = std::map<ServerId, ServerLatency>;

/// Takes in one answer.
void observe(LatencyTable& table, const ServerId& server, Duration firstResponse, Duration finish);

/// Marks servers that are much slower than the median of the pool, at most a fifth of it at once.
void drainStragglers(LatencyTable& table, std::span<const ServerId> pool, Instant now);

[[nodiscard]] bool isDrained(const LatencyTable& table, const ServerId& server, Instant now);

/// Expected time to finish a call on a server with this load; zero when nothing has been measured.
[[nodiscard]] Duration expectedFinish(
    const LatencyTable& table, const ServerId& server, std::uint32_t inFlight, std::uint32_t slots);

/// Prefix cache of a server as far as its events tell.
struct PrefixCache {
    std::uint64_t sequence { 0 };
    /// No event since the last complete state was lost.
    bool complete { false };
    std::set<std::uint64_t> blocks;
};

/// Takes in cache events. A gap discards what is known, and the cache counts as unknown until the server restarts its
/// sequence.
void observe(PrefixCache& cache, std::uint64_t sequence, std::span<const std::uint64_t> added,
    std::span<const std::uint64_t> removed);

/// Leading blocks of the prompt that the cache holds; zero when the sequence is incomplete.
[[nodiscard]] std::uint32_t cachedBlocks(const PrefixCache& cache, std::span<const std::uint64_t> prefixHashes);

} // namespace rosemarymill::routing
