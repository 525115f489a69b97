#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <cstddef>
#include <optional>
#include <span>
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
    Instant heardAt;
};

/// Bounds of the choice.
struct VoterSettings {
    /// Voters wanted: twice the losses to be borne at once and one more.
    std::size_t wanted { 3 };
    /// A voter that is silent for this long is replaced when another VM can take its place. Restarts, freezes and cuts
    /// that pass are shorter.
    Duration replaceAfter { 7s };
    /// A VM that answered this recently is working.
    Duration working { 1s };
};

/// Voters after the next change by one VM, or nothing when the present ones are to stay. A working VM is added before
/// a silent one is removed; data centres with few voters come first. `self` is never removed.
[[nodiscard]] std::optional<std::vector<VmId>> nextVoters(
    const VmId& self, std::span<const VoterCandidate> candidates, const VoterSettings& settings, Instant now);

} // namespace rosemarymill::fleet
