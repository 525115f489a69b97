#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

/// Choice of a server or group among those that have a free slot.
namespace rosemarymill::routing {

/// Maximum load of a preferred server, as a factor of the mean, above which calls overflow to others.
inline constexpr double loadBound = 1.25;

/// Server that may be chosen for a call.
struct Candidate {
    ServerId server;
    std::string address;
    GroupId group;
    FencingNumber fencing;
    /// Requests in flight from this process.
    std::uint32_t inFlight { 0 };
    /// Time in which a call dispatched now is expected to finish.
    Duration expectedFinish { 0 };
    /// The call can start on the server now.
    bool free { false };
    /// The server is drained as a straggler; it is used only if no other server is free.
    bool drained { false };
    /// Number of leading blocks of the call's prompt that the server's prefix cache holds, as reported.
    std::uint32_t cachedBlocks { 0 };
};

/// Properties of the call that a choice depends on.
struct Query {
    std::string_view pool;
    /// Hashes of the prompt's leading blocks, longest prefix last.
    std::span<const std::uint64_t> prefixHashes;
};

/// Policy that chooses one of the free candidates, or none. It receives all candidates, so that it can compare their
/// loads.
template <typename Choice>
concept RoutingPolicy = requires(Choice choice, const Query& query, std::span<const Candidate> candidates)
{
    {
        choice.choose(query, candidates)
        } -> std::same_as<std::optional<std::size_t>>;
};

/// Prefix affinity by rendezvous hashing with bounded loads; without a prefix, the better of two random candidates by
/// expected finish time.
class PowerOfTwoChoices {
public:
    explicit PowerOfTwoChoices(std::uint64_t seed = 0)
        : m_random(seed)
    {
    }
    [[nodiscard]] std::optional<std::size_t> choose(const Query& query, std::span<const Candidate> candidates);

private:
    std::mt19937_64 m_random;
};

/// Baseline for comparison: each pool's servers in turn.
class RoundRobin {
public:
    [[nodiscard]] std::optional<std::size_t> choose(const Query& query, std::span<const Candidate> candidates);

private:
    std::map<std::string, std::size_t, std::less<>> m_last;
};

static_assert(RoutingPolicy<PowerOfTwoChoices>);
static_assert(RoutingPolicy<RoundRobin>);

} // namespace rosemarymill::routing
