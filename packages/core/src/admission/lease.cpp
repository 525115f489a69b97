#include <rosemarymill/core/admission/lease.hpp>

#include <algorithm>

namespace rosemarymill::admission {

bool canStart(const Lease& lease, std::uint64_t tokens, bool alone, Instant now) noexcept
{
    if (now >= lease.validUntil || now < lease.blockedUntil || lease.inUse >= lease.slots || lease.exclusive != alone)
        return false;
    return lease.tokensInUse + tokens <= lease.tokens;
}

void acquireSlot(Lease& lease, const AccountId& account, std::uint64_t tokens)
{
    ++lease.inUse;
    lease.tokensInUse += tokens;
    auto& use = lease.use[account];
    ++use.calls;
    use.tokens += tokens;
}

void releaseSlot(Lease& lease, const AccountId& account, std::uint64_t tokens)
{
    --lease.inUse;
    lease.tokensInUse -= tokens;
    const auto it = lease.use.find(account);
    it->second.tokens -= tokens;
    if (--it->second.calls == 0)
        lease.use.erase(it);
}

void apply(Lease& lease, const Grant& grant)
{
    if (grant.notHome) {
        lease.slots = 0;
        return;
    }
    // A home that lost its state restarts its sequence at one, so an answer to a newer report is applied regardless of
    // its sequence.
    const bool newer = grant.sequence > lease.seenGrant
        || (grant.sequence == lease.seenGrant && grant.reportSentAt >= lease.grantReportAt)
        || grant.reportSentAt > lease.grantReportAt;
    if (!newer || grant.reportSentAt < lease.ignoreGrantsBefore)
        return;
    lease.reportDue = lease.reportDue || grant.slots < lease.slots || grant.tokens < lease.tokens;
    lease.grantReportAt = std::max(lease.grantReportAt, grant.reportSentAt);
    lease.validUntil = std::max(lease.validUntil, grant.reportSentAt + leaseTerm);
    lease.seenGrant = grant.sequence;
    lease.slots = grant.slots;
    lease.tokens = grant.tokens;
    lease.free = grant.free;
    lease.exclusive = grant.exclusive;
}

void setHome(Lease& lease, const VmId& home, const BootId& bootId, Instant now)
{
    if (!lease.bootId.empty() && lease.bootId != bootId)
        revoke(lease, now);
    lease.bootId = bootId;
    if (lease.home == home)
        return;
    lease.home = home;
    lease.seenGrant = 0;
    lease.grantReportAt = now;
    lease.lastReport = {};
}

void revoke(Lease& lease, Instant now) noexcept
{
    lease.slots = 0;
    lease.tokens = 0;
    lease.exclusive = false;
    lease.reportDue = true;
    lease.ignoreGrantsBefore = now;
}

bool releaseUnused(Lease& lease, Instant now) noexcept
{
    if (lease.slots <= lease.inUse)
        return false;
    lease.slots = lease.inUse;
    lease.ignoreGrantsBefore = now;
    lease.tokens = std::min(lease.tokens, lease.tokensInUse);
    return true;
}

bool reportDue(const Lease& lease, Instant now) noexcept
{
    const auto age = now - lease.lastReport;
    if (lease.reportDue)
        return true;
    if ((!lease.waiting.empty() || lease.wantsExclusive) && age >= messageInterval)
        return true;
    return lease.inUse > 0 && age >= renewInterval;
}

LeaseReport report(Lease& lease, const ServerId& server, Instant now)
{
    LeaseReport it;
    it.server = server;
    it.sentAt = now;
    it.seenGrant = lease.seenGrant;
    it.inUse = lease.inUse;
    it.tokensInUse = lease.tokensInUse;
    it.exclusive = lease.wantsExclusive;
    it.completed = lease.completed;
    it.started = lease.started;
    if (lease.started > 0)
        it.firstResponse = lease.responseTime / lease.started;
    std::map<AccountId, AccountDemand> demand;
    for (const auto& [pool, entries] : lease.waiting) {
        for (const auto& waiting : entries) {
            auto& entry = demand[waiting.account];
            entry.account = waiting.account;
            entry.waiting += waiting.waiting;
            entry.tokensPerCall = std::max(entry.tokensPerCall, waiting.tokensPerCall);
        }
    }
    for (const auto& [account, use] : lease.use) {
        auto& entry = demand[account];
        entry.account = account;
        entry.inUse = use.calls;
        if (entry.waiting == 0)
            entry.tokensPerCall = use.tokens / use.calls;
    }
    for (auto& [account, entry] : demand)
        it.demand.push_back(entry);
    lease.completed = 0;
    lease.started = 0;
    lease.responseTime = Duration::zero();
    lease.lastReport = now;
    lease.reportDue = false;
    return it;
}

} // namespace rosemarymill::admission
