#include <rosemarymill/core/admission/division.hpp>
#include <rosemarymill/core/admission/home.hpp>
#include <rosemarymill/core/backend/registry.hpp>

#include <algorithm>
#include <utility>

namespace rosemarymill::admission {

namespace {

/// Time without an announcement after which a server is removed.
constexpr Duration serverExpiry = 2 * takeoverWait;

/// Gap between announcements from which on the server may have had another home in between: it switches after two
/// unanswered announcements. The 100 ms less than two full intervals allow for the delay of the earlier announcement.
constexpr Duration absenceGap = 2 * backend::announcementInterval - 100ms;

struct Amount {
    std::uint64_t slots { 0 };
    std::uint64_t tokens { 0 };
};

std::uint64_t saturatingSubtract(std::uint64_t a, std::uint64_t b) noexcept { return a > b ? a - b : 0; }

Amount inUse(const ServerSlots& slots) noexcept
{
    Amount sum;
    for (const auto& [vm, lease] : slots.leases) {
        sum.slots += lease.inUse;
        sum.tokens += lease.tokensInUse;
    }
    return sum;
}

Amount counted(const ServerSlots& slots) noexcept
{
    Amount sum;
    for (const auto& [vm, lease] : slots.leases) {
        sum.slots += lease.countedSlots;
        sum.tokens += lease.countedTokens;
    }
    return sum;
}

void sampleUse(ServerSlots& slots, Instant now)
{
    constexpr Duration historyLength = maxReportAge + 2 * backend::announcementInterval;
    const auto used = inUse(slots);
    while (!slots.history.empty() && now - slots.history.front().at > historyLength)
        slots.history.pop_front();
    slots.history.push_back({ now, static_cast<std::uint32_t>(used.slots), used.tokens });
}

/// Minimum use by active leases since the earliest time that a load announced at `reportedAt` can date from.
Amount minUse(const ServerSlots& slots, Instant reportedAt) noexcept
{
    auto least = inUse(slots);
    for (const auto& it : slots.history) {
        if (it.at >= reportedAt - maxReportAge) {
            least.slots = std::min<std::uint64_t>(least.slots, it.slots);
            least.tokens = std::min(least.tokens, it.tokens);
        }
    }
    return least;
}

/// Lowers the bounds on orphaned requests by the pending announced load, once all entry VMs have reported their use at
/// its time.
void lowerOrphanBounds(ServerSlots& slots, Instant now)
{
    if (!slots.pendingReportAt || now - *slots.pendingReportAt < useReportDelay)
        return;
    const auto leased = minUse(slots, *slots.pendingReportAt);
    const auto running = std::uint64_t { slots.reported.running } + slots.reported.queued;
    slots.orphanRequests = std::min(slots.orphanRequests, saturatingSubtract(running, leased.slots));
    slots.orphanTokens = slots.orphanRequests == 0
        ? 0
        : std::min(slots.orphanTokens, saturatingSubtract(slots.reported.tokensHeld, leased.tokens));
    slots.pendingReportAt.reset();
}

/// Requests and tokens that are not covered by an active lease.
Amount unaccounted(const ServerSlots& slots, Instant now) noexcept
{
    Amount sum { slots.orphanRequests, slots.orphanTokens };
    for (const auto& it : slots.expired) {
        if (now < it.at) {
            sum.slots += it.slots;
            sum.tokens += it.tokens;
        }
    }
    return sum;
}

Amount available(const ServerSlots& slots, Instant now) noexcept
{
    const auto other = unaccounted(slots, now);
    return { saturatingSubtract(slots.limit.value(), other.slots),
        saturatingSubtract(slots.tokenMemory, other.tokens) };
}

/// Slots granted at present, without slots of unconfirmed reductions.
std::uint64_t granted(const ServerSlots& slots) noexcept
{
    std::uint64_t sum = 0;
    for (const auto& [vm, lease] : slots.leases)
        sum += lease.slots;
    return sum;
}

/// Sets the slots and tokens that an entry VM may use. A reduction takes effect in the counted slots only after the
/// entry VM has confirmed it.
void setLease(HomeLease& lease, std::uint32_t granted, std::uint64_t tokens, bool exclusive)
{
    if (lease.slots == granted && lease.tokens == tokens && lease.exclusive == exclusive)
        return;
    lease.slots = granted;
    lease.tokens = tokens;
    lease.exclusive = exclusive;
    lease.countedSlots = std::max(lease.countedSlots, granted);
    lease.countedTokens = std::max(lease.countedTokens, tokens);
    ++lease.sequence;
    lease.changed = true;
}

std::uint64_t tokensPerWaitingCall(const HomeLease& lease) noexcept
{
    std::uint64_t largest = 0;
    for (const auto& it : lease.demand) {
        if (it.waiting > 0)
            largest = std::max(largest, it.tokensPerCall);
    }
    return largest;
}

/// Entry VM that gets exclusive use of the server for one suspected request, or null if none requests it. The current
/// holder has precedence.
const VmId* exclusiveClaimant(const ServerSlots& slots)
{
    const VmId* first = nullptr;
    for (const auto& [vm, lease] : slots.leases) {
        if (!lease.wantsExclusive)
            continue;
        if (lease.exclusive)
            return &vm;
        if (!first)
            first = &vm;
    }
    return first;
}

void divideExclusively(ServerSlots& slots, const VmId& claimant, Instant now)
{
    bool empty = unaccounted(slots, now).slots == 0;
    for (auto& [vm, lease] : slots.leases) {
        if (vm == claimant)
            continue;
        setLease(lease, 0, 0, false);
        empty = empty && lease.countedSlots == 0;
    }
    auto& lease = slots.leases.at(claimant);
    if (lease.exclusive)
        return;
    if (empty && lease.countedSlots == 0 && hasAuthority(slots, now))
        setLease(lease, 1, slots.tokenMemory, true);
    else
        setLease(lease, 0, 0, false);
}

/// Missing slots that have to be reclaimed from other entry VMs. A lease that has slots and lacks only one is not
/// counted: moving that slot would cost a report and a grant each time a call of a small account starts or ends.
std::uint64_t missingSlots(const ServerSlots& slots, const std::map<VmId, Share>& shares)
{
    std::uint64_t missing = 0;
    for (const auto& [vm, lease] : slots.leases) {
        const auto lacking = saturatingSubtract(shares.at(vm).slots, lease.slots);
        if (lacking > 1 || lease.slots == 0)
            missing += lacking;
    }
    return missing;
}

/// Reclaims slots one by one, each from the lease that exceeds its share most.
void reclaimSlots(ServerSlots& slots, const std::map<VmId, Share>& shares, std::uint64_t needed)
{
    while (needed > 0) {
        HomeLease* most = nullptr;
        std::uint64_t excess = 0;
        for (auto& [vm, lease] : slots.leases) {
            const auto above = saturatingSubtract(lease.slots, shares.at(vm).slots);
            if (above > excess) {
                most = &lease;
                excess = above;
            }
        }
        if (!most)
            return;
        setLease(*most, most->slots - 1, most->tokens, false);
        --needed;
    }
}

bool lacksTokens(const HomeLease& lease) noexcept
{
    const auto perCall = tokensPerWaitingCall(lease);
    return perCall > 0 && lease.tokens < lease.tokensInUse + perCall;
}

void reduceLeases(ServerSlots& slots, const std::map<VmId, Share>& shares)
{
    for (auto& [vm, lease] : slots.leases) {
        const auto target = shares.at(vm).slots;
        const auto unused = saturatingSubtract(target, lease.inUse);
        const auto tokens = lease.tokensInUse + unused * tokensPerWaitingCall(lease);
        setLease(lease, std::min(lease.slots, target), std::min(lease.tokens, tokens), false);
    }
}

void increaseLeases(ServerSlots& slots, const std::map<VmId, Share>& shares, const Amount& limit)
{
    for (auto& [vm, lease] : slots.leases) {
        const auto total = counted(slots);
        // A grant up to the counted slots only restores what is still reserved for the lease. While more is counted
        // than the limit allows, slots that become free are not granted again.
        const auto restorable = total.slots <= limit.slots ? saturatingSubtract(lease.countedSlots, lease.slots) : 0;
        const auto restorableTokens
            = total.tokens <= limit.tokens ? saturatingSubtract(lease.countedTokens, lease.tokens) : 0;
        const auto room = saturatingSubtract(limit.slots, total.slots) + restorable;
        const auto tokenRoom = saturatingSubtract(limit.tokens, total.tokens) + restorableTokens;
        const auto perCall = tokensPerWaitingCall(lease);
        // Other leases may exceed their shares for a while, so the sum of grants is bounded as well.
        const auto unclaimed = saturatingSubtract(limit.slots, granted(slots));
        auto more = std::min({ saturatingSubtract(shares.at(vm).slots, lease.slots), room, unclaimed });
        const auto spare = saturatingSubtract(lease.tokens, lease.tokensInUse);
        if (perCall > 0)
            more = std::min(more, (spare + tokenRoom) / perCall);
        const auto granted = static_cast<std::uint32_t>(lease.slots + more);
        const auto wanted = lease.tokensInUse + saturatingSubtract(granted, lease.inUse) * perCall;
        const auto tokens = lease.tokens + std::min(saturatingSubtract(wanted, lease.tokens), tokenRoom);
        setLease(lease, granted, tokens, false);
    }
}

void divideSlots(ServerSlots& slots, const ServerId& server, Instant now, const WeightOf& weightOf)
{
    if (slots.leaving) {
        for (auto& [vm, lease] : slots.leases)
            setLease(lease, 0, 0, false);
        return;
    }
    if (const auto* claimant = exclusiveClaimant(slots)) {
        divideExclusively(slots, *claimant, now);
        return;
    }
    DemandTable demand;
    for (const auto& [vm, lease] : slots.leases)
        demand[vm] = lease.demand;
    const auto limit = available(slots, now);
    const auto shares = divide(demand, static_cast<std::uint32_t>(limit.slots), limit.tokens, weightOf, server.text());
    const auto total = counted(slots);
    // An entry VM keeps its unused slots until another one needs them, so that its next call starts at once.
    const bool tokensShort = slots.tokenMemory < unlimitedTokens
        && std::any_of(slots.leases.begin(), slots.leases.end(), [](const auto& it) { return lacksTokens(it.second); });
    // Reusing a slot while others drain would keep the server above a limit that has just shrunk.
    if (total.slots > limit.slots) {
        for (auto& [vm, lease] : slots.leases)
            setLease(lease, 0, std::min(lease.tokens, lease.tokensInUse), false);
        return;
    }
    const auto room = saturatingSubtract(limit.slots, total.slots);
    const bool anyExclusive
        = std::any_of(slots.leases.begin(), slots.leases.end(), [](const auto& it) { return it.second.exclusive; });
    if (anyExclusive || tokensShort || total.tokens > limit.tokens)
        reduceLeases(slots, shares);
    else
        reclaimSlots(slots, shares,
            std::max(saturatingSubtract(missingSlots(slots, shares), room),
                saturatingSubtract(granted(slots), limit.slots)));
    if (hasAuthority(slots, now))
        increaseLeases(slots, shares, limit);
}

void expireLeases(ServerSlots& slots, Instant now)
{
    std::erase_if(slots.expired, [&](const auto& it) {
        if (now < it.at)
            return false;
        slots.orphanRequests += it.slots;
        slots.orphanTokens += it.tokens;
        slots.pendingReportAt.reset();
        return true;
    });
    std::erase_if(slots.leases, [&](const auto& entry) {
        const auto& lease = entry.second;
        if (now < lease.expiresAt)
            return false;
        if (lease.countedSlots > 0)
            slots.expired.push_back({ lease.expiresAt + maxReportAge, lease.countedSlots, lease.countedTokens });
        return true;
    });
}

void startServer(ServerSlots& slots, const backend::Announcement& it)
{
    slots.bootId = it.bootId;
    slots.limit.start(it.coldRequests, it.maxRequests, it.cold ? 0 : it.load.running);
    slots.expired.clear();
    slots.history.clear();
    slots.orphanRequests = 0;
    slots.orphanTokens = 0;
    slots.pendingReportAt.reset();
}

/// Starts the takeover wait of a new home. The requests under the predecessor's leases are unknown, hence unbounded,
/// until announced loads include them.
void startTakeover(ServerSlots& slots, Instant now) noexcept
{
    slots.authorityFrom = now + takeoverWait;
    slots.orphanBoundsFrom = slots.authorityFrom - orphanBoundsLead;
    slots.orphanRequests = unlimitedTokens;
    slots.orphanTokens = unlimitedTokens;
    slots.pendingReportAt.reset();
}

/// Latest time at which an announcement received now proves that the server had this home. An announcement that arrives
/// after a gap, or in a burst with others, may have waited in the socket of a paused process while the server moved to
/// another home. Only one that arrives at the regular interval is certainly recent.
Instant provenTime(const ServerSlots& slots, Instant now) noexcept
{
    constexpr Duration shortest = backend::announcementInterval / 2;
    constexpr Duration longest = backend::announcementInterval * 3 / 2;
    const auto gap = now - slots.lastReceived;
    if (gap > longest)
        return slots.lastReceived + backend::announcementInterval;
    return gap < shortest ? slots.lastAnnounced : now;
}

} // namespace

bool hasAuthority(const ServerSlots& slots, Instant now) noexcept
{
    return now >= slots.authorityFrom && now - slots.lastAnnounced < authorityTerm && !slots.leaving;
}

std::uint32_t freeSlots(const ServerSlots& slots, Instant now) noexcept
{
    return static_cast<std::uint32_t>(saturatingSubtract(available(slots, now).slots, counted(slots).slots));
}

void handleAnnouncement(Home& home, const backend::Announcement& announcement, Instant now, bool alone)
{
    const auto [it, added] = home.servers.try_emplace(announcement.id);
    auto& slots = it->second;
    const bool newBoot = !added && slots.bootId != announcement.bootId;
    const bool returned = !added && now - slots.lastReceived >= absenceGap;
    if (added || newBoot)
        startServer(slots, announcement);
    else if (announcement.cold && !slots.cold)
        slots.limit.shrink();
    if (newBoot) {
        slots.authorityFrom = now;
    } else if (alone && (added || returned)) {
        slots.authorityFrom = now;
        slots.orphanRequests = added ? announcement.load.running : slots.orphanRequests;
        slots.orphanTokens = added ? announcement.load.tokensHeld : slots.orphanTokens;
    } else if (added || returned) {
        startTakeover(slots, now);
    }
    lowerOrphanBounds(slots, now);
    slots.lastAnnounced = added || newBoot || returned ? now : std::max(slots.lastAnnounced, provenTime(slots, now));
    slots.lastReceived = now;
    slots.cold = announcement.cold;
    slots.limit.setBounds(announcement.coldRequests, announcement.maxRequests);
    slots.tokenMemory = announcement.tokenMemory == 0 ? unlimitedTokens : announcement.tokenMemory;
    slots.leaving = announcement.leaving;
    sampleUse(slots, now);
    if (slots.pendingReportAt)
        return;
    slots.reported = announcement.load;
    if (now >= slots.orphanBoundsFrom)
        slots.pendingReportAt = now;
}

bool handleReport(Home& home, const VmId& from, const LeaseReport& report, Instant now, const WeightOf& weightOf)
{
    const auto it = home.servers.find(report.server);
    if (it == home.servers.end() || now - it->second.lastReceived >= authorityTerm)
        return false;
    auto& slots = it->second;
    expireLeases(slots, now);
    auto& lease = slots.leases[from];
    if (report.sentAt < lease.reportSentAt)
        return true;
    lease.expiresAt = now + leaseTerm;
    lease.reportSentAt = report.sentAt;
    lease.inUse = report.inUse;
    lease.tokensInUse = report.tokensInUse;
    lease.wantsExclusive = report.exclusive;
    lease.demand = report.demand;
    if (report.seenGrant >= lease.sequence) {
        lease.sequence = report.seenGrant;
        lease.countedSlots = lease.slots;
        lease.countedTokens = lease.tokens;
    }
    lease.countedSlots = std::max(lease.countedSlots, report.inUse);
    lease.countedTokens = std::max(lease.countedTokens, report.tokensInUse);
    lease.changed = true;
    slots.limit.observe(report.started, report.firstResponse, report.completed);
    sampleUse(slots, now);
    divideSlots(slots, report.server, now, weightOf);
    return true;
}

bool handleReturn(Home& home, const VmId& from, const LeaseReport& report, Instant now, const WeightOf& weightOf)
{
    const auto it = home.servers.find(report.server);
    if (it != home.servers.end()) {
        const auto lease = it->second.leases.find(from);
        // A grant that the entry VM had not applied when it returned its slots stays valid.
        if (lease != it->second.leases.end() && report.seenGrant >= lease->second.sequence) {
            lease->second.slots = std::min(lease->second.slots, report.inUse);
            lease->second.tokens = std::min(lease->second.tokens, report.tokensInUse);
        }
    }
    return handleReport(home, from, report, now, weightOf);
}

void advance(Home& home, Instant now, const WeightOf& weightOf)
{
    for (auto& [id, slots] : home.servers) {
        expireLeases(slots, now);
        sampleUse(slots, now);
        divideSlots(slots, id, now, weightOf);
    }
    std::erase_if(home.servers, [&](const auto& entry) { return now - entry.second.lastReceived > serverExpiry; });
}

Grant issueGrant(ServerSlots& slots, const ServerId& server, const VmId& to, Instant now)
{
    auto& lease = slots.leases.at(to);
    lease.changed = false;
    return { server, lease.reportSentAt, lease.sequence, lease.slots, lease.tokens, freeSlots(slots, now),
        lease.exclusive, false };
}

void installLeases(
    Home& home, const ServerId& server, const std::map<VmId, HomeLease>& leases, const ServerLimit& limit, Instant now)
{
    const auto it = home.servers.find(server);
    if (it == home.servers.end())
        return;
    for (auto [vm, lease] : leases) {
        lease.expiresAt = now + leaseTerm;
        lease.countedSlots = std::max(lease.countedSlots, lease.slots);
        it->second.leases.insert_or_assign(vm, lease);
    }
    it->second.limit = limit;
    it->second.authorityFrom = now;
    it->second.orphanRequests = 0;
    it->second.orphanTokens = 0;
}

} // namespace rosemarymill::admission
