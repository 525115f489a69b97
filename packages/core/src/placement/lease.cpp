#include <rosemarymill/core/base/hash.hpp>
#include <rosemarymill/core/placement/lease.hpp>

#include <algorithm>

namespace rosemarymill::placement {

namespace {

std::size_t majority(const LeaseState& state) { return state.settings.acceptors.size() / 2 + 1; }

bool isAcceptor(const LeaseState& state)
{
    const auto& acceptors = state.settings.acceptors;
    return std::find(acceptors.begin(), acceptors.end(), state.settings.vm) != acceptors.end();
}

/// A process without acceptors is the only one in its data centre and holds the lease without grants.
bool isStandalone(const LeaseState& state) { return state.settings.acceptors.empty(); }

Duration backoff(LeaseState& state) { return Duration { state.random() % leaseBackoff.count() }; }

FencingNumber highestSeen(const LeaseState& state)
{
    return std::max({ state.seen, state.acceptor.highest, state.candidate.fencing });
}

void sendRequests(LeaseState& state, Instant now, LeaseEffects& effects)
{
    auto& candidate = state.candidate;
    candidate.lastRequest = now;
    candidate.nextRequest = now + leaseRenewal;
    candidate.denials = 0;
    const LeaseRequest request { state.settings.vm, state.settings.boot, candidate.fencing,
        now.time_since_epoch().count() };
    for (const auto& acceptor : state.settings.acceptors)
        effects(LeaseSend { acceptor, request });
}

/// Chooses a fencing number above all seen, for a new attempt to acquire the lease or after a higher one was seen.
void raiseFencingNumber(LeaseState& state)
{
    state.candidate.fencing = highestSeen(state).next();
    state.candidate.grants.clear();
}

void loseLease(LeaseState& state, LeaseEffects& effects)
{
    auto& candidate = state.candidate;
    if (!candidate.acquiredAt)
        return;
    candidate.acquiredAt.reset();
    candidate.grants.clear();
    candidate.validUntil = {};
    effects(LeaseLost {});
}

void releaseGrants(LeaseState& state, LeaseEffects& effects)
{
    for (const auto& acceptor : state.settings.acceptors)
        effects(LeaseSend { acceptor, LeaseRelease { state.settings.boot, state.candidate.fencing } });
    state.candidate.grants.clear();
}

/// Ends an attempt to acquire the lease. Replies still in flight have the old fencing number and are ignored, because
/// their grants were released.
void endAttempt(LeaseState& state, Instant now, LeaseEffects& effects)
{
    auto& candidate = state.candidate;
    releaseGrants(state, effects);
    raiseFencingNumber(state);
    candidate.splitVotes = std::min(candidate.splitVotes + 1, maxBackoffDoublings);
    const auto longest = leaseBackoff.count() << candidate.splitVotes;
    candidate.nextRequest = now + Duration { static_cast<std::int64_t>(state.random()) % longest };
}

/// The lease is valid from the time of sending of the oldest request among the newest majority of grants.
void updateValidity(LeaseState& state, Instant now, LeaseEffects& effects)
{
    auto& candidate = state.candidate;
    if (candidate.grants.size() < majority(state))
        return;
    std::vector<Instant> times;
    for (const auto& [acceptor, sentAt] : candidate.grants)
        times.push_back(sentAt);
    std::sort(times.rbegin(), times.rend());
    candidate.validUntil = times[majority(state) - 1] + leaseDuration - leaseMargin;
    if (candidate.acquiredAt || now >= candidate.validUntil)
        return;
    candidate.acquiredAt = now;
    candidate.splitVotes = 0;
    effects(LeaseAcquired { candidate.fencing });
}

LeaseReply answer(const LeaseState& state, const LeaseRequest& request, bool granted, Instant now)
{
    const auto& acceptor = state.acceptor;
    LeaseReply reply { request.boot, request.fencing, request.sentAt, granted, acceptor.highest, {}, 0 };
    if (!granted && now < acceptor.grantedUntil) {
        reply.holder = acceptor.holder;
        reply.remaining = (acceptor.grantedUntil - now).count();
    }
    return reply;
}

void handle(LeaseState& state, const LeaseStarted& event, LeaseEffects& effects)
{
    state.acceptor.startupDelayEnd = event.now + acceptorStartupDelay;
    state.candidate.nextRequest = event.now + backoff(state);
    if (!isStandalone(state))
        return;
    raiseFencingNumber(state);
    state.candidate.acquiredAt = event.now;
    effects(LeaseAcquired { state.candidate.fencing });
}

void handle(LeaseState& state, const LeaseTick& event, LeaseEffects& effects)
{
    auto& candidate = state.candidate;
    if (isStandalone(state) || !state.settings.candidate)
        return;
    if (candidate.acquiredAt && event.now >= candidate.validUntil)
        loseLease(state, effects);
    if (event.now < candidate.nextRequest)
        return;
    // Split vote: another candidate may hold the other grants. A repeated request would renew this candidate's grants,
    // and neither would acquire the lease while the third acceptor does not answer.
    if (!candidate.acquiredAt && !candidate.grants.empty())
        return endAttempt(state, event.now, effects);
    if (!candidate.acquiredAt) {
        raiseFencingNumber(state);
        sendRequests(state, event.now, effects);
        candidate.nextRequest += backoff(state);
        return;
    }
    sendRequests(state, event.now, effects);
}

void receive(LeaseState& state, const VmId& from, const LeaseRequest& request, Instant now, LeaseEffects& effects)
{
    auto& acceptor = state.acceptor;
    if (!isAcceptor(state) || now < acceptor.startupDelayEnd)
        return;
    const bool sameHolder = acceptor.holder == request.candidate && acceptor.holderBoot == request.boot;
    const bool renewal = sameHolder && request.fencing == acceptor.granted && request.fencing == acceptor.highest;
    const bool isFree = sameHolder || now >= acceptor.grantedUntil;
    const bool granted = renewal || (isFree && request.fencing > acceptor.highest);
    if (granted) {
        acceptor.holder = request.candidate;
        acceptor.holderBoot = request.boot;
        acceptor.granted = request.fencing;
        acceptor.highest = request.fencing;
        acceptor.grantedUntil = now + leaseDuration;
    }
    effects(LeaseSend { from, answer(state, request, granted, now) });
}

void handleDenial(LeaseState& state, const LeaseReply& reply, Instant now, LeaseEffects& effects)
{
    auto& candidate = state.candidate;
    ++candidate.denials;
    const auto acceptors = state.settings.acceptors.size();
    if (acceptors - std::min<std::size_t>(candidate.denials, acceptors) >= majority(state))
        return;
    // A majority can no longer be reached. Grants received so far would only block other candidates.
    if (candidate.acquiredAt) {
        if (reply.holder.empty() && reply.highest > candidate.fencing)
            raiseFencingNumber(state);
        loseLease(state, effects);
    }
    releaseGrants(state, effects);
    candidate.nextRequest = now + Duration { reply.remaining } + backoff(state);
}

void receive(LeaseState& state, const VmId& from, const LeaseReply& reply, Instant now, LeaseEffects& effects)
{
    auto& candidate = state.candidate;
    state.seen = std::max(state.seen, reply.highest);
    if (reply.boot != state.settings.boot || reply.fencing != candidate.fencing)
        return;
    if (!reply.granted) {
        if (reply.sentAt == candidate.lastRequest.time_since_epoch().count())
            handleDenial(state, reply, now, effects);
        return;
    }
    auto& grantedAt = candidate.grants[from];
    grantedAt = std::max(grantedAt, Instant { Duration { reply.sentAt } });
    updateValidity(state, now, effects);
}

void receive(LeaseState& state, const VmId&, const LeaseRelease& release, Instant now, LeaseEffects&)
{
    auto& acceptor = state.acceptor;
    if (acceptor.holderBoot == release.boot && acceptor.granted == release.fencing)
        acceptor.grantedUntil = now;
}

void handle(LeaseState& state, const LeaseReceived& event, LeaseEffects& effects)
{
    std::visit([&](const auto& message) { receive(state, event.from, message, event.now, effects); }, event.message);
}

void handle(LeaseState& state, const FencingSeen& event, LeaseEffects& effects)
{
    state.seen = std::max(state.seen, event.fencing);
    auto& candidate = state.candidate;
    if (!candidate.acquiredAt || event.fencing <= candidate.fencing)
        return;
    // A server or member has seen a fencing number above the holder's: the holder chooses a higher one before it
    // continues to act.
    if (isStandalone(state)) {
        raiseFencingNumber(state);
        effects(LeaseAcquired { candidate.fencing });
        return;
    }
    loseLease(state, effects);
    raiseFencingNumber(state);
    sendRequests(state, event.now, effects);
}

void handle(LeaseState& state, const LeaseReleaseRequested&, LeaseEffects& effects)
{
    loseLease(state, effects);
    releaseGrants(state, effects);
    state.settings.candidate = false;
}

} // namespace

LeaseState::LeaseState(LeaseSettings fixed)
    : settings(std::move(fixed))
    , random(static_cast<std::minstd_rand::result_type>(hash64(settings.vm.text(), settings.seed + 1)))
{
}

void reduce(LeaseState& state, const LeaseEvent& event, LeaseEffects& effects)
{
    std::visit([&](const auto& it) { handle(state, it, effects); }, event);
}

bool holdsLease(const LeaseState& state, Instant now) noexcept
{
    return state.candidate.acquiredAt && (state.settings.acceptors.empty() || now < state.candidate.validUntil);
}

} // namespace rosemarymill::placement
