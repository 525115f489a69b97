#include <rosemarymill/core/fleet/voters.hpp>

#include <algorithm>

namespace rosemarymill::fleet {

namespace {

std::vector<VmId> votersOf(std::span<const VoterCandidate> candidates)
{
    std::vector<VmId> voters;
    for (const auto& it : candidates) {
        if (it.votes)
            voters.push_back(it.vm);
    }
    return voters;
}

/// Working voters in a data centre.
std::size_t workingIn(const DataCentreId& dataCentre, std::span<const VoterCandidate> candidates,
    const VoterSettings& settings, Instant now)
{
    return static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(), [&](const auto& it) {
        return it.votes && it.dataCentre == dataCentre && now < it.heardAt + settings.working;
    }));
}

const VoterCandidate* bestNewcomer(
    std::span<const VoterCandidate> candidates, const VoterSettings& settings, Instant now)
{
    const VoterCandidate* best = nullptr;
    std::size_t fewest = 0;
    for (const auto& it : candidates) {
        if (it.votes || !it.caughtUp || now >= it.heardAt + settings.working)
            continue;
        const auto neighbours = workingIn(it.dataCentre, candidates, settings, now);
        if (!best || neighbours < fewest) {
            best = &it;
            fewest = neighbours;
        }
    }
    return best;
}

} // namespace

std::optional<std::vector<VmId>> nextVoters(
    const VmId& self, std::span<const VoterCandidate> candidates, const VoterSettings& settings, Instant now)
{
    auto voters = votersOf(candidates);
    const VoterCandidate* silent = nullptr;
    for (const auto& it : candidates) {
        if (it.votes && it.vm != self && now >= it.heardAt + settings.replaceAfter
            && (!silent || it.heardAt < silent->heardAt))
            silent = &it;
    }
    if (voters.size() > settings.wanted && silent) {
        std::erase(voters, silent->vm);
        return voters;
    }
    if (voters.size() < settings.wanted || (voters.size() == settings.wanted && silent)) {
        if (const auto* newcomer = bestNewcomer(candidates, settings, now)) {
            voters.push_back(newcomer->vm);
            return voters;
        }
    }
    return std::nullopt;
}

} // namespace rosemarymill::fleet
