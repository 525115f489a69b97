#include <rosemarymill/core/dispatch/balancer.hpp>

#include <rosemarymill/core/base/hash.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace rosemarymill::dispatch {

namespace {

/// Maximum random addition to a server's load, so that entry VMs with equal views do not choose the same server.
constexpr double loadNoise = 0.08;

/// Delay in seconds that is added per rank in an entry VM's order of preference among the groups: more than the delay
/// caused by a few requests of the batch, less than that of a prompt.
constexpr double preferenceStep = 0.002;

double seconds(Duration it) { return std::chrono::duration<double>(it).count(); }

/// Retry delays by the reason of the refusal; after this time a request is expected to be served.
constexpr Duration retryAfterUnknown = 1s;
constexpr Duration retryAfterFull = 500ms;
constexpr Duration retryAfterCold = 300ms;

/// Fraction of the requests that full groups can start that is assigned to retried requests.
constexpr double retryShare = 0.25;

/// Maximum retry delay of a refused request: clients wait at most a third of the time that they have left.
constexpr Duration maxRetryAfter = 2s;

/// Time for which a full server gets no requests.
constexpr Duration fullSuspension = 100ms;

/// Fraction of the cold rate that is used, since the windows of the VMs are not aligned.
constexpr double coldRateFraction = 0.7;

/// Time constant of the average of this VM's work. It covers several requests of a VM that sends one a second.
constexpr Duration workTimeConstant = 5s;

/// Rate in requests per second that is reserved for each entry VM that sends to a cold server when there are too many
/// VMs to share the rate. Each of them sends at most two a second; the reserve is half as much again, since the hash
/// selects a varying number of them.
constexpr double coldSenderRate = 3;

} // namespace

Work workOf(const routes::Engine& engine, const ModelName& model, unsigned promptTokens)
{
    const auto it
        = std::find_if(engine.models.begin(), engine.models.end(), [&](const auto& m) { return m.name == model; });
    const double pace = it == engine.models.end() || it->pace <= 0 ? 1 : it->pace;
    const auto scaled
        = [&](Duration time, double factor) { return std::chrono::duration_cast<Duration>(time * (pace * factor)); };
    const auto slots = std::max(engine.slots, 1U);
    const auto fullStep = engine.step + engine.stepPerRequest * slots;
    return { promptTokens, engine.promptTokensPerSecond / pace, scaled(engine.stepPerRequest, engine.stepsPerPass),
        scaled(fullStep, engine.meanAnswerTokens / slots) };
}

void Balancer::apply(const fleet::TargetDelta& delta, Instant now)
{
    if (delta.full) {
        for (auto& [id, entry] : m_entries)
            entry.withdrawn = true;
    }
    for (const auto& target : delta.upserts) {
        auto& entry = m_entries[target.id];
        if (entry.target.id.empty())
            entry.progressAt = now;
        const bool moved = entry.target.address != target.address || entry.target.bootId != target.bootId;
        if (entry.withdrawn || moved || entry.suspension.reason == SuspensionReason::Misdirected)
            entry.suspension = {};
        entry.target = target;
        entry.withdrawn = false;
        if (target.coldLeft > Duration::zero() && now >= entry.coldUntil) {
            entry.coldTokens = 0;
            entry.coldTokensAt = now;
        }
        entry.coldUntil = now + target.coldLeft;
    }
    for (const auto& id : delta.withdrawn)
        withdraw(id);
    for (const auto& id : delta.lost)
        withdraw(id);
    std::erase_if(m_entries, [](const auto& it) { return it.second.withdrawn && it.second.outstanding == 0; });
}

void Balancer::withdraw(const ServerId& server)
{
    if (const auto it = m_entries.find(server); it != m_entries.end())
        it->second.withdrawn = true;
}

double Balancer::loadOf(const Entry& entry, Instant now) const
{
    auto requests = static_cast<double>(entry.outstanding);
    if (now < entry.reportedAt + m_settings.loadReportLifetime) {
        const auto own = requests - static_cast<double>(entry.outstandingAtReport);
        requests = std::max(requests, static_cast<double>(entry.reported) + own);
    }
    return requests / std::max(1U, entry.target.slots);
}

bool Balancer::coldTokenReady(Entry& entry, double rate, Instant now) const
{
    // Without the number of entry VMs there is no share of the rate.
    if (!m_entryVmsReported)
        return false;
    const auto totalRate = (rate * m_settings.coldOvershoot + m_settings.coldSlack) * coldRateFraction;
    const auto share = totalRate / static_cast<double>(std::max(m_entryVms, 1U));
    const auto seconds = std::chrono::duration<double>(now - entry.coldTokensAt).count();
    entry.coldTokensAt = now;
    // The tokens usable within one second never exceed the share: the bucket holds at most half of it, and the other
    // half is added per second.
    if (share >= 2)
        entry.coldTokens = std::min(share / 2, entry.coldTokens + seconds * share / 2);
    else
        entry.coldTokens = isColdSender(entry, totalRate) ? std::min(1.0, entry.coldTokens + seconds) : 0;
    return entry.coldTokens >= 1;
}

bool Balancer::isColdSender(const Entry& entry, double totalRate) const
{
    constexpr double hashRange = 18446744073709551616.0; // 2^64
    const auto hash = static_cast<double>(hash64(entry.target.id.text(), m_settings.vmHash)) / hashRange;
    return hash * static_cast<double>(m_entryVms) < totalRate / coldSenderRate;
}

bool Balancer::isCold(const Entry& entry, const Query& query)
{
    return query.coldRate > 0 && query.now < entry.coldUntil;
}

void Balancer::advancePrefill(Entry& entry, Instant now)
{
    const auto prefilled = seconds(now - entry.prefilledAt) * entry.prefillRate;
    entry.prefilledAt = now;
    entry.ownPromptTokens = std::max(entry.ownPromptTokens - prefilled, 0.0);
    entry.otherPromptTokens = std::max(entry.otherPromptTokens - prefilled, 0.0);
}

double Balancer::expectedDelay(Entry& entry, const Query& query) const
{
    entry.prefillRate = query.work.prefillRate;
    advancePrefill(entry, query.now);
    const auto requests = loadOf(entry, query.now) * entry.target.slots;
    const auto waiting = std::max(requests + 1 - entry.target.slots, 0.0);
    return (entry.ownPromptTokens + entry.otherPromptTokens) / query.work.prefillRate
        + requests * seconds(query.work.eventCost) + waiting * seconds(query.work.slotWait);
}

void Balancer::countWork(const ModelName& model, const Work& work, Instant now)
{
    if (work.prefillRate <= 0)
        return;
    auto& it = m_workRates[model];
    it.rate *= std::exp(-seconds(now - it.at) / seconds(workTimeConstant));
    it.rate += (work.promptTokens / work.prefillRate + seconds(work.eventCost)) / seconds(workTimeConstant);
    it.at = now;
}

double Balancer::unreportedWork(const Query& query)
{
    const auto it = m_workRates.find(query.model);
    if (it == m_workRates.end() || m_fleetLoadsAt == Instant {} || m_entryVms < 2)
        return 0;
    // The reports in a sum are half an interval old on average when it is sent.
    const auto age = std::min(query.now - m_fleetLoadsAt + m_fleetLoadsInterval / 2, m_settings.loadReportLifetime);
    const auto rate = it->second.rate * std::exp(-seconds(query.now - it->second.at) / seconds(workTimeConstant));
    return rate * (m_entryVms - 1) * seconds(age);
}

const Balancer::Candidate& Balancer::chooseByDelay(std::span<const Candidate> candidates, double unreported)
{
    std::vector<const Candidate*> sorted;
    sorted.reserve(candidates.size());
    for (const auto& it : candidates)
        sorted.push_back(&it);
    std::sort(sorted.begin(), sorted.end(), [](const auto* a, const auto* b) { return a->score < b->score; });
    // Delay that the groups with the lowest scores reach once the unreported work is distributed to level them.
    std::size_t n = 0;
    double sum = 0;
    double level = 0;
    do {
        sum += sorted[n++]->score;
        level = (unreported + sum) / static_cast<double>(n);
    } while (n < sorted.size() && sorted[n]->score < level);
    auto point = std::uniform_real_distribution<double>(0, unreported)(m_random);
    for (std::size_t i = 0; i < n; ++i) {
        point -= level - sorted[i]->score;
        if (point < 0)
            return *sorted[i];
    }
    return *sorted.front();
}

Duration Balancer::retryDelay(const Query& query, std::size_t groups)
{
    auto& last = m_lastRetryAt[query.model];
    const auto share = static_cast<double>(groups) * retryShare / std::max(m_entryVms, 1U);
    const auto interval = std::chrono::duration_cast<Duration>(query.work.slotWait / share);
    last = std::clamp(last + interval, query.now + retryAfterFull, query.now + maxRetryAfter);
    return last - query.now;
}

bool Balancer::serves(const Entry& entry, const Query& query)
{
    return !entry.withdrawn && entry.target.service == query.service && entry.target.model == query.model;
}

bool Balancer::attemptDue(const Suspension& suspension, Instant now) const noexcept
{
    if (suspension.reason == SuspensionReason::Refused)
        return now >= suspension.attemptedAt + m_settings.refusedRetryInterval;
    return suspension.reason == SuspensionReason::NotConnected && now >= suspension.until;
}

void Balancer::beginAttempt(Suspension& suspension, Instant now) noexcept
{
    suspension.attemptedAt = now;
    suspension.until = now + suspension.period;
    suspension.attempting = true;
}

Balancer::Entry* Balancer::chooseUnreachable(const Query& query)
{
    Entry* longest = nullptr;
    for (auto& [id, entry] : m_entries) {
        if (!serves(entry, query) || !attemptDue(entry.suspension, query.now)
            || std::find(query.tried.begin(), query.tried.end(), id) != query.tried.end())
            continue;
        if (!longest || entry.suspension.attemptedAt < longest->suspension.attemptedAt)
            longest = &entry;
    }
    if (!longest || (isCold(*longest, query) && !coldTokenReady(*longest, query.coldRate, query.now)))
        return nullptr;
    beginAttempt(longest->suspension, query.now);
    return longest;
}

std::vector<fleet::Target> Balancer::takeServersToConnect(const Query& query)
{
    std::vector<fleet::Target> due;
    for (auto& [id, entry] : m_entries) {
        auto& suspension = entry.suspension;
        if (!suspension.unreachable() || !serves(entry, query) || query.now < suspension.until)
            continue;
        beginAttempt(suspension, query.now);
        due.push_back(entry.target);
    }
    return due;
}

std::variant<Choice, Refusal> Balancer::choose(const Query& query)
{
    std::uniform_real_distribution<double> noise(0, loadNoise);
    const auto groups = static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(),
        [&](const auto& it) { return serves(it.second, query) && !it.second.suspension.unreachable(); }));
    const auto preferred = groups * m_position / std::max(m_entryVms, 1U);
    std::vector<Candidate> candidates;
    Choice choice;
    Refusal refusal { NoServer::Unknown, retryAfterUnknown };
    const auto limit = 1 + m_settings.queueShare;
    const auto setReason = [&](NoServer reason, Duration retryAfter) {
        if (reason > refusal.reason)
            refusal = { reason, retryAfter };
    };
    for (auto& [id, entry] : m_entries) {
        const auto& target = entry.target;
        if (!serves(entry, query))
            continue;
        if (entry.suspension.unreachable()) {
            setReason(NoServer::Failing, retryAfterFull);
            continue;
        }
        const auto rank = (choice.candidates++ + groups - preferred % groups) % groups;
        if (entry.suspension.active(query.now)
            || std::find(query.tried.begin(), query.tried.end(), id) != query.tried.end()) {
            setReason(NoServer::Failing, retryAfterFull);
            continue;
        }
        const auto load = loadOf(entry, query.now);
        if (load >= limit) {
            setReason(NoServer::Full, retryAfterFull);
            continue;
        }
        if (isCold(entry, query)) {
            if (!coldTokenReady(entry, query.coldRate, query.now)) {
                setReason(NoServer::Cold, retryAfterCold);
                continue;
            }
        }
        const auto score = query.work.prefillRate > 0
            ? expectedDelay(entry, query) + preferenceStep * static_cast<double>(rank)
            : load + noise(m_random) + (target.dataCentre == m_settings.dataCentre ? 0 : m_settings.remotePenalty);
        candidates.push_back({ &entry, score, load });
    }
    // Another server may have room soon when all others are full or cold.
    const bool onlyFailing = candidates.empty() && refusal.reason <= NoServer::Failing;
    if (auto* entry = onlyFailing ? chooseUnreachable(query) : nullptr) {
        if (isCold(*entry, query))
            entry->coldTokens -= 1;
        choice.target = &entry->target;
        choice.load = loadOf(*entry, query.now);
        choice.unreachable = true;
        return choice;
    }
    if (candidates.empty()) {
        if (refusal.reason == NoServer::Full && query.work.prefillRate > 0)
            refusal.retryAfter = retryDelay(query, groups);
        return refusal;
    }
    const auto& best = chooseByDelay(candidates, unreportedWork(query));
    if (isCold(*best.entry, query))
        best.entry->coldTokens -= 1;
    choice.target = &best.entry->target;
    choice.load = best.load;
    return choice;
}

void Balancer::sent(const ServerId& server, Instant now, const Work& work)
{
    const auto it = m_entries.find(server);
    if (it == m_entries.end())
        return;
    auto& entry = it->second;
    if (entry.outstanding++ == 0)
        entry.progressAt = now;
    advancePrefill(entry, now);
    entry.ownPromptTokens += work.promptTokens;
    countWork(entry.target.model, work, now);
}

void Balancer::ended(const ServerId& server)
{
    const auto it = m_entries.find(server);
    if (it == m_entries.end())
        return;
    auto& entry = it->second;
    if (entry.outstanding > 0)
        --entry.outstanding;
    if (entry.withdrawn && entry.outstanding == 0)
        m_entries.erase(it);
}

std::vector<fleet::ServerLoad> Balancer::localLoads(Instant now)
{
    std::vector<fleet::ServerLoad> loads;
    for (auto& [id, entry] : m_entries) {
        advancePrefill(entry, now);
        entry.reportedPromptTokens = entry.ownPromptTokens;
        if (entry.outstanding > 0)
            loads.push_back({ id, entry.outstanding, static_cast<unsigned>(entry.ownPromptTokens) });
    }
    return loads;
}

void Balancer::applyFleetLoads(std::span<const fleet::ServerLoad> loads, Instant now)
{
    m_fleetLoadsInterval
        = m_fleetLoadsAt == Instant {} ? Duration {} : std::min(now - m_fleetLoadsAt, m_settings.loadReportLifetime);
    m_fleetLoadsAt = now;
    // Half of the reports in the sums were made before this time.
    const auto reportsSince = now - m_fleetLoadsInterval / 2;
    for (auto& item : m_entries) {
        const auto& server = item.first;
        auto& entry = item.second;
        const auto it
            = std::find_if(loads.begin(), loads.end(), [&](const auto& load) { return load.server == server; });
        if (entry.serverReportedAt < reportsSince)
            setReported(entry, it == loads.end() ? 0 : it->requests, now);
        advancePrefill(entry, now);
        entry.otherPromptTokens = it == loads.end() ? 0 : std::max(it->promptTokens - entry.reportedPromptTokens, 0.0);
    }
}

void Balancer::loadReported(const ServerId& server, unsigned requests, Instant now)
{
    const auto it = m_entries.find(server);
    if (it == m_entries.end())
        return;
    it->second.serverReportedAt = now;
    setReported(it->second, requests, now);
}

void Balancer::setReported(Entry& entry, unsigned requests, Instant now)
{
    entry.reported = requests;
    entry.outstandingAtReport = entry.outstanding;
    entry.reportedAt = now;
}

void Balancer::succeeded(const ServerId& server, Instant now)
{
    const auto it = m_entries.find(server);
    if (it == m_entries.end())
        return;
    it->second.progressAt = now;
    it->second.suspension.period = {};
}

void Balancer::failed(const ServerId& server, Instant now)
{
    const auto it = m_entries.find(server);
    if (it == m_entries.end())
        return;
    auto& suspension = it->second.suspension;
    // Requests sent before the suspension began that fail during it do not count as further failures.
    if (suspension.active(now))
        return;
    suspension.reason = SuspensionReason::Failing;
    suspension.since = now;
    suspension.period = std::clamp(suspension.period * 2, m_settings.minSuspension, m_settings.maxSuspension);
    suspension.until = now + suspension.period;
}

void Balancer::misdirected(const ServerId& server, Instant now)
{
    const auto it = m_entries.find(server);
    if (it == m_entries.end())
        return;
    auto& suspension = it->second.suspension;
    suspension.reason = SuspensionReason::Misdirected;
    suspension.since = now;
    suspension.until = now + m_settings.maxSuspension;
}

void Balancer::full(const ServerId& server, Instant now)
{
    const auto it = m_entries.find(server);
    if (it == m_entries.end() || it->second.suspension.unreachable())
        return;
    auto& suspension = it->second.suspension;
    if (!suspension.active(now)) {
        suspension.reason = SuspensionReason::Full;
        suspension.since = now;
    }
    suspension.until = std::max(suspension.until, now + fullSuspension);
}

bool Balancer::notConnected(const ServerId& server, bool refused, Instant now)
{
    const auto it = m_entries.find(server);
    if (it == m_entries.end())
        return false;
    auto& suspension = it->second.suspension;
    const bool begins = !suspension.unreachable();
    if (begins) {
        suspension = {};
        suspension.since = now;
    }
    // Requests that were sent before the suspension began do not count as further attempts.
    if (begins || std::exchange(suspension.attempting, false)) {
        suspension.period
            = std::clamp(suspension.period * 2, m_settings.minReconnectInterval, m_settings.maxReconnectInterval);
        suspension.until = now + suspension.period;
    }
    suspension.reason = refused ? SuspensionReason::Refused : SuspensionReason::NotConnected;
    suspension.attemptedAt = now;
    return begins;
}

Duration Balancer::connected(const ServerId& server, Instant now)
{
    const auto it = m_entries.find(server);
    if (it == m_entries.end() || !it->second.suspension.unreachable())
        return {};
    const auto since = it->second.suspension.since;
    it->second.suspension = {};
    return now - since;
}

const fleet::Target* Balancer::find(const ServerId& server) const
{
    const auto it = m_entries.find(server);
    return it == m_entries.end() || it->second.withdrawn ? nullptr : &it->second.target;
}

Instant Balancer::lastProgress(const ServerId& server) const
{
    const auto it = m_entries.find(server);
    return it == m_entries.end() ? Instant {} : it->second.progressAt;
}

std::size_t Balancer::unreachable() const noexcept
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(),
        [](const auto& it) { return !it.second.withdrawn && it.second.suspension.unreachable(); }));
}

std::size_t Balancer::size() const noexcept
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(), [](const auto& it) { return !it.second.withdrawn; }));
}

} // namespace rosemarymill::dispatch
