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

/// Selection of the control VMs that vote in the control log.
namespace rosemarymill::fleet {

/// Control VM from the leader's view.
struct VoterCandidate {
    VmId vm;
    /// Empty when unknown.
    DataCentreId dataCentre;
    bool votes { false };
    /// It holds all committed entries.
    bool caughtUp { false };
    /// When it last answered the leader.
    Instant lastReceivedAt;
};

/// Limits of the selection.
struct VoterSettings {
    /// Number of voters: 2 n + 1 to tolerate n simultaneous losses.
    std::size_t wanted { 3 };
    /// A voter that has not answered the leader for this long is replaced if another VM can take its place.
    Duration replaceAfter { 1s };
    /// A VM counts as working if it has answered the leader within this time.
    Duration working { 1s };
    /// Time between two reviews of the voters.
    Duration reviewInterval { 100ms };
};

/// Shortest time between losses within which an election and a change of the voters can complete.
constexpr Duration minCatchUpTime { 1s };

/// Settings for tolerating `losses` simultaneous losses. A VM that has recovered, or a replacement that has started,
/// has to vote within `catchUpTime`, since the next VM may be lost after that. Half of that time is reserved for the
/// election of a new leader.
[[nodiscard]] constexpr VoterSettings voterSettings(std::size_t losses, Duration catchUpTime) noexcept
{
    return { 2 * losses + 1, std::max(catchUpTime, minCatchUpTime) / 4, 1s, 100ms };
}

/// Outcome of a review of the voters.
enum class VoterDecision : std::uint8_t { Keep, Deferred, Add, Remove };

/// Outcome of one review with its subject and reason.
struct VoterReview {
    VoterDecision decision { VoterDecision::Keep };
    /// VM that is added or removed, or that stays a voter although it does not answer; empty if there is none.
    VmId subject;
    /// Reason for the log. A constant text, so that an unchanged decision can be recognised.
    std::string_view reason;
    /// Voters after the change; empty if the review makes no change.
    std::vector<VmId> voters;

    friend bool operator==(const VoterReview&, const VoterReview&) = default;
};

/// Decides on the next change of the voters, by one VM at a time. If another VM can take the place of a voter that does
/// not answer, that voter is removed before the other VM is added: the remaining voters can then still elect a leader
/// after one of them has lost its disk. VMs in data centres with few voters are added first. `self` is never removed.
/// No change is made while an earlier change of the voters is uncommitted (`changing`).
[[nodiscard]] VoterReview reviewVoters(const VmId& self, std::span<const VoterCandidate> candidates, bool changing,
    const VoterSettings& settings, Instant now);

/// Initial voters for bootstrapping the log: `self` and others of `vms`, up to `wanted` in total, from as many
/// data centres as possible.
[[nodiscard]] std::vector<VmId> bootstrapVoters(
    const VmId& self, const std::map<VmId, DataCentreId>& vms, std::size_t wanted);

/// Voters and learners from the view of the leader `self`. `dataCentreOf` returns a VM's data centre, or an empty id if
/// it is unknown.
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

/// Number of voters that have answered the leader within `VoterSettings::working`, including the leader itself.
[[nodiscard]] std::size_t workingVoters(
    std::span<const VoterCandidate> candidates, const VoterSettings& settings, Instant now);

} // namespace rosemarymill::fleet
