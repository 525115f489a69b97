#include <rosemarymill/core/fleet/voters.hpp>

#include <algorithm>

namespace rosemarymill::fleet {

namespace {

bool isWorking(const VoterCandidate& it, const VoterSettings& settings, Instant now)
{
    return now < it.lastReceivedAt + settings.working;
}

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
    return static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(),
        [&](const auto& it) { return it.votes && it.dataCentre == dataCentre && isWorking(it, settings, now); }));
}

/// Working learner that holds all committed entries, in the data centre with the fewest working voters; null if there
/// is none.
const VoterCandidate* bestLearner(
    std::span<const VoterCandidate> candidates, const VoterSettings& settings, Instant now)
{
    const VoterCandidate* best = nullptr;
    std::size_t fewest = 0;
    for (const auto& it : candidates) {
        if (it.votes || !it.caughtUp || !isWorking(it, settings, now))
            continue;
        const auto votersInDataCentre = workingIn(it.dataCentre, candidates, settings, now);
        if (!best || votersInDataCentre < fewest) {
            best = &it;
            fewest = votersInDataCentre;
        }
    }
    return best;
}

/// Why no learner can become a voter.
std::string_view whyNoLearner(std::span<const VoterCandidate> candidates, const VoterSettings& settings, Instant now)
{
    bool working = false;
    for (const auto& it : candidates)
        working = working || (!it.votes && isWorking(it, settings, now));
    return working ? "no other VM holds the whole log" : "no other VM answers the leader";
}

/// Voter other than `self` that has not answered for the longest time, at least `limit`; null if there is none.
const VoterCandidate* longestUnresponsive(
    const VmId& self, std::span<const VoterCandidate> candidates, Duration limit, Instant now)
{
    const VoterCandidate* unresponsive = nullptr;
    for (const auto& it : candidates) {
        if (it.votes && it.vm != self && now >= it.lastReceivedAt + limit
            && (!unresponsive || it.lastReceivedAt < unresponsive->lastReceivedAt))
            unresponsive = &it;
    }
    return unresponsive;
}

} // namespace

VoterReview reviewVoters(const VmId& self, std::span<const VoterCandidate> candidates, bool changing,
    const VoterSettings& settings, Instant now)
{
    if (changing)
        return { VoterDecision::Deferred, {}, "an earlier change is not committed", {} };
    auto voters = votersOf(candidates);
    const auto* unresponsive = longestUnresponsive(self, candidates, settings.replaceAfter, now);
    const auto* learner = bestLearner(candidates, settings, now);
    if (unresponsive && (voters.size() > settings.wanted || learner)) {
        std::erase(voters, unresponsive->vm);
        return { VoterDecision::Remove, unresponsive->vm, "it does not answer the leader", std::move(voters) };
    }
    if (learner && voters.size() < settings.wanted) {
        voters.push_back(learner->vm);
        return { VoterDecision::Add, learner->vm, "fewer voters than wanted", std::move(voters) };
    }
    if (unresponsive || voters.size() < settings.wanted)
        return { VoterDecision::Deferred, unresponsive ? unresponsive->vm : VmId {},
            whyNoLearner(candidates, settings, now), {} };
    if (const auto* late = longestUnresponsive(self, candidates, settings.working, now))
        return { VoterDecision::Deferred, late->vm,
            "it does not answer the leader, but for less than the replacement time", {} };
    return { VoterDecision::Keep, {}, "all voters answer", {} };
}

std::vector<VmId> bootstrapVoters(const VmId& self, const std::map<VmId, DataCentreId>& vms, std::size_t wanted)
{
    std::vector<VmId> voters { self };
    std::map<DataCentreId, std::size_t> chosen;
    if (const auto it = vms.find(self); it != vms.end())
        ++chosen[it->second];
    auto remaining = vms;
    remaining.erase(self);
    while (voters.size() < wanted && !remaining.empty()) {
        const auto next = std::min_element(remaining.begin(), remaining.end(),
            [&](const auto& a, const auto& b) { return chosen[a.second] < chosen[b.second]; });
        ++chosen[next->second];
        voters.push_back(next->first);
        remaining.erase(next);
    }
    return voters;
}

std::size_t workingVoters(std::span<const VoterCandidate> candidates, const VoterSettings& settings, Instant now)
{
    return static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(),
        [&](const auto& it) { return it.votes && isWorking(it, settings, now); }));
}

} // namespace rosemarymill::fleet
