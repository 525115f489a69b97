#pragma once

#include <rosemarymill/core/admission/home.hpp>
#include <rosemarymill/core/admission/message.hpp>
#include <rosemarymill/core/base/time.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Entry side of leases: what this process may have in use at a server.
namespace rosemarymill::admission {

/// Least time between two messages to the same home: five a second.
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
    /// End of the right to start calls; running calls continue.
    Instant validUntil;
    /// Home that the lease was asked of last.
    VmId home;
    BootId bootId;
    Instant lastReport;
    Instant grantedFor;
    std::uint64_t seenGrant { 0 };
    std::uint32_t slots { 0 };
    std::uint64_t tokens { 0 };
    std::uint32_t inUse { 0 };
    std::uint64_t tokensInUse { 0 };
    /// Slots that the home says nobody holds.
    std::uint32_t free { 0 };
    bool exclusive { false };
    bool wantsExclusive { false };
    /// A reduction was received that the home does not know to be seen yet.
    bool reportDue { false };
    /// Grants for reports before this time are void: the connection to the server broke.
    Instant notBefore;
    /// No call is started before, because the last connection attempt failed.
    Instant blockedUntil;
    std::uint32_t completed { 0 };
    std::uint32_t started { 0 };
    /// Sum over the started answers.
    Duration responseTime { 0 };
    std::map<AccountId, AccountUse> use;
    /// Demand of the calls that wait in each pool that the server belongs to.
    std::map<std::string, std::vector<AccountDemand>> waiting;
};

/// Whether a call with this token need can start now.
[[nodiscard]] bool canStart(const Lease& lease, std::uint64_t tokens, bool alone, Instant now) noexcept;

/// Counts a started call.
void take(Lease& lease, const AccountId& account, std::uint64_t tokens);

/// Counts an ended call.
void release(Lease& lease, const AccountId& account, std::uint64_t tokens);

/// Takes in a grant.
void apply(Lease& lease, const Grant& grant);

/// Turns to another home of the server. The slots of the previous home stay valid until their term ends; none of its
/// later grants is taken in. A changed boot id voids them at once, because the restarted server bears less.
void setHome(Lease& lease, const VmId& home, const BootId& bootId, Instant now);

/// Gives up all slots at once, for example after the connection to the server broke.
void revoke(Lease& lease, Instant now) noexcept;

/// Gives up the slots that are not in use. Grants for earlier reports are void from then on. Returns false when there
/// is none.
bool releaseUnused(Lease& lease, Instant now) noexcept;

/// Whether the home is to be told of the lease: it is in use, was reduced, or calls wait for it.
[[nodiscard]] bool reportDue(const Lease& lease, Instant now) noexcept;

/// Builds the report for the home and resets its counters.
[[nodiscard]] LeaseReport report(Lease& lease, const ServerId& server, Instant now);

} // namespace rosemarymill::admission
