#include <rosemarymill/core/quarantine/part_evidence.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace rosemarymill::quarantine {

namespace {

/// Crashes at least `closeSpacing` apart after which a part is refused that no request has survived with, if they come
/// within `minSpread` and `maxSpread` and under this many different requests: with many requests under way, all servers
/// of a model can crash before enough of the crashes are separate, and before any other request survives.
constexpr std::size_t closeCrashLimit = 5;
constexpr std::size_t minRequestsAtCloseCrashes = 3;

/// Time within which entry VMs observe the same failure.
constexpr Duration closeSpacing = 15ms;

/// Servers that fail together do so within less.
constexpr Duration minSpread = 250ms;
constexpr Duration maxSpread = 1s;

} // namespace

const PartEvidence::CrashState* PartEvidence::find(std::uint64_t number) const
{
    const auto it = m_byNumber.find(number);
    return it == m_byNumber.end() ? nullptr : &m_crashes.at(it->second);
}

PartEvidence::Count PartEvidence::count(const PartState& part, bool verifiedOnly) const
{
    Count result;
    std::set<std::uint64_t> requests;
    std::set<std::uint64_t> crashes;
    std::set<std::uint64_t> isolated;
    Instant lastSeparate {};
    Instant lastSuccessive {};
    for (const auto& it : part.seen) {
        const auto* crash = find(it.crash);
        if (!crash || (verifiedOnly && !crash->verified) || m_explained.contains(it.crash))
            continue;
        requests.insert(it.request);
        crashes.insert(it.crash);
        if (crash->isolated)
            isolated.insert(it.crash);
        if (result.separate == 0)
            result.first = it.at;
        if (result.separate == 0 || it.at >= lastSeparate + minCrashSpacing) {
            ++result.separate;
            lastSeparate = it.at;
        }
        // Taking the first that fits finds the most of them, since they are sorted by their ends.
        if (result.successive == 0
            || (it.sentAt + reportJitter >= lastSuccessive && it.at >= lastSuccessive + minCrashSpacing)) {
            ++result.successive;
            lastSuccessive = it.at;
        }
    }
    result.requests = requests.size();
    result.crashes = crashes.size();
    result.isolated = isolated.size();
    return result;
}

bool PartEvidence::suffices(const PartState& part, const Count& count) const
{
    const auto limit = part.hasSurvived ? survivedPartCrashLimit : partCrashLimit;
    if (count.isolated >= limit && count.requests >= minRequestsWithPart)
        return true;
    if (count.separate >= (m_lastSurvival > count.first ? limit : outageFactor * limit)
        && count.successive >= minSuccessiveCrashes && count.requests >= minRequestsWithPart)
        return true;
    if (part.hasSurvived || count.requests < minRequestsAtCloseCrashes)
        return false;
    std::vector<Instant> times;
    for (const auto& it : part.seen) {
        const auto* crash = find(it.crash);
        const bool counts = crash && crash->verified && !m_explained.contains(it.crash);
        if (counts && (times.empty() || it.at >= times.back() + closeSpacing))
            times.push_back(it.at);
    }
    for (std::size_t i = 0; i + closeCrashLimit <= times.size(); ++i) {
        const auto spread = times[i + closeCrashLimit - 1] - times[i];
        if (spread >= minSpread && spread <= maxSpread)
            return true;
    }
    return false;
}

bool PartEvidence::refuses(const Fingerprint& part) const
{
    const auto it = m_parts.find(part);
    return it != m_parts.end() && it->second.refused;
}

bool PartEvidence::suspects(const Fingerprint& part) const
{
    const auto it = m_parts.find(part);
    return it != m_parts.end() && it->second.suspected;
}

std::vector<Fingerprint> PartEvidence::expire(Instant now)
{
    std::vector<Fingerprint> expired;
    for (const auto& [id, part] : m_parts) {
        if (part.refused && now - lastCrashOf(id) > recordRetention)
            expired.push_back(id);
    }
    for (const auto& it : expired)
        m_parts.erase(it);
    while (!m_byNumber.empty() && now - m_crashes.at(m_byNumber.begin()->second).at > recordRetention)
        drop(Crash { m_byNumber.begin()->second });
    return expired;
}

bool PartEvidence::isExplained(const Crash& crash) const
{
    const auto it = m_crashes.find(crash);
    return it != m_crashes.end() && m_explained.contains(it->second.number);
}

Instant PartEvidence::lastCrashOf(const Fingerprint& part) const
{
    const auto it = m_parts.find(part);
    if (it == m_parts.end())
        return {};
    return it->second.seen.empty() ? it->second.refusedAt : it->second.seen.back().at;
}

void PartEvidence::crashed(const Crash& crash, std::span<const Exposure> parts, Instant at)
{
    if (parts.empty())
        return;
    auto [entry, inserted] = m_crashes.try_emplace(crash);
    if (inserted) {
        entry->second = { .number = ++m_lastNumber, .at = at };
        m_byNumber.emplace(m_lastNumber, crash);
        if (m_crashes.size() > maxPartCrashes)
            drop(Crash { m_byNumber.begin()->second });
    }
    const auto number = entry->second.number;
    const bool explained = std::any_of(parts.begin(), parts.end(), [&](const auto& it) { return refuses(it.part); });
    if (explained)
        m_explained.insert(number);
    for (const auto& it : parts) {
        if (!m_parts.contains(it.part) && m_parts.size() >= maxSuspectParts)
            makeRoom();
        auto& part = m_parts[it.part];
        part.position = std::max(part.position, it.position);
        const Seen seen { number, it.request, at - it.inFlight, at };
        if ((part.hasSurvived && at <= part.survivedSince) || part.seen.size() >= maxExposuresPerPart)
            continue;
        const auto position = std::upper_bound(
            part.seen.begin(), part.seen.end(), at, [](Instant time, const auto& other) { return time < other.at; });
        part.seen.insert(position, seen);
        if (count(part, false).crashes >= suspectedPartCrashes)
            suspect(it.part, part);
    }
}

void PartEvidence::suspect(const Fingerprint& id, PartState& part)
{
    if (!std::exchange(part.suspected, true))
        m_newSuspects.push_back(id);
    for (const auto& it : part.seen) {
        const auto crash = m_byNumber.find(it.crash);
        if (crash == m_byNumber.end())
            continue;
        auto& state = m_crashes.at(crash->second);
        if (!state.verified && !std::exchange(state.toVerify, true))
            m_toVerify.push_back(crash->second);
    }
}

void PartEvidence::reviewSuspicion(const Fingerprint& id, PartState& part)
{
    if (!part.suspected || part.refused || count(part, false).crashes >= suspectedPartCrashes)
        return;
    part.suspected = false;
    m_clearedSuspects.push_back(id);
}

void PartEvidence::confirm(const Crash& crash)
{
    if (const auto it = m_crashes.find(crash); it != m_crashes.end())
        it->second.verified = true;
}

void PartEvidence::isolate(const Crash& crash)
{
    if (const auto it = m_crashes.find(crash); it != m_crashes.end())
        it->second.isolated = true;
}

void PartEvidence::retract(const Crash& crash) { drop(crash); }

void PartEvidence::drop(const Crash& crash)
{
    const auto it = m_crashes.find(crash);
    if (it == m_crashes.end())
        return;
    const auto number = it->second.number;
    m_explained.erase(number);
    m_byNumber.erase(number);
    m_crashes.erase(it);
    for (auto& [id, part] : m_parts) {
        if (part.refused && !part.seen.empty())
            part.refusedAt = std::max(part.refusedAt, part.seen.back().at);
        if (std::erase_if(part.seen, [&](const auto& seen) { return seen.crash == number; }) > 0)
            reviewSuspicion(id, part);
    }
    std::erase_if(m_parts, [](const auto& entry) {
        return entry.second.seen.empty() && !entry.second.refused && !entry.second.hasSurvived;
    });
}

bool PartEvidence::survived(const Fingerprint& id, Instant since)
{
    m_lastSurvival = std::max(m_lastSurvival, since);
    const auto it = m_parts.find(id);
    if (it == m_parts.end())
        return false;
    auto& part = it->second;
    const bool withdrawn = part.refused && since >= lastCrashOf(id);
    if (withdrawn) {
        part.refused = false;
        for (const auto& seen : part.seen)
            m_explained.erase(seen.crash);
    }
    if (part.refused)
        return false;
    part.survivedSince = part.hasSurvived ? std::max(part.survivedSince, since) : since;
    part.hasSurvived = true;
    std::erase_if(part.seen, [&](const auto& seen) { return seen.at <= part.survivedSince; });
    reviewSuspicion(id, part);
    return withdrawn;
}

std::vector<Crash> PartEvidence::refuse(PartState& part)
{
    part.refused = true;
    std::vector<Crash> crashes;
    for (const auto& it : part.seen) {
        const auto crash = m_byNumber.find(it.crash);
        if (crash != m_byNumber.end() && m_explained.insert(it.crash).second)
            crashes.push_back(crash->second);
    }
    return crashes;
}

void PartEvidence::refuse(const Fingerprint& id, Instant now)
{
    auto& part = m_parts[id];
    part.refusedAt = now;
    refuse(part);
}

std::vector<PartEvidence::Verdict> PartEvidence::judge()
{
    std::vector<Verdict> verdicts;
    for (;;) {
        // A part that never survived goes before one that did, then one that accounts for more crashes. Of parts that
        // were always together the later one occurs in fewer prompts.
        using Rank = std::tuple<bool, std::size_t, std::uint32_t>;
        Rank best;
        auto worst = m_parts.end();
        for (auto it = m_parts.begin(); it != m_parts.end(); ++it) {
            const auto& part = it->second;
            if (part.refused || part.seen.size() < partCrashLimit)
                continue;
            const auto crashes = count(part, true);
            const Rank rank { !part.hasSurvived, std::max(crashes.separate, crashes.isolated), part.position };
            if (suffices(part, crashes) && (worst == m_parts.end() || rank > best)) {
                best = rank;
                worst = it;
            }
        }
        if (worst == m_parts.end())
            return verdicts;
        verdicts.push_back({ worst->first, refuse(worst->second) });
    }
}

std::vector<Fingerprint> PartEvidence::takeNewSuspects() { return std::exchange(m_newSuspects, {}); }

std::vector<Fingerprint> PartEvidence::takeClearedSuspects() { return std::exchange(m_clearedSuspects, {}); }

std::vector<Crash> PartEvidence::takeCrashesToVerify() { return std::exchange(m_toVerify, {}); }

std::vector<Fingerprint> PartEvidence::suspects() const
{
    std::vector<Fingerprint> all;
    for (const auto& [id, part] : m_parts) {
        if (part.suspected && !part.refused)
            all.push_back(id);
    }
    return all;
}

std::vector<Fingerprint> PartEvidence::refused() const
{
    std::vector<Fingerprint> all;
    for (const auto& [id, part] : m_parts) {
        if (part.refused)
            all.push_back(id);
    }
    return all;
}

void PartEvidence::makeRoom()
{
    const auto evictedBefore = [](const auto& a, const auto& b) {
        const auto rank = [](const PartState& it) { return std::tuple(it.refused, it.suspected, it.seen.size()); };
        return rank(a.second) < rank(b.second);
    };
    const auto evicted = std::min_element(m_parts.begin(), m_parts.end(), evictedBefore);
    if (evicted->second.suspected && !evicted->second.refused)
        m_clearedSuspects.push_back(evicted->first);
    m_parts.erase(evicted);
}

} // namespace rosemarymill::quarantine
