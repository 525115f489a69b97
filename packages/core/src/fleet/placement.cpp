#include <rosemarymill/core/fleet/control.hpp>

#include <algorithm>

/// Forms groups from free servers of one fabric domain, and stages weights on spare servers.
namespace rosemarymill::fleet {

namespace {

/// Time for which a new leader forms only groups of the first model by need in a domain that does not serve it yet,
/// while heartbeats of further servers are still arriving.
constexpr Duration discoveryTime = 4s;

/// Free servers that remain in a domain as spares when a further group of a model that it already serves is formed.
constexpr std::size_t spareServers = 2;

/// Join time of a server whose last group had the same model.
constexpr Duration rejoinTime = 200ms;

/// Time after which a spare that has not reported a model is ordered again to load or start it: about twice the start
/// time of a model whose weights its host holds.
constexpr Duration spareRetry = 4s;

/// Time window of the rate limit on loads from the weight store.
constexpr Duration loadWindow = 5s;

/// Factor on the limit of concurrent loads before clients send requests: the platform loads faster then, and loads that
/// were started then continue at that speed.
constexpr unsigned loadsBeforeTraffic = 2;

/// A further group of a model in a domain is formed only if its need is at least this fraction of the highest need.
constexpr double needTolerance = 0.8;

/// Models that a domain does not serve yet and whose need is at least this fraction of the highest need come first,
/// those with larger groups before those with smaller ones, which fit into the servers that remain.
constexpr double firstNeedTolerance = 0.5;

const routes::EngineModel* find(const routes::Engine& engine, const ModelName& name)
{
    const auto it
        = std::find_if(engine.models.begin(), engine.models.end(), [&](const auto& m) { return m.name == name; });
    return it == engine.models.end() ? nullptr : &*it;
}

} // namespace

bool Control::needsLoad(const RegisteredServer& server, const ModelName& model) const
{
    return server.lastModel != model && !server.record.holds(model);
}

Duration Control::joinTime(const RegisteredServer& server, const routes::EngineModel& model) const
{
    if (server.lastModel == model.name)
        return rejoinTime;
    if (server.record.holds(model.name))
        return model.warmUp;
    const auto staging = m_staging.find(server.record.id);
    if (staging == m_staging.end())
        return model.loadTime;
    const auto& [loads, since] = staging->second;
    const auto left = std::max(model.loadTime - (m_now - since), Duration::zero());
    // The running load has to end first.
    return loads == model.name ? left + model.warmUp : left + model.loadTime;
}

bool Control::isFree(const RegisteredServer& server) const
{
    const auto& record = server.record;
    if (!isAlive(server) || isDead(server) || record.draining)
        return false;
    if (record.group && !record.group->isStandby() && !m_groups.contains(record.group->group)
        && !isReleased(*record.group))
        return false;
    if (headServesAfterRelease(server))
        return false;
    for (const auto& [name, group] : m_groups) {
        if (std::find(group.members.begin(), group.members.end(), record.id) != group.members.end())
            return false;
    }
    return true;
}

double Control::need(const routes::Service& service, const routes::EngineModel& model) const
{
    const auto serving = std::count_if(m_groups.begin(), m_groups.end(), [&](const auto& it) {
        const auto& group = it.second;
        return group.service == service.name && group.model == model.name && group.phase != GroupPhase::Closing
            && group.phase != GroupPhase::HeadUnreachable;
    });
    return model.demandShare / static_cast<double>(model.groupSize) / (static_cast<double>(serving) + 1);
}

unsigned Control::runningLoads() const
{
    std::size_t loads = m_staging.size();
    for (const auto& [name, group] : m_groups)
        loads += group.phase == GroupPhase::Joining ? group.loading.size() : 0;
    return static_cast<unsigned>(loads);
}

std::uint64_t Control::nextEpoch() const { return std::max(m_lastEpoch + 1, m_term << 20U); }

bool Control::reserveLoads(const routes::Engine& engine, unsigned count)
{
    if (count == 0)
        return true;
    const auto running = runningLoads();
    // A load that is deferred until clients send requests takes ten times as long.
    const auto concurrent = engine.concurrentLoads * (m_traffic ? 1 : loadsBeforeTraffic);
    if (engine.concurrentLoads > 0 && running >= concurrent)
        return false;
    while (!m_loadStarts.empty() && m_now >= m_loadStarts.front() + loadWindow)
        m_loadStarts.pop_front();
    const auto seconds = std::chrono::duration<double>(loadWindow).count();
    if (m_traffic && engine.loadsPerSecond > 0
        && static_cast<double>(m_loadStarts.size() + count) > engine.loadsPerSecond * seconds)
        return false;
    if (m_traffic)
        m_loadStarts.insert(m_loadStarts.end(), count, m_now);
    return true;
}

void Control::formGroups(Effects& effects)
{
    // A leader after the first one waits for heartbeats that report which servers are in groups.
    if (!m_table || (m_term > 1 && m_now < m_leadsSince + m_settings.formationDelay))
        return;
    for (auto it = m_staging.begin(); it != m_staging.end();) {
        auto* server = m_registry.find(it->first);
        const bool loaded = server && server->record.holds(it->second.first);
        if (loaded)
            server->stageOrderedAt = {};
        const bool over = !server || loaded || isDead(*server) || m_now > it->second.second + m_settings.removeAfter;
        it = over ? m_staging.erase(it) : std::next(it);
    }
    std::map<std::pair<ServiceName, FabricDomainId>, std::vector<RegisteredServer*>> domains;
    for (auto& [id, server] : m_registry.servers()) {
        if (isFree(server))
            domains[{ server.record.service, server.record.domain }].push_back(&server);
    }
    for (auto& [key, free] : domains) {
        const auto* service = m_table->service(key.first);
        if (!service || !service->engine)
            continue;
        while (formGroup(key.second, free, *service, effects)) { }
    }
    // Loads for spares come after the loads of all groups that can be formed.
    for (auto& [key, free] : domains) {
        const auto* service = m_table->service(key.first);
        if (!service || !service->engine)
            continue;
        stageSpares(key.second, free, *service, effects);
        startSpares(free, *service, effects);
    }
}

bool Control::servesIn(const FabricDomainId& domain, const ModelName& model) const
{
    return std::any_of(m_groups.begin(), m_groups.end(), [&](const auto& it) {
        const auto* head = m_registry.find(it.second.head());
        return it.second.phase != GroupPhase::HeadUnreachable && it.second.model == model && head
            && head->record.domain == domain;
    });
}

std::vector<routes::EngineModel> Control::modelsByNeed(
    const FabricDomainId& domain, const routes::Service& service) const
{
    auto models = service.engine->models;
    // A document may state a group size of 0; no group can serve such a model.
    std::erase_if(models, [](const auto& it) { return it.groupSize == 0; });
    std::stable_sort(models.begin(), models.end(),
        [&](const auto& a, const auto& b) { return need(service, a) > need(service, b); });
    if (models.empty())
        return models;
    const auto least = firstNeedTolerance * need(service, models.front());
    const auto missing = std::stable_partition(models.begin(), models.end(),
        [&](const auto& it) { return !servesIn(domain, it.name) && need(service, it) >= least; });
    std::stable_sort(models.begin(), missing, [](const auto& a, const auto& b) { return a.groupSize > b.groupSize; });
    return models;
}

bool Control::formGroup(const FabricDomainId& domain, std::vector<RegisteredServer*>& free,
    const routes::Service& service, Effects& effects)
{
    const auto models = modelsByNeed(domain, service);
    double topNeed = 0;
    for (const auto& it : models)
        topNeed = std::max(topNeed, need(service, it));
    for (std::size_t i = 0; i < models.size(); ++i) {
        const auto& model = models[i];
        const std::size_t size = model.groupSize;
        if (free.size() < size
            || (i > 0 && m_now < m_leadsSince + discoveryTime && !servesIn(domain, models.front().name)))
            continue;
        if (servesIn(domain, model.name)
            && (free.size() < size + spareServers || need(service, model) < needTolerance * topNeed))
            continue;
        std::stable_sort(free.begin(), free.end(),
            [&](const auto* a, const auto* b) { return joinTime(*a, model) < joinTime(*b, model); });
        const std::span<RegisteredServer* const> members(free.data(), size);
        const auto loads = std::count_if(members.begin(), members.end(),
            [&](const auto* it) { return needsLoad(*it, model.name) && !m_staging.contains(it->record.id); });
        if (!reserveLoads(*service.engine, static_cast<unsigned>(loads)))
            continue;
        Group group;
        m_lastEpoch = nextEpoch();
        group.epoch = m_lastEpoch;
        group.name = "g" + std::to_string(group.epoch);
        group.service = service.name;
        log("started forming group", group.name,
            "model " + model.name.text() + " in domain " + domain.text() + ", loads " + std::to_string(loads)
                + ", free servers left " + std::to_string(free.size() - size),
            effects);
        startGroup(std::move(group), members, model, effects);
        free.erase(free.begin(), free.begin() + static_cast<std::ptrdiff_t>(size));
        return true;
    }
    return false;
}

void Control::startGroup(
    Group group, std::span<RegisteredServer* const> members, const routes::EngineModel& model, Effects& effects)
{
    group.model = model.name;
    group.since = m_now;
    group.orderedAt.resize(members.size());
    const auto slowest = joinTime(*members.back(), model);
    group.readyBy = m_now + slowest * (slowest > model.warmUp ? 2 : 1);
    for (const auto* it : members) {
        group.members.push_back(it->record.id);
        if (needsLoad(*it, model.name))
            group.loading.push_back(it->record.id);
    }
    for (const auto& it : group.members)
        m_staging.erase(it);
    storeGroup(m_groups.emplace(group.name, std::move(group)).first->second, false, effects);
}

bool Control::stage(RegisteredServer& server, const ModelName& model, const routes::Engine& engine, Effects& effects)
{
    if (!reserveLoads(engine, 1))
        return false;
    server.stageOrderedAt = m_now;
    m_staging.emplace(server.record.id, std::make_pair(model, m_now));
    log("ordered spare to stage model", server.record.id.text(), "spare for model " + model.text(), effects);
    Order it;
    it.kind = OrderKind::Stage;
    it.model = model;
    order(server.record.id, std::move(it), effects);
    return true;
}

void Control::stageSpares(const FabricDomainId& domain, const std::vector<RegisteredServer*>& free,
    const routes::Service& service, Effects& effects)
{
    const auto& engine = *service.engine;
    struct Coverage {
        double members { 0 };
        /// Spares that can join as fast as a former member, or will once they have loaded and started the model.
        double spares { 0 };
    };
    std::map<ModelName, Coverage> coverage;
    for (const auto& [name, group] : m_groups) {
        const auto* head = m_registry.find(group.head());
        if (head && head->record.domain == domain && find(engine, group.model))
            coverage[group.model].members += static_cast<double>(group.members.size());
    }
    if (coverage.empty())
        return;
    const auto startableModel = [&](const RegisteredServer& server) {
        const auto staging = m_staging.find(server.record.id);
        if (!server.lastModel.empty())
            return server.lastModel;
        if (!server.record.staged.empty())
            return server.record.staged.back();
        return staging == m_staging.end() ? ModelName {} : staging->second.first;
    };
    for (const auto* server : free) {
        if (const auto it = coverage.find(startableModel(*server)); it != coverage.end())
            ++it->second.spares;
    }
    const auto least = [](const auto& a, const auto& b) {
        const auto left = a.second.members / (a.second.spares + 1);
        const auto right = b.second.members / (b.second.spares + 1);
        return left != right ? left < right : a.second.spares > b.second.spares;
    };
    for (auto* server : free) {
        // A host that is still loading a model for an earlier leader rejects the order, so it is repeated only after
        // `spareRetry`.
        if (m_staging.contains(server->record.id) || m_now < server->stageOrderedAt + spareRetry)
            continue;
        if (startableModel(*server).empty()) {
            const auto it = std::max_element(coverage.begin(), coverage.end(), least);
            if (!stage(*server, it->first, engine, effects))
                return;
            ++it->second.spares;
            continue;
        }
        // A spare that has started one model also stages another one: the one with the most members in the domain.
        if (server->lastModel.empty())
            continue;
        const auto other = std::max_element(coverage.begin(), coverage.end(), [&](const auto& a, const auto& b) {
            const auto membersOf
                = [&](const auto& it) { return it.first == server->lastModel ? -1 : it.second.members; };
            return membersOf(a) < membersOf(b);
        });
        if (other->first != server->lastModel && !server->record.holds(other->first)
            && !stage(*server, other->first, engine, effects))
            return;
    }
}

void Control::startSpares(const std::vector<RegisteredServer*>& free, const routes::Service& service, Effects& effects)
{
    for (auto* server : free) {
        const auto& staged = server->record.staged;
        if (staged.empty() || !server->lastModel.empty() || !find(*service.engine, staged.back())
            || m_now < server->startOrderedAt + spareRetry)
            continue;
        server->startOrderedAt = m_now;
        m_lastEpoch = nextEpoch();
        Order it;
        it.kind = OrderKind::Join;
        it.epoch = m_lastEpoch;
        it.group = std::string(Membership::standbyPrefix) + std::to_string(it.epoch);
        it.model = staged.back();
        it.members = { server->record.id };
        log("ordered spare to start", server->record.id.text(), "its host holds model " + it.model.text(), effects);
        order(server->record.id, std::move(it), effects);
    }
}

} // namespace rosemarymill::fleet
