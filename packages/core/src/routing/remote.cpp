#include <rosemarymill/core/routing/remote.hpp>

#include <algorithm>
#include <cmath>

namespace rosemarymill::routing {

namespace {

/// Local waiting time above which calls are sent to other data centres: half of the 0.53 s target for the first token.
constexpr Duration overflowStartWait = 265ms;
/// Local waiting time below which calls are kept local again.
constexpr Duration overflowEndWait = 100ms;
/// Divisor of a remote pool's limit that gives the slots reserved for its own callers: one in ten.
constexpr std::uint32_t reservedDivisor = 10;

const PoolCapacity* findPool(const CapacityDigest& digest, const std::string& pool)
{
    const auto it
        = std::find_if(digest.pools.begin(), digest.pools.end(), [&](const auto& entry) { return entry.pool == pool; });
    return it == digest.pools.end() ? nullptr : &*it;
}

std::uint32_t usableSlots(const RemoteDataCentre& remote, const std::string& pool, Instant now)
{
    const auto* capacity = findPool(remote.digest, pool);
    if (!capacity || !remote.digest.accepting || now - remote.receivedAt > digestTerm)
        return 0;
    const auto reserved = capacity->limit / reservedDivisor;
    const auto spare = capacity->free > reserved ? capacity->free - reserved : 0;
    const auto allowed = static_cast<std::uint32_t>(std::ceil(spare * rampShare(remote, now)));
    const auto sent = remote.sent.find(pool);
    const auto used = sent == remote.sent.end() ? 0 : sent->second;
    return allowed > used ? allowed - used : 0;
}

} // namespace

double rampShare(const RemoteDataCentre& remote, Instant now) noexcept
{
    const auto age = now - remote.availableSince;
    return std::clamp(static_cast<double>(age.count()) / static_cast<double>(rampTime.count()), 0.0, 1.0);
}

void receive(RemoteDataCentres& remotes, const CapacityDigest& digest, const VmId& from, Instant now)
{
    const auto [it, added] = remotes.dataCentres.try_emplace(digest.dataCentre);
    auto& remote = it->second;
    const bool wasAvailable = !added && remote.digest.accepting && now - remote.receivedAt <= digestTerm;
    if (!wasAvailable)
        remote.availableSince = now;
    remote.digest = digest;
    remote.vm = from;
    remote.receivedAt = now;
    remote.sent.clear();
}

bool updateOverflow(RemoteDataCentres& remotes, const std::string& pool, Duration localWait, bool hasLocalServers)
{
    auto& overflowing = remotes.overflowing[pool];
    if (!hasLocalServers || localWait > overflowStartWait)
        overflowing = true;
    else if (localWait < overflowEndWait)
        overflowing = false;
    return overflowing;
}

std::optional<DataCentreId> chooseRemote(
    const RemoteDataCentres& remotes, const std::string& pool, Instant now, const std::vector<DataCentreId>& excluded)
{
    std::optional<DataCentreId> best;
    std::uint32_t most = 0;
    for (const auto& [id, remote] : remotes.dataCentres) {
        if (std::find(excluded.begin(), excluded.end(), id) != excluded.end())
            continue;
        const auto usable = usableSlots(remote, pool, now);
        if (usable > most) {
            best = id;
            most = usable;
        }
    }
    return best;
}

void countSent(RemoteDataCentres& remotes, const DataCentreId& dataCentre, const std::string& pool)
{
    ++remotes.dataCentres[dataCentre].sent[pool];
}

} // namespace rosemarymill::routing
