#include <rosemarymill/core/configuration/readiness.hpp>

namespace rosemarymill::configuration {

void Readiness::heard(const VmId& from, bool sameDataCentre, Standing standing)
{
    if (standing == Standing::Quorum) {
        m_ready = true;
        m_unconfirmed = false;
    }
    if (!sameDataCentre || standing == Standing::NotReady)
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
