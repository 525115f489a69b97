#pragma once

#include <rosemarymill/core/agreement/progress.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <algorithm>
#include <map>
#include <tuple>
#include <vector>

/// Hand-over of the lead to a voter that the leader chooses, without an election timeout.
namespace rosemarymill::agreement::detail {

/// How long the disk takes for a record, by the last two. One late record does not make a disk slow.
class SyncTimes {
public:
    void add(Duration time) noexcept
    {
        m_previous = m_last;
        m_last = time;
    }
    /// Both of the last records took this long or longer.
    [[nodiscard]] Duration sustained() const noexcept { return std::min(m_previous, m_last); }
    [[nodiscard]] Duration worst() const noexcept { return std::max(m_previous, m_last); }

private:
    Duration m_previous {};
    Duration m_last {};
};

/// Lead that is being handed over. Meanwhile the leader takes no changes.
struct HandOverState {
    VmId target;
    /// The leader goes on when the target does not lead until then.
    Instant until;
    /// Changes that were taken are applied, and so answered, before the target is asked.
    bool finishesChanges { false };
    Instant askAt;
};

/// A disk is slow when a record takes this part of the shortest election timeout. A change waits for several records:
/// the one that is being written, its own and the mark that it is committed.
constexpr int slowDiskDivisor = 10;

/// The target's disk must be faster by this factor, so that slow disks do not pass the lead to and fro.
constexpr int fasterDiskFactor = 2;

/// Voter that holds most of the log, and of these the one with the fastest disk, among those that have answered since
/// an instant and whose disks take no longer than `disk`. Null when there is none.
inline const VmId* successor(const std::vector<VmId>& voters, const VmId& self, const std::map<VmId, Peer>& peers,
    Instant receivedAfter, Duration disk)
{
    const VmId* best = nullptr;
    const Peer* bestPeer = nullptr;
    for (const auto& it : voters) {
        const auto found = peers.find(it);
        if (it == self || found == peers.end())
            continue;
        const auto& peer = found->second;
        if (peer.lastReceivedAt <= receivedAfter || peer.syncTime > disk)
            continue;
        if (!best || std::tie(peer.match, bestPeer->syncTime) > std::tie(bestPeer->match, peer.syncTime)) {
            best = &it;
            bestPeer = &peer;
        }
    }
    return best;
}

} // namespace rosemarymill::agreement::detail
