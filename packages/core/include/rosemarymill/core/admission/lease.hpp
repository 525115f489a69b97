#pragma once

#include <rosemarymill/core/admission/home.hpp>
#include <rosemarymill/core/admission/message.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Entry side of leases: slots and tokens that this process may use at a server.
namespace rosemarymill::admission {

/// Minimum time between two messages to the same home: at most five a second.
inline constexpr Duration messageInterval = 200ms;

/// Time after which a lease in use is renewed.
inline constexpr Duration renewInterval = 600ms;

/// Time for which a server that refused a connection gets no calls from this process.
inline constexpr Duration connectFailureBlock = 1s;

/// Use of a server by one account from this process.
struct AccountUse {
    std::uint32_t calls { 0 };
    std::uint64_t tokens { 0 };
};

/// Lease of one server at the entry VM that uses it.
struct Lease {
    /// Time until which calls may be started; running calls continue after it.
    Instant validUntil;
    /// Home that the lease was last requested from.
    VmId home;
    BootId bootId;
    Instant lastReport;
    Instant grantReportAt;
    std::uint64_t seenGrant { 0 };
    std::uint32_t slots { 0 };
    std::uint64_t tokens { 0 };
    std::uint32_t inUse { 0 };
    std::uint64_t tokensInUse { 0 };
    /// Free slots of the server according to its home.
    std::uint32_t free { 0 };
    bool exclusive { false };
    bool wantsExclusive { false };
    /// The home has to be notified that this process applied a reduction or gave up slots.
    bool reportDue { false };
    /// Grants that answer reports from before this time are ignored, because slots were given up at this time.
    Instant ignoreGrantsBefore;
    /// No call is started before this time, because the last connection attempt failed.
    Instant blockedUntil;
    std::uint32_t completed { 0 };
    std::uint32_t started { 0 };
    /// Sum of the times to the start of the answers counted in `started`.
    Duration responseTime { 0 };
    std::map<AccountId, AccountUse> use;
    /// Demand of the waiting calls, by pool that the server belongs to.
    std::map<std::string, std::vector<AccountDemand>> waiting;
};

/// Whether a call that needs `tokens` of token memory can start now. `alone` is set for a call that has to run alone on
/// the server.
[[nodiscard]] bool canStart(const Lease& lease, std::uint64_t tokens, bool alone, Instant now) noexcept;

/// Counts a started call.
void acquireSlot(Lease& lease, const AccountId& account, std::uint64_t tokens);

/// Counts an ended call.
void releaseSlot(Lease& lease, const AccountId& account, std::uint64_t tokens);

/// Applies a grant unless it is older than the last applied one.
void apply(Lease& lease, const Grant& grant);

/// Switches to another home of the server. Slots granted by the previous home stay valid until their term ends; its
/// later grants are ignored. A changed boot id revokes the slots at once: a restarted server sustains less load.
void setHome(Lease& lease, const VmId& home, const BootId& bootId, Instant now);

/// Gives up all slots at once, for example after the connection to the server broke.
void revoke(Lease& lease, Instant now) noexcept;

/// Gives up the slots that are not in use. Grants for earlier reports are ignored from then on. Returns false if all
/// slots are in use.
bool releaseUnused(Lease& lease, Instant now) noexcept;

/// Whether a report to the home is due: the lease is in use and due for renewal, was reduced, or calls wait for it.
[[nodiscard]] bool reportDue(const Lease& lease, Instant now) noexcept;

/// Builds the report for the home and resets its counters.
[[nodiscard]] LeaseReport report(Lease& lease, const ServerId& server, Instant now);

} // namespace rosemarymill::admission
