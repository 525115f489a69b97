#include <rosemarymill/core/lifecycle/lifecycle.hpp>

namespace rosemarymill::lifecycle {

bool inService(const OutOfServiceSet& out, const DataCentreId& dataCentre, const VmId& vm)
{
    return !out.dataCentres.contains(dataCentre) && !out.vms.contains(vm);
}

void request(Shutdown& shutdown, Instant now)
{
    if (!shutdown.requestedAt)
        shutdown.requestedAt = now;
}

bool acceptsCalls(const Shutdown& shutdown, Instant now) noexcept
{
    return !shutdown.requestedAt || now - *shutdown.requestedAt < balancerGrace;
}

bool tryExit(Shutdown& shutdown, Instant now, std::size_t activeCalls) noexcept
{
    if (!shutdown.requestedAt || shutdown.exited || activeCalls > 0 || acceptsCalls(shutdown, now))
        return false;
    shutdown.exited = true;
    return true;
}

} // namespace rosemarymill::lifecycle
