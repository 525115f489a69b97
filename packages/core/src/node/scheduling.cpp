#include "call_handlers.hpp"

#include <rosemarymill/core/base/hash.hpp>
#include <rosemarymill/core/node/load.hpp>

#include <algorithm>

namespace rosemarymill::node {

namespace {

using admission::QueuedCall;

/// Maximum number of calls queued in one pool: in total, and per account. 4096 calls with 1 KB of state each use an
/// eighth of the memory budget of 32 MB.
constexpr std::size_t maxWaiting = 4096;
constexpr std::size_t maxWaitingPerAccount = 1024;
/// Answers of a pool after which its mean times are accurate enough to refuse calls early.
constexpr std::uint64_t minSamplesForRefusal = 8;
constexpr Duration minimumRetryAfter = 1s;
constexpr Duration maximumRetryAfter = 30s;
/// Worth of a call that has run in part: it is first in its account's order, because its caller already reads the
/// answer.
constexpr double resumedWorth = 1e9;

/// Expected time from the dispatch of a call to the start of its answer. The margin over the mean covers the difference
/// between an idle and a fully loaded server.
Duration expectedFirst(const State& state, const std::string& pool)
{
    constexpr double margin = 1.25;
    const auto it = state.policy.times.find(pool);
    return it == state.policy.times.end() ? Duration::zero()
                                          : Duration { static_cast<std::int64_t>(margin * it->second.firstResponse) };
}

/// Whether the answer can still start before the deadline.
bool canMeetDeadline(const State& state, const Call& call, Duration first)
{
    return !call.deadline || call.responseBegun || state.now + first < *call.deadline;
}

bool isSuspect(const State& state, const Call& call)
{
    const auto& records = state.policy.quarantine;
    return !records.records.empty()
        && quarantine::verdictOf(records, call.request.fingerprint) == quarantine::Verdict::Suspect;
}

double estimateCost(const State& state, const Call& call)
{
    if (call.request.target == call::Target::Service)
        return 1.0;
    const auto it = state.policy.times.find(call.pool);
    auto output = static_cast<double>(tokenNeed(call) - call.request.promptTokens);
    if (it != state.policy.times.end() && it->second.samples > 0)
        output = std::min(output, std::max(1.0, it->second.outputTokens));
    return static_cast<double>(call.request.promptTokens) + output;
}

/// Routing candidates for one pass over a pool, in the order of its servers.
std::vector<routing::Candidate> makeCandidates(const State& state, const std::vector<PoolServer>& servers)
{
    std::vector<routing::Candidate> candidates;
    candidates.reserve(servers.size());
    for (const auto& it : servers) {
        routing::Candidate candidate;
        candidate.server = it.server;
        candidate.inFlight = it.lease->inUse;
        candidate.drained = routing::isDrained(state.policy.latency, it.server, state.now);
        candidate.expectedFinish
            = routing::expectedFinish(state.policy.latency, it.server, it.lease->inUse, it.lease->slots);
        candidates.push_back(std::move(candidate));
    }
    return candidates;
}

/// Marks the candidates on which a call can start now. Returns whether there is at least one.
template <admission::AdmissionQueue Order>
bool markFree(const State& state, const Call& call, const QueuedCall& waiting, const std::vector<PoolServer>& servers,
    std::vector<routing::Candidate>& candidates)
{
    bool any = false;
    const bool alone = Order::usesSlotLeases && isSuspect(state, call);
    for (std::size_t i = 0; i < servers.size(); ++i) {
        const auto& lease = *servers[i].lease;
        auto& candidate = candidates[i];
        if constexpr (Order::usesSlotLeases)
            candidate.free = admission::canStart(lease, waiting.tokens, alone, state.now);
        else
            candidate.free = lease.inUse < servers[i].located->entry.limit && state.now >= lease.blockedUntil;
        candidate.inFlight = lease.inUse;
        any = any || candidate.free;
        const auto cache = state.policy.caches.find(servers[i].server);
        candidate.cachedBlocks
            = cache == state.policy.caches.end() ? 0 : routing::cachedBlocks(cache->second, call.request.prefixHashes);
    }
    return any;
}

template <typename Scheduler> bool anySlotFree(const State& state, const std::vector<PoolServer>& servers)
{
    return std::any_of(servers.begin(), servers.end(), [&](const auto& it) {
        if constexpr (Scheduler::Order::usesSlotLeases)
            return it.lease->inUse < it.lease->slots && state.now < it.lease->validUntil;
        else
            return it.lease->inUse < it.located->entry.limit;
    });
}

template <typename Scheduler>
void startCalls(State& state, Scheduler& scheduler, const std::string& key, const std::vector<PoolServer>& servers,
    Effects& effects)
{
    auto& order = scheduler.pools.at(key).order;
    auto candidates = makeCandidates(state, servers);
    const auto first = Scheduler::Order::usesSlotLeases ? expectedFirst(state, key) : Duration::zero();
    while (order.size() > 0 && anySlotFree<Scheduler>(state, servers)) {
        std::optional<std::size_t> choice;
        const auto suits = [&](const QueuedCall& waiting) {
            const auto& call = state.calls.active.at(waiting.call);
            // The next tick refuses a call that misses its deadline; the slot goes to one that can still meet it.
            if (!canMeetDeadline(state, call, first))
                return false;
            if (!markFree<typename Scheduler::Order>(state, call, waiting, servers, candidates))
                return false;
            choice = scheduler.choice.choose({ key, call.request.prefixHashes }, candidates);
            return choice.has_value();
        };
        const auto dequeued = order.take(suits);
        if (!dequeued)
            break;
        auto& call = state.calls.active.at(dequeued->call);
        const auto& server = servers[*choice];
        dispatchCall(state, call, server, server.lease->exclusive, effects);
        candidates[*choice].expectedFinish
            = routing::expectedFinish(state.policy.latency, server.server, server.lease->inUse, server.lease->slots);
    }
}

/// Leases in the order in which this process requests slots: servers with free slots first, then in an order that
/// differs between entry VMs, so that they do not all send their requests to the same home.
std::vector<admission::Lease*> rankServers(const State& state, const std::vector<PoolServer>& servers)
{
    struct Ranked {
        bool free;
        std::uint64_t weight;
        admission::Lease* lease;
    };
    std::vector<Ranked> ranked;
    for (const auto& it : servers) {
        if (!it.lease->wantsExclusive && state.now >= it.lease->blockedUntil)
            ranked.push_back({ it.lease->free > 0 || it.local,
                rendezvousWeight(state.settings.vm.text(), it.server.text()), it.lease });
    }
    std::sort(ranked.begin(), ranked.end(),
        [](const auto& a, const auto& b) { return a.free != b.free ? a.free : a.weight > b.weight; });
    std::vector<admission::Lease*> leases;
    leases.reserve(ranked.size());
    for (const auto& it : ranked)
        leases.push_back(it.lease);
    return leases;
}

/// Requests one exclusive server per suspect request that waits or runs: at most a fifth of the pool, at least one.
void planExclusive(const std::vector<PoolServer>& servers, std::size_t suspects, Instant now)
{
    const auto allowed = std::max<std::size_t>(1, servers.size() / routing::drainedPoolDivisor);
    auto wanted = std::min(suspects, allowed);
    for (const auto& it : servers) {
        auto& lease = *it.lease;
        const bool runs = lease.exclusive && lease.inUse > 0;
        const bool keep = runs || (lease.wantsExclusive && wanted > 0);
        if (lease.wantsExclusive && !keep)
            lease.reportDue = true;
        lease.wantsExclusive = keep;
        if (keep && !runs)
            --wanted;
    }
    while (wanted > 0) {
        admission::Lease* best = nullptr;
        for (const auto& it : servers) {
            if (!it.lease->wantsExclusive && now >= it.lease->blockedUntil && (!best || it.lease->inUse < best->inUse))
                best = it.lease;
        }
        if (!best)
            return;
        best->wantsExclusive = true;
        best->reportDue = true;
        --wanted;
    }
}

/// Distributes the demand of each account over the servers of the pool.
template <typename Order>
void planDemand(State& state, const Order& order, const std::string& key, const std::vector<PoolServer>& servers)
{
    std::map<AccountId, admission::AccountDemand> accounts;
    std::size_t suspects = 0;
    order.forEach([&](const QueuedCall& waiting) {
        if (isSuspect(state, state.calls.active.at(waiting.call))) {
            ++suspects;
            return;
        }
        auto& demand = accounts[waiting.account];
        demand.account = waiting.account;
        ++demand.waiting;
        demand.tokensPerCall = std::max(demand.tokensPerCall, waiting.tokens);
    });
    for (const auto& it : servers)
        it.lease->waiting.erase(key);
    planExclusive(servers, suspects, state.now);
    const auto leases = rankServers(state, servers);
    if (leases.empty())
        return;
    std::size_t offset = 0;
    for (auto& [id, demand] : accounts) {
        const auto base = demand.waiting / static_cast<std::uint32_t>(leases.size());
        const auto extra = demand.waiting % static_cast<std::uint32_t>(leases.size());
        for (std::size_t i = 0; i < leases.size(); ++i) {
            const auto pos = (offset + i) % leases.size();
            const auto part = base + (i < extra ? 1 : 0);
            if (part > 0)
                leases[pos]->waiting[key].push_back({ id, 0, part, demand.tokensPerCall });
        }
        offset += extra;
    }
}

template <typename Scheduler>
void requestSlots(State& state, Scheduler& scheduler, const std::string& key, const std::vector<PoolServer>& servers,
    Effects& effects)
{
    auto& order = scheduler.pools.at(key).order;
    planDemand(state, order, key, servers);
    bool changed = false;
    for (const auto& it : servers) {
        const bool due = it.lease->reportDue || !it.lease->waiting.empty() || it.lease->wantsExclusive;
        if (it.local && due)
            changed = renewLocalLease(state, it.server, *it.lease) || changed;
    }
    if (changed) {
        startCalls(state, scheduler, key, servers, effects);
        planDemand(state, order, key, servers);
    }
    sendReports(state, effects);
}

template <typename Scheduler>
void forwardCalls(
    State& state, Scheduler& scheduler, const std::string& key, bool hasLocalServers, Duration wait, Effects& effects)
{
    auto& order = scheduler.pools.at(key).order;
    auto& remotes = state.policy.remotes;
    if (!routing::updateOverflow(remotes, key, wait, hasLocalServers))
        return;
    const auto& out = state.policy.outOfServiceSet.dataCentres;
    const std::vector<DataCentreId> excluded(out.begin(), out.end());
    while (order.size() > 0) {
        const auto remote = routing::chooseRemote(remotes, key, state.now, excluded);
        if (!remote)
            return;
        const auto dequeued = order.take([&](const QueuedCall& waiting) {
            const auto& call = state.calls.active.at(waiting.call);
            return !call.request.forwarded && !isSuspect(state, call);
        });
        if (!dequeued)
            return;
        forwardCall(state, state.calls.active.at(dequeued->call), *remote, effects);
    }
}

/// Expected time that a call waits for a slot: the number of calls ahead of it, divided by the rate at which the slots
/// in use become free. Zero when a slot is free or the pool has too few samples.
template <typename Order>
Duration expectedWait(
    State& state, const Order& order, const QueuedCall& waiting, const std::vector<PoolServer>& servers)
{
    const auto it = state.policy.times.find(state.calls.active.at(waiting.call).pool);
    if (it == state.policy.times.end() || it->second.samples < minSamplesForRefusal)
        return Duration::zero();
    std::uint32_t inUse = 0;
    for (const auto& server : servers) {
        inUse += server.lease->inUse;
        if (server.lease->inUse < server.lease->slots || server.lease->free > 0)
            return Duration::zero();
    }
    const auto ahead = order.countBefore(waiting);
    if (inUse == 0 || ahead == 0)
        return Duration::zero();
    const auto perSlot = it->second.finish / inUse / order.share(waiting);
    return Duration { static_cast<std::int64_t>(static_cast<double>(ahead) * perSlot) };
}

template <typename Order> Duration oldestWait(const State& state, const Order& order)
{
    Duration longest { 0 };
    order.forEach([&](const QueuedCall& waiting) {
        longest = std::max(longest, state.now - state.calls.active.at(waiting.call).arrivedAt);
    });
    return longest;
}

template <typename Scheduler> void serve(State& state, Scheduler& scheduler, const std::string& key, Effects& effects)
{
    const auto found = scheduler.pools.find(key);
    if (found == scheduler.pools.end())
        return;
    auto& pool = found->second;
    const auto servers = poolServers(state, pool.target);
    if (pool.order.size() > 0)
        startCalls(state, scheduler, key, servers, effects);
    if constexpr (Scheduler::Order::usesSlotLeases) {
        if (pool.order.size() > 0) {
            requestSlots(state, scheduler, key, servers, effects);
        } else {
            for (const auto& it : servers)
                it.lease->waiting.erase(key);
            planExclusive(servers, 0, state.now);
        }
    }
    if (pool.order.size() > 0)
        forwardCalls(state, scheduler, key, !servers.empty(), oldestWait(state, pool.order), effects);
}

QueuedCall makeQueuedCall(const Call& call)
{
    QueuedCall waiting;
    waiting.call = call.id;
    waiting.account = call.account;
    waiting.weight = call.weight;
    waiting.worth = call.mayHaveRun ? resumedWorth : call.worth;
    waiting.cost = call.cost;
    waiting.tokens = tokenNeed(call);
    waiting.deadline = call.deadline;
    waiting.arrival = call.id.value;
    return waiting;
}

call::Refusal deadlineRefusal(Duration retryAfter)
{
    return { call::RefusalReason::DeadlineUnreachable, call::Outcome::NotRun,
        std::clamp(retryAfter, minimumRetryAfter, maximumRetryAfter), "no slot becomes free before the deadline" };
}

template <typename Scheduler>
std::optional<call::Refusal> checkQueueOf(State& state, Scheduler& scheduler, const Call& call)
{
    auto& pool = scheduler.pools[call.pool];
    pool.target = poolTarget(call.request);
    if (pool.order.size() >= maxWaiting || pool.order.backlog(call.account) >= maxWaitingPerAccount)
        return call::Refusal { call::RefusalReason::QueueFull, call::Outcome::NotRun, minimumRetryAfter,
            "too many calls wait" };
    const auto servers = poolServers(state, pool.target);
    const auto tooLarge = [&](const auto& it) {
        const auto memory = it.located->entry.tokenMemory;
        return memory != 0 && memory < tokenNeed(call);
    };
    if (!servers.empty() && std::all_of(servers.begin(), servers.end(), tooLarge))
        return call::Refusal { call::RefusalReason::NoCapacity, call::Outcome::NotRun, {},
            "the request needs more token memory than a server has" };
    if constexpr (Scheduler::Order::usesSlotLeases) {
        if (!call.deadline || servers.empty())
            return std::nullopt;
        const auto wait = expectedWait(state, pool.order, makeQueuedCall(call), servers);
        const auto first = expectedFirst(state, call.pool);
        if (wait > Duration::zero() && state.now + wait + first > *call.deadline)
            return deadlineRefusal(wait);
    }
    return std::nullopt;
}

/// Calls of one pool that can no longer be answered in time.
template <typename Scheduler>
void collectExpired(const State& state, const Scheduler& scheduler, std::vector<CallId>& ids)
{
    for (const auto& [key, pool] : scheduler.pools) {
        const auto first = Scheduler::Order::usesSlotLeases ? expectedFirst(state, key) : Duration::zero();
        pool.order.forEach([&](const QueuedCall& waiting) {
            const auto& call = state.calls.active.at(waiting.call);
            if (!canMeetDeadline(state, call, first))
                ids.push_back(waiting.call);
        });
    }
}

} // namespace

Policy makePolicy(PolicyChoice choice, std::uint64_t seed)
{
    Policy policy;
    if (choice == PolicyChoice::Shipped)
        policy.scheduler.emplace<ShippedScheduler>(ShippedScheduler { {}, routing::PowerOfTwoChoices { seed } });
    else
        policy.scheduler.emplace<BaselineScheduler>();
    return policy;
}

void enqueue(State& state, Call& call)
{
    call.cost = estimateCost(state, call);
    std::visit(
        [&](auto& scheduler) {
            auto& pool = scheduler.pools[call.pool];
            pool.target = poolTarget(call.request);
            pool.order.push(makeQueuedCall(call));
        },
        state.policy.scheduler);
}

bool removeWaiting(State& state, const Call& call)
{
    return std::visit(
        [&](auto& scheduler) {
            const auto it = scheduler.pools.find(call.pool);
            return it != scheduler.pools.end() && it->second.order.erase(call.id);
        },
        state.policy.scheduler);
}

void servePool(State& state, const std::string& key, Effects& effects)
{
    std::visit([&](auto& scheduler) { serve(state, scheduler, key, effects); }, state.policy.scheduler);
}

std::optional<call::Refusal> checkQueue(State& state, const Call& call)
{
    return std::visit([&](auto& scheduler) { return checkQueueOf(state, scheduler, call); }, state.policy.scheduler);
}

void correctCost(State& state, const Call& call, double realCost)
{
    std::visit(
        [&](auto& scheduler) {
            if (const auto it = scheduler.pools.find(call.pool); it != scheduler.pools.end())
                it->second.order.adjustCost(call.account, realCost - call.cost);
        },
        state.policy.scheduler);
}

void startWaitingCalls(State& state, Effects& effects)
{
    std::visit(
        [&](auto& scheduler) {
            for (auto& [key, pool] : scheduler.pools) {
                if (pool.order.size() > 0)
                    serve(state, scheduler, key, effects);
            }
        },
        state.policy.scheduler);
}

void refuseExpiredCalls(State& state, Effects& effects)
{
    std::vector<CallId> ids;
    std::visit([&](const auto& scheduler) { collectExpired(state, scheduler, ids); }, state.policy.scheduler);
    for (const auto id : ids) {
        const auto& call = state.calls.active.at(id);
        auto refusal = deadlineRefusal(minimumRetryAfter);
        if (call.mayHaveRun)
            refusal.outcome = call.idempotent ? call::Outcome::Failed : call::Outcome::Unknown;
        refuseCall(state, id, std::move(refusal), effects);
    }
}

std::size_t waitingCalls(const State& state)
{
    return std::visit(
        [](const auto& scheduler) {
            std::size_t count = 0;
            for (const auto& [key, pool] : scheduler.pools)
                count += pool.order.size();
            return count;
        },
        state.policy.scheduler);
}

std::size_t waitingCalls(const State& state, const ModelName& model)
{
    return std::visit(
        [&](const auto& scheduler) {
            std::size_t count = 0;
            for (const auto& [key, pool] : scheduler.pools) {
                if (pool.target.target == call::Target::Model && pool.target.model == model)
                    count += pool.order.size();
            }
            return count;
        },
        state.policy.scheduler);
}

std::uint32_t requestsInFlight(const State& state, const ServerId& server)
{
    const auto it = state.policy.leases.find(server);
    return it == state.policy.leases.end() ? 0 : it->second.inUse;
}

} // namespace rosemarymill::node
