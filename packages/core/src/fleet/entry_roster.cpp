#include <rosemarymill/core/fleet/entry_roster.hpp>

namespace rosemarymill::fleet {

void EntryRoster::heard(const VmId& vm, Instant now) { m_heardAt[vm] = now; }

void EntryRoster::setLeads(bool leads, Instant now)
{
    if (!leads)
        m_leadsSince.reset();
    else if (!m_leadsSince)
        m_leadsSince = now;
}

void EntryRoster::expire(Instant now)
{
    std::erase_if(m_heardAt, [&](const auto& it) { return now >= it.second + memory; });
}

std::vector<std::string> EntryRoster::known(Instant now) const
{
    std::vector<std::string> vms;
    if (!m_leadsSince || now < *m_leadsSince + settleTime)
        return vms;
    vms.reserve(m_heardAt.size());
    for (const auto& [vm, heardAt] : m_heardAt)
        vms.push_back(vm.text());
    return vms;
}

} // namespace rosemarymill::fleet
