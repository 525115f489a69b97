#include <rosemarymill/core/configuration/readiness.hpp>

namespace rosemarymill::configuration {

void Readiness::peerReported(const VmId& from, bool sameDataCentre, SenderReadiness standing)
{
    if (standing == SenderReadiness::Quorum) {
        m_ready = true;
        m_unconfirmed = false;
    }
    if (!sameDataCentre || standing == SenderReadiness::NotReady)
        return;
    m_readyPeers.insert(from);
    if (m_readyPeers.size() > m_peers / 2) {
        m_ready = true;
        m_unconfirmed = false;
    }
}

void Readiness::tick(Instant now)
{
    if (m_ready || m_readyPeers.empty() || now < m_startedAt + singlePeerDelay)
        return;
    m_ready = true;
    m_unconfirmed = true;
}

} // namespace rosemarymill::configuration
