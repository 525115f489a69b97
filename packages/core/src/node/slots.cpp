#include "call_handlers.hpp"

#include <algorithm>
#include <utility>

namespace rosemarymill::node {

namespace {

using admission::Lease;
using admission::LeaseReport;

/// Time between two digests of this home's servers while they do not change.
constexpr Duration digestInterval = 30s;
/// A changed digest is sent again after this interval, because delivery of messages is not guaranteed.
constexpr Duration digestRepeatInterval = 1s;
constexpr std::uint32_t digestRepeats = 2;
/// Maximum number of report-and-grant rounds in one renewal. A further round confirms a reduced grant, after which the
/// freed slots are divided again.
constexpr int maxRenewalRounds = 3;

admission::WeightOf weights(const State& state)
{
    return [&state](const AccountId& account) { return weightOf(state, account); };
}

/// Grant for an entry VM. A home without authority sends none, so that leases granted by the previous home expire
/// first. The exception is a server that is shutting down, whose grants only shrink.
std::optional<admission::Grant> grantFor(State& state, const ServerId& server, const VmId& to)
{
    auto& slots = state.policy.home.servers.at(server);
    if (!admission::hasAuthority(slots, state.now) && !slots.leaving)
        return std::nullopt;
    return admission::issueGrant(slots, server, to, state.now);
}

/// Reports to one home, split into leases that request slots and leases that return some.
struct Batch {
    admission::SlotRequest request;
    admission::SlotReturn unused;
};

void addReport(State& state, const ServerId& server, Lease& lease, Batch& batch)
{
    const bool returnsSlots = lease.waiting.empty() && !lease.wantsExclusive && lease.slots <= lease.inUse;
    auto it = admission::report(lease, server, state.now);
    if (returnsSlots)
        batch.unused.leases.push_back(std::move(it));
    else
        batch.request.leases.push_back(std::move(it));
}

bool mayReport(const State& state, const VmId& home)
{
    const auto it = state.policy.messageTimes.find(home);
    return it == state.policy.messageTimes.end() || it->second.lastReportsAt == Instant {}
    || state.now - it->second.lastReportsAt >= admission::messageInterval;
}

void sendBatch(State& state, const VmId& home, Batch& batch, Effects& effects)
{
    state.policy.messageTimes[home].lastReportsAt = state.now;
    if (!batch.request.leases.empty())
        sendTo(state, home, admission::Message { std::move(batch.request) }, effects);
    if (!batch.unused.leases.empty())
        sendTo(state, home, admission::Message { std::move(batch.unused) }, effects);
}

template <typename ReportHandler>
void receiveReports(State& state, const VmId& from, const std::vector<LeaseReport>& reports,
    const ReportHandler& handler, Effects& effects)
{
    admission::SlotGrant reply;
    for (const auto& report : reports) {
        if (const auto own = state.policy.leases.find(report.server);
            own != state.policy.leases.end() && own->second.home == state.settings.vm)
            (void)renewLocalLease(state, report.server, own->second);
        if (!handler(report)) {
            admission::Grant refused;
            refused.server = report.server;
            refused.notHome = true;
            reply.grants.push_back(std::move(refused));
            continue;
        }
        // The new division may have reduced this process's own lease. Confirming that at once frees slots for the
        // sender.
        if (const auto own = state.policy.leases.find(report.server);
            own != state.policy.leases.end() && own->second.home == state.settings.vm)
            (void)renewLocalLease(state, report.server, own->second);
        if (auto grant = grantFor(state, report.server, from))
            reply.grants.push_back(std::move(*grant));
    }
    if (!reply.grants.empty()) {
        state.policy.messageTimes[from].lastGrantsAt = state.now;
        sendTo(state, from, admission::Message { std::move(reply) }, effects);
    }
    sendGrants(state, false, effects);
}

std::vector<admission::DigestEntry> ownDigest(const State& state)
{
    std::vector<admission::DigestEntry> entries;
    for (const auto& [id, located] : state.policy.directory) {
        if (located.home != state.settings.vm || state.now - located.lastAnnounced >= admission::authorityTerm)
            continue;
        auto entry = located.entry;
        const auto slots = state.policy.home.servers.find(id);
        if (slots != state.policy.home.servers.end())
            entry.free = admission::freeSlots(slots->second, state.now);
        entry.age = state.now - located.lastAnnounced;
        entries.push_back(std::move(entry));
    }
    return entries;
}

/// Compares digests without free slots, limits and ages, which change constantly and must not cause a digest each.
bool sameServers(std::vector<admission::DigestEntry> a, std::vector<admission::DigestEntry> b)
{
    for (auto* list : { &a, &b }) {
        for (auto& it : *list) {
            it.free = 0;
            it.age = Duration::zero();
            it.limit = 0;
        }
    }
    return a == b;
}

} // namespace

double weightOf(const State& state, const AccountId& account)
{
    for (const auto& it : state.configuration.manifest.accounts) {
        if (it.id == account)
            return it.weight;
    }
    return 1.0;
}

bool renewLocalLease(State& state, const ServerId& server, Lease& lease)
{
    const auto before = lease.slots;
    const auto tokensBefore = lease.tokens;
    const bool exclusiveBefore = lease.exclusive;
    const bool expired = state.now >= lease.validUntil;
    for (int round = 0; round < maxRenewalRounds; ++round) {
        const auto it = admission::report(lease, server, state.now);
        if (!admission::handleReport(state.policy.home, state.settings.vm, it, state.now, weights(state)))
            return false;
        if (const auto grant = grantFor(state, server, state.settings.vm))
            admission::apply(lease, *grant);
        if (!lease.reportDue)
            break;
    }
    return lease.slots > before || lease.tokens > tokensBefore || lease.exclusive != exclusiveBefore
        || (expired && lease.slots > lease.inUse);
}

void sendReports(State& state, Effects& effects)
{
    std::map<VmId, Batch> batches;
    for (auto& [server, lease] : state.policy.leases) {
        if (lease.home.empty() || !admission::reportDue(lease, state.now))
            continue;
        if (lease.home == state.settings.vm)
            (void)renewLocalLease(state, server, lease);
        else if (mayReport(state, lease.home))
            addReport(state, server, lease, batches[lease.home]);
    }
    for (auto& [home, batch] : batches)
        sendBatch(state, home, batch, effects);
}

void sendGrants(State& state, bool urgent, Effects& effects)
{
    std::map<VmId, admission::SlotGrant> messages;
    for (auto& [server, slots] : state.policy.home.servers) {
        for (auto& [vm, lease] : slots.leases) {
            const auto& times = state.policy.messageTimes[vm];
            if (!lease.changed || vm == state.settings.vm
                || (!urgent && state.now - times.lastGrantsAt < admission::messageInterval))
                continue;
            if (auto grant = grantFor(state, server, vm))
                messages[vm].grants.push_back(std::move(*grant));
        }
    }
    for (auto& [vm, message] : messages) {
        state.policy.messageTimes[vm].lastGrantsAt = state.now;
        sendTo(state, vm, admission::Message { std::move(message) }, effects);
    }
}

void sendHomeDigest(State& state, Effects& effects)
{
    auto& policy = state.policy;
    const auto entries = ownDigest(state);
    const auto age = state.now - policy.digestSentAt;
    const bool changed = !sameServers(entries, policy.sentDigest);
    const bool repeat = policy.digestRepeats > 0 && age >= digestRepeatInterval;
    if (!changed && !repeat && age < digestInterval)
        return;
    policy.digestRepeats = changed ? digestRepeats : policy.digestRepeats - (repeat ? 1 : 0);
    policy.sentDigest = entries;
    policy.digestSentAt = state.now;
    for (const auto& vm : localPeers(state))
        sendTo(state, vm, admission::Message { admission::HomeDigest { entries } }, effects);
}

void receive(State& state, const VmId& from, const admission::SlotRequest& message, Effects& effects)
{
    const auto handler = [&](const LeaseReport& report) {
        return admission::handleReport(state.policy.home, from, report, state.now, weights(state));
    };
    receiveReports(state, from, message.leases, handler, effects);
}

void receive(State& state, const VmId& from, const admission::SlotReturn& message, Effects& effects)
{
    const auto handler = [&](const LeaseReport& report) {
        return admission::handleReturn(state.policy.home, from, report, state.now, weights(state));
    };
    receiveReports(state, from, message.leases, handler, effects);
    startWaitingCalls(state, effects);
}

void receive(State& state, const VmId& from, const admission::SlotGrant& message, Effects& effects)
{
    for (const auto& grant : message.grants) {
        const auto it = state.policy.leases.find(grant.server);
        if (it != state.policy.leases.end() && it->second.home == from)
            admission::apply(it->second, grant);
    }
    startWaitingCalls(state, effects);
    sendReports(state, effects);
}

void receive(State& state, const VmId& from, const admission::HomeDigest& message, Effects& effects)
{
    std::set<ServerId> named;
    for (const auto& entry : message.servers) {
        named.insert(entry.server);
        updateServerLocation(state, from, entry, state.now - entry.age);
        auto& lease = state.policy.leases[entry.server];
        if (state.policy.directory.at(entry.server).home == from) {
            admission::setHome(lease, from, entry.bootId, state.now);
            lease.free = entry.free;
        }
    }
    std::vector<ServerId> unlisted;
    for (const auto& [id, located] : state.policy.directory) {
        if (located.home == from && !named.contains(id))
            unlisted.push_back(id);
    }
    for (const auto& id : unlisted)
        removeServer(state, id);
    startWaitingCalls(state, effects);
}

} // namespace rosemarymill::node
