#include <rosemarymill/core/configuration/readiness.hpp>

namespace rosemarymill::configuration {

void Readiness::peerReported(const VmId& from, bool sameDataCentre, SenderReadiness readiness)
{
    if (readiness == SenderReadiness::Quorum) {
        m_ready = true;
        m_unconfirmed = false;
    }
    if (!sameDataCentre || readiness == SenderReadiness::NotReady)
        return;
    m_readyPeers.insert(from);
    if (m_readyPeers.size() > m_peerCount / 2) {
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
