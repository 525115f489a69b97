#pragma once

#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/core/configuration/message.hpp>

#include <set>

namespace rosemarymill::configuration {

/// Decides after a start when the process's revision is recent enough to serve callers. A process that has become ready
/// stays ready.
class Readiness {
public:
    /// Time after the start from which the revision of a single ready peer suffices.
    static constexpr Duration singlePeerDelay = 10s;

    Readiness(Instant startedAt, std::size_t dataCentrePeers) noexcept
        : m_startedAt(startedAt)
        , m_peerCount(dataCentrePeers)
    {
    }

    /// The process has restored the state up to the last persisted commit index from its own disk.
    void recoveredFromDisk() noexcept { m_ready = true; }

    /// A peer reported its revision, and this process now holds that revision or a higher one.
    void peerReported(const VmId& from, bool sameDataCentre, SenderReadiness readiness);

    /// Applies the rules that depend on time.
    void tick(Instant now);

    [[nodiscard]] bool ready() const noexcept { return m_ready; }

    /// Whether the process became ready although no majority of its peers had confirmed the revision.
    [[nodiscard]] bool unconfirmed() const noexcept { return m_unconfirmed; }

private:
    Instant m_startedAt;
    std::size_t m_peerCount { 0 };
    std::set<VmId> m_readyPeers;
    bool m_ready { false };
    bool m_unconfirmed { false };
};

} // namespace rosemarymill::configuration
