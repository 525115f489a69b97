#include <rosemarymill/core/fleet/control.hpp>

#include <algorithm>

/// Forms groups from free servers of one fabric domain, and stages weights on spare servers.
namespace rosemarymill::fleet {

namespace {

/// Time for which a new leader forms only the most needed model in a domain, while servers are still being heard of.
constexpr Duration gathering = 4s;

/// Free servers that a domain keeps for repairs before it forms a further group of a model that it already serves.
constexpr std::size_t spareServers = 2;

/// Join of a server whose last group had the same model.
constexpr Duration rejoinTime = 200ms;

/// Window of the limit on loads from the weight store.
constexpr Duration loadWindow = 5s;

/// Factor on the loads that run together before clients send requests: the platform then loads faster, and loads that
/// have begun go on at that speed.
constexpr unsigned loadsBeforeTraffic = 2;

/// A second group of the less needed model in a domain is formed only above this part of the highest need.
constexpr double needTolerance = 0.8;

const routes::EngineModel* find(const routes::Engine& engine, const ModelName& name)
{
    const auto it
        = std::find_if(engine.models.begin(), engine.models.end(), [&](const auto& m) { return m.name == name; });
    return it == engine.models.end() ? nullptr : &*it;
}

} // namespace

bool Control::needsLoad(const KnownServer& server, const ModelName& model) const
{
    return server.lastModel != model && !server.record.holds(model);
}

Duration Control::joinTime(const KnownServer& server, const routes::EngineModel& model) const
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
    // The load that is under way ends first.
    return loads == model.name ? left + model.warmUp : left + model.loadTime;
}

bool Control::isFree(const KnownServer& server) const
{
    const auto& record = server.record;
    if (!isAlive(server) || isDead(server) || record.draining || m_now < server.reusableAt)
        return false;
    if (record.group && !m_groups.contains(record.group->group) && !isReleased(*record.group))
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
            && group.phase != GroupPhase::Abandoned;
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

bool Control::takeLoads(const routes::Engine& engine, unsigned count)
{
    if (count == 0)
        return true;
    const auto running = runningLoads();
    // Loads that wait for the first request would take ten times as long afterwards.
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
    // A later leader first hears which servers are in groups.
    if (!m_table || (!m_settled && m_term > 1))
        return;
    for (auto it = m_staging.begin(); it != m_staging.end();) {
        const auto* server = m_registry.find(it->first);
        const bool over = !server || isDead(*server) || server->record.holds(it->second.first)
            || m_now > it->second.second + m_settings.forgetAfter;
        it = over ? m_staging.erase(it) : std::next(it);
    }
    std::map<std::pair<ServiceName, FabricDomainId>, std::vector<KnownServer*>> domains;
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
    // Spares are loaded once all groups that can be formed have their loads.
    for (auto& [key, free] : domains) {
        const auto* service = m_table->service(key.first);
        if (service && service->engine)
            stageSpares(key.second, free, *service, effects);
    }
}

bool Control::formGroup(
    const FabricDomainId& domain, std::vector<KnownServer*>& free, const routes::Service& service, Effects& effects)
{
    auto models = service.engine->models;
    std::stable_sort(models.begin(), models.end(),
        [&](const auto& a, const auto& b) { return need(service, a) > need(service, b); });
    const auto inDomain = [&](const ModelName& model) {
        return std::any_of(m_groups.begin(), m_groups.end(), [&](const auto& it) {
            const auto* head = m_registry.find(it.second.head());
            return it.second.model == model && head && head->record.domain == domain;
        });
    };
    const auto topNeed = models.empty() ? 0 : need(service, models.front());
    for (std::size_t i = 0; i < models.size(); ++i) {
        const auto& model = models[i];
        const std::size_t size = model.groupSize;
        if (free.size() < size || (i > 0 && m_now < m_leadsSince + gathering && !inDomain(models.front().name)))
            continue;
        if (inDomain(model.name)
            && (free.size() < size + spareServers || need(service, model) < needTolerance * topNeed))
            continue;
        std::stable_sort(free.begin(), free.end(),
            [&](const auto* a, const auto* b) { return joinTime(*a, model) < joinTime(*b, model); });
        const std::span<KnownServer* const> members(free.data(), size);
        const auto loads = std::count_if(members.begin(), members.end(),
            [&](const auto* it) { return needsLoad(*it, model.name) && !m_staging.contains(it->record.id); });
        if (!takeLoads(*service.engine, static_cast<unsigned>(loads)))
            continue;
        Group group;
        m_lastEpoch = std::max(m_lastEpoch + 1, m_term << 20U);
        group.epoch = m_lastEpoch;
        group.name = "g" + std::to_string(group.epoch);
        group.service = service.name;
        log("form group", group.name,
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
    Group group, std::span<KnownServer* const> members, const routes::EngineModel& model, Effects& effects)
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
    auto& formed = m_groups.emplace(group.name, std::move(group)).first->second;
    for (std::size_t rank = 0; rank < formed.members.size(); ++rank)
        orderMember(formed, rank, OrderKind::Join, effects);
}

void Control::stageSpares(
    const FabricDomainId& domain, std::vector<KnownServer*>& free, const routes::Service& service, Effects& effects)
{
    const auto& engine = *service.engine;
    // Members in the domain for each spare that could replace one of them.
    std::map<ModelName, std::pair<double, double>> coverage;
    for (const auto& model : engine.models)
        coverage[model.name] = { 0, 1 };
    for (const auto& [name, group] : m_groups) {
        const auto* head = m_registry.find(group.head());
        if (head && head->record.domain == domain && coverage.contains(group.model))
            coverage[group.model].first += static_cast<double>(group.members.size());
    }
    for (const auto* server : free) {
        const auto staging = m_staging.find(server->record.id);
        for (auto& [model, counts] : coverage)
            counts.second
                += server->record.holds(model) || (staging != m_staging.end() && staging->second.first == model) ? 1
                                                                                                                 : 0;
    }
    for (const auto* server : free) {
        if (!server->record.staged.empty() || m_staging.contains(server->record.id))
            continue;
        const auto best = std::max_element(coverage.begin(), coverage.end(), [](const auto& a, const auto& b) {
            return a.second.first / a.second.second < b.second.first / b.second.second;
        });
        if (best == coverage.end() || best->second.first == 0 || !find(engine, best->first))
            continue;
        if (!takeLoads(engine, 1))
            return;
        best->second.second += 1;
        m_staging.emplace(server->record.id, std::make_pair(best->first, m_now));
        log("stage model", server->record.id.text(), "spare for model " + best->first.text(), effects);
        Order it;
        it.kind = OrderKind::Stage;
        it.model = best->first;
        order(server->record.id, std::move(it), effects);
    }
}

} // namespace rosemarymill::fleet
