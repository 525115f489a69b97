#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <cstddef>
#include <optional>
#include <set>

/// Graceful shutdown of a process, and data centres and VMs taken out of service.
namespace rosemarymill::lifecycle {

/// Time after the shutdown request in which new calls are still accepted, because the balancer needs it to detect that
/// the process is not ready. The usual probe interval of a balancer is one second.
inline constexpr Duration balancerGrace = 2s;

/// Data centres and VMs that operators have taken out of service.
struct OutOfServiceSet {
    std::set<DataCentreId> dataCentres;
    std::set<VmId> vms;

    friend bool operator==(const OutOfServiceSet&, const OutOfServiceSet&) = default;
};

/// Whether work may be dispatched to a server on this VM.
[[nodiscard]] bool inService(const OutOfServiceSet& outOfService, const DataCentreId& dataCentre, const VmId& vm);

/// Progress of a graceful shutdown.
struct Shutdown {
    /// Absent while the process runs normally.
    std::optional<Instant> requestedAt;
    bool exited { false };
};

/// Starts a shutdown. A second request changes nothing.
void requestShutdown(Shutdown& shutdown, Instant now);

/// Whether a new call is accepted.
[[nodiscard]] bool acceptsCalls(const Shutdown& shutdown, Instant now) noexcept;

/// Returns true once, when balancerGrace has ended and no call is active, and marks the process as exited.
[[nodiscard]] bool tryExit(Shutdown& shutdown, Instant now, std::size_t activeCalls) noexcept;

} // namespace rosemarymill::lifecycle
