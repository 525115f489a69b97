#include <rosemarymill/core/base/hash.hpp>
#include <rosemarymill/core/routing/choice.hpp>

#include <algorithm>

namespace rosemarymill::routing {

namespace {

/// Number of leading blocks that make up the affinity key. Longer keys would spread the calls of one conversation over
/// several servers.
constexpr std::size_t affinityBlocks = 2;

double meanLoad(std::span<const Candidate> candidates)
{
    double sum = 0.0;
    for (const auto& it : candidates)
        sum += it.inFlight;
    // The call itself is part of the load to be balanced.
    return (sum + 1.0) / static_cast<double>(candidates.size());
}

bool isWithinBound(const Candidate& it, double mean) { return it.inFlight + 1 <= std::max(1.0, loadBound * mean); }

std::optional<std::size_t> chooseByCache(std::span<const Candidate> candidates, double mean)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& it = candidates[i];
        if (!it.free || it.drained || it.cachedBlocks == 0 || !isWithinBound(it, mean))
            continue;
        if (!best || it.cachedBlocks > candidates[*best].cachedBlocks)
            best = i;
    }
    return best;
}

std::optional<std::size_t> chooseByAffinity(
    std::uint64_t prefixHash, std::span<const Candidate> candidates, double mean)
{
    const auto key = std::to_string(prefixHash);
    std::optional<std::size_t> best;
    std::uint64_t highest = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto& it = candidates[i];
        if (!it.free || it.drained || !isWithinBound(it, mean))
            continue;
        const auto weight = rendezvousWeight(key, it.server.text());
        if (!best || weight > highest) {
            best = i;
            highest = weight;
        }
    }
    return best;
}

} // namespace

std::optional<std::size_t> PowerOfTwoChoices::choose(const Query& query, std::span<const Candidate> candidates)
{
    std::vector<std::size_t> free;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].free && !candidates[i].drained)
            free.push_back(i);
    }
    if (free.empty()) {
        const auto it = std::find_if(candidates.begin(), candidates.end(), [](const auto& c) { return c.free; });
        if (it == candidates.end())
            return std::nullopt;
        return static_cast<std::size_t>(it - candidates.begin());
    }
    if (!query.prefixHashes.empty()) {
        const auto mean = meanLoad(candidates);
        if (const auto best = chooseByCache(candidates, mean))
            return best;
        const auto length = std::min(query.prefixHashes.size(), affinityBlocks);
        if (const auto best = chooseByAffinity(query.prefixHashes[length - 1], candidates, mean))
            return best;
    }
    std::uniform_int_distribution<std::size_t> pick(0, free.size() - 1);
    const auto a = free[pick(m_random)];
    const auto b = free[pick(m_random)];
    return candidates[b].expectedFinish < candidates[a].expectedFinish ? b : a;
}

std::optional<std::size_t> RoundRobin::choose(const Query& query, std::span<const Candidate> candidates)
{
    auto it = m_last.find(query.pool);
    if (it == m_last.end())
        it = m_last.emplace(std::string(query.pool), 0).first;
    for (std::size_t n = 1; n <= candidates.size(); ++n) {
        const auto pos = (it->second + n) % candidates.size();
        if (candidates[pos].free) {
            it->second = pos;
            return pos;
        }
    }
    return std::nullopt;
}

} // namespace rosemarymill::routing
