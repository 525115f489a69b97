#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string_view>
#include <vector>

/// Choice of the control VMs that vote in the control log.
namespace rosemarymill::fleet {

/// Control VM as the leader sees it.
struct VoterCandidate {
    VmId vm;
    /// Empty when unknown.
    DataCentreId dataCentre;
    bool votes { false };
    /// It holds all that is committed.
    bool caughtUp { false };
    /// When it last answered the leader.
    Instant lastReceivedAt;
};

/// Bounds of the choice.
struct VoterSettings {
    /// Voters wanted: twice the losses to be borne at once and one more.
    std::size_t wanted { 3 };
    /// A voter that is silent for this long is replaced when another VM can take its place.
    Duration replaceAfter { 1s };
    /// A VM that answered this recently is working.
    Duration working { 1s };
    /// Time between two reviews of the voters.
    Duration reviewInterval { 100ms };
};

/// Shortest time between losses that elections and changes of the voters can keep up with.
constexpr Duration minCatchUpTime { 1s };

/// Bounds for a number of losses to be borne at once. A VM that has come back, or a successor that has started, has to
/// vote within `catchUpTime`, since the next VM may be lost then. A new leader may take half of that time to be
/// elected.
[[nodiscard]] constexpr VoterSettings voterSettings(std::size_t losses, Duration catchUpTime) noexcept
{
    return { 2 * losses + 1, std::max(catchUpTime, minCatchUpTime) / 4, 1s, 100ms };
}

/// What a review of the voters has decided.
enum class VoterDecision : std::uint8_t { Keep, Deferred, Add, Remove };

/// Decision of one review.
struct VoterReview {
    VoterDecision decision { VoterDecision::Keep };
    /// VM that is added, removed or kept although it is silent; empty when the voters are to stay as they are.
    VmId subject;
    /// Why, for the log. It stays the same while the decision does.
    std::string_view reason;
    /// Voters after the change; empty when there is none now.
    std::vector<VmId> voters;

    friend bool operator==(const VoterReview&, const VoterReview&) = default;
};

/// Decides on the next change of the voters by one VM. When another VM can take the place of a silent voter, the silent
/// one is removed first: those that remain can then still elect a leader after one of them has lost its disk. VMs are
/// added in data centres with few voters first. `self` is never removed. Nothing is changed while an earlier change of
/// the voters is not committed (`changing`).
[[nodiscard]] VoterReview reviewVoters(const VmId& self, std::span<const VoterCandidate> candidates, bool changing,
    const VoterSettings& settings, Instant now);

/// Voters that bootstrap the log: `self` and the other control VMs that are known, up to `wanted`, from as many data
/// centres as possible.
[[nodiscard]] std::vector<VmId> bootstrapVoters(
    const VmId& self, const std::map<VmId, DataCentreId>& known, std::size_t wanted);

/// Voters and learners as the leader `self` sees them. `dataCentreOf` tells where a VM is, as far as that is known.
template <typename Replica, typename DataCentreOf>
[[nodiscard]] std::vector<VoterCandidate> voterCandidates(
    const VmId& self, const Replica& replica, std::span<const VmId> learners, DataCentreOf&& dataCentreOf, Instant now)
{
    std::vector<VoterCandidate> candidates;
    const auto add = [&](const VmId& vm, bool votes) {
        if (vm == self)
            candidates.push_back({ vm, dataCentreOf(vm), votes, true, now });
        else
            candidates.push_back(
                { vm, dataCentreOf(vm), votes, replica.holdsCommitted(vm), replica.lastReceivedAt(vm) });
    };
    for (const auto& it : replica.voters())
        add(it, true);
    for (const auto& it : learners)
        add(it, false);
    return candidates;
}

/// Voters that have answered the leader recently, itself included.
[[nodiscard]] std::size_t workingVoters(
    std::span<const VoterCandidate> candidates, const VoterSettings& settings, Instant now);

} // namespace rosemarymill::fleet
