#include <rosemarymill/core/lifecycle/lifecycle.hpp>

namespace rosemarymill::lifecycle {

bool inService(const OutOfServiceSet& outOfService, const DataCentreId& dataCentre, const VmId& vm)
{
    return !outOfService.dataCentres.contains(dataCentre) && !outOfService.vms.contains(vm);
}

void requestShutdown(Shutdown& shutdown, Instant now)
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
