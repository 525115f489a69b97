#include <rosemarymill/core/fleet/entry_vm_registry.hpp>

namespace rosemarymill::fleet {

void EntryVmRegistry::markSeen(const VmId& vm, Instant now) { m_lastReceivedAt[vm] = now; }

void EntryVmRegistry::setLeads(bool leads, Instant now)
{
    if (!leads)
        m_leadsSince.reset();
    else if (!m_leadsSince)
        m_leadsSince = now;
}

void EntryVmRegistry::expire(Instant now)
{
    std::erase_if(m_lastReceivedAt, [&](const auto& it) { return now >= it.second + retention; });
}

std::vector<std::string> EntryVmRegistry::announcedVms(Instant now) const
{
    std::vector<std::string> vms;
    if (!m_leadsSince || now < *m_leadsSince + leaderDiscoveryTime)
        return vms;
    vms.reserve(m_lastReceivedAt.size());
    for (const auto& [vm, lastReceivedAt] : m_lastReceivedAt)
        vms.push_back(vm.text());
    return vms;
}

} // namespace rosemarymill::fleet
