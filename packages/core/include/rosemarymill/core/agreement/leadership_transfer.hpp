#pragma once

#include <rosemarymill/core/agreement/progress.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <algorithm>
#include <map>
#include <tuple>
#include <vector>

/// Leadership transfer to a voter that the leader chooses, without waiting for an election timeout.
namespace rosemarymill::agreement::detail {

/// Sync times of the last two records. One late record does not make a disk slow.
class SyncTimes {
public:
    void add(Duration time) noexcept
    {
        m_previous = m_last;
        m_last = time;
    }
    /// Shorter one of the two: both records took at least this long.
    [[nodiscard]] Duration sustained() const noexcept { return std::min(m_previous, m_last); }
    [[nodiscard]] Duration worst() const noexcept { return std::max(m_previous, m_last); }

private:
    Duration m_previous {};
    Duration m_last {};
};

/// Leadership transfer in progress. The leader accepts no commands meanwhile.
struct TransferState {
    VmId target;
    /// The transfer is cancelled when the target has not become leader by then.
    Instant deadline;
    /// Whether the leader applies, and so answers, all accepted commands before it asks the target.
    bool appliesPendingFirst { false };
    Instant nextRequestAt;
};

/// A disk is slow when syncing a record takes the shortest election timeout divided by this, or longer. A command waits
/// for several syncs: of the record that is being written, of its own entry and of the commit index.
constexpr int slowDiskDivisor = 10;

/// The target's disk must be faster by this factor, so that voters with slow disks do not pass leadership back and
/// forth.
constexpr int fasterDiskFactor = 2;

/// Voter that holds most of the log, and of these the one with the fastest disk, among those that have replied after
/// `receivedAfter` and whose sync time is at most `maxSyncTime`. Null when there is none.
inline const VmId* transferTarget(const std::vector<VmId>& voters, const VmId& self, const std::map<VmId, Peer>& peers,
    Instant receivedAfter, Duration maxSyncTime)
{
    const VmId* best = nullptr;
    const Peer* bestPeer = nullptr;
    for (const auto& it : voters) {
        const auto found = peers.find(it);
        if (it == self || found == peers.end())
            continue;
        const auto& peer = found->second;
        if (peer.lastReceivedAt <= receivedAfter || peer.syncTime > maxSyncTime)
            continue;
        if (!best || std::tie(peer.match, bestPeer->syncTime) > std::tie(bestPeer->match, peer.syncTime)) {
            best = &it;
            bestPeer = &peer;
        }
    }
    return best;
}

} // namespace rosemarymill::agreement::detail
