#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <span>

/// Latency of servers as measured by this process, and outlier detection by comparison with the other servers of a
/// pool.
namespace rosemarymill::routing {

/// Divisor of a pool's size that gives the maximum number of servers drained at once: one in five.
inline constexpr std::uint32_t drainedPoolDivisor = 5;

/// Time for which a straggler gets no calls. Afterwards it is measured again.
inline constexpr Duration drainTime = 10s;

/// Latency of one server.
struct ServerLatency {
    /// Exponentially weighted mean time to the start of an answer and to its end, in microseconds.
    double firstResponse { 0.0 };
    double finish { 0.0 };
    std::uint32_t samples { 0 };
    Instant drainedUntil;
};

using LatencyTable = std::map<ServerId, ServerLatency>;

/// Records the times of one answer.
void observe(LatencyTable& table, const ServerId& server, Duration firstResponse, Duration finish);

/// Drains servers that are much slower than the median of the pool, at most a fifth of the pool at once.
void drainStragglers(LatencyTable& table, std::span<const ServerId> pool, Instant now);

[[nodiscard]] bool isDrained(const LatencyTable& table, const ServerId& server, Instant now);

/// Expected time to finish a call on a server with this load; zero if nothing has been measured.
[[nodiscard]] Duration expectedFinish(
    const LatencyTable& table, const ServerId& server, std::uint32_t inFlight, std::uint32_t slots);

/// View of a server's prefix cache, built from its cache events.
struct PrefixCache {
    std::uint64_t sequence { 0 };
    /// No event has been lost since the server started its sequence.
    bool complete { false };
    std::set<std::uint64_t> blocks;
};

/// Applies cache events. A gap in the sequence discards the view, which stays empty until the server restarts its
/// sequence.
void observe(PrefixCache& cache, std::uint64_t sequence, std::span<const std::uint64_t> added,
    std::span<const std::uint64_t> removed);

/// Number of leading blocks of the prompt that the cache holds; zero if the view is incomplete.
[[nodiscard]] std::uint32_t cachedBlocks(const PrefixCache& cache, std::span<const std::uint64_t> prefixHashes);

} // namespace rosemarymill::routing
