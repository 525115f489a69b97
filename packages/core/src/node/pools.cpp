#include "call_handlers.hpp"

#include <algorithm>

namespace rosemarymill::node {

namespace {

/// Output tokens assumed for a request without a limit.
constexpr std::uint64_t defaultOutputTokens = 1024;

bool groupInService(const State& state, const placement::Group& group)
{
    return std::all_of(group.members.begin(), group.members.end(), [&](const auto& member) {
        return lifecycle::inService(state.policy.outOfServiceSet, state.settings.dataCentre, member.vm);
    });
}

void addServer(
    State& state, const ServerId& server, GroupId group, FencingNumber fencing, std::vector<PoolServer>& servers)
{
    const auto it = state.policy.directory.find(server);
    if (it == state.policy.directory.end())
        return;
    const auto& located = it->second;
    if (located.entry.leaving
        || !lifecycle::inService(state.policy.outOfServiceSet, state.settings.dataCentre, located.entry.vm))
        return;
    auto& lease = state.policy.leases[server];
    admission::setHome(lease, located.home, located.entry.bootId, state.now);
    servers.push_back({ server, &located, group, fencing, &lease, located.home == state.settings.vm });
}

} // namespace

PoolTarget poolTarget(const call::Request& request)
{
    PoolTarget target;
    target.target = request.target;
    if (request.target == call::Target::Service) {
        target.service = request.service;
    } else {
        target.model = request.model;
        target.version = request.version;
    }
    return target;
}

std::string poolKey(const PoolTarget& target)
{
    if (target.target == call::Target::Service)
        return "service/" + target.service.text();
    return "model/" + target.model.text() + "@" + target.version;
}

std::vector<PoolServer> poolServers(State& state, const PoolTarget& target)
{
    std::vector<PoolServer> servers;
    if (target.target == call::Target::Service) {
        const auto it = state.policy.services.find(target.service);
        if (it != state.policy.services.end()) {
            for (const auto& server : it->second)
                addServer(state, server, {}, {}, servers);
        }
        return servers;
    }
    for (const auto& [id, group] : state.groups) {
        const bool matches = group.phase == placement::GroupPhase::Serving && group.model == target.model
            && (target.version.empty() || group.version == target.version);
        if (matches && groupInService(state, group))
            addServer(state, group.members.front().server, id, group.fencing, servers);
    }
    return servers;
}

void updateServerLocation(State& state, const VmId& home, const admission::DigestEntry& entry, Instant lastAnnounced)
{
    auto& policy = state.policy;
    const auto it = policy.directory.find(entry.server);
    if (it != policy.directory.end()) {
        if (it->second.home != home && lastAnnounced < it->second.lastAnnounced)
            return;
        if (it->second.entry.service != entry.service)
            removeServer(state, entry.server);
    }
    if (entry.kind == backend::Kind::Service)
        policy.services[entry.service].insert(entry.server);
    policy.directory[entry.server] = { home, lastAnnounced, entry };
}

void removeServer(State& state, const ServerId& server)
{
    auto& policy = state.policy;
    const auto it = policy.directory.find(server);
    if (it == policy.directory.end())
        return;
    if (const auto service = policy.services.find(it->second.entry.service); service != policy.services.end())
        service->second.erase(server);
    policy.directory.erase(it);
}

std::uint64_t tokenNeed(const Call& call)
{
    if (call.request.target == call::Target::Service)
        return 0;
    const auto output = call.request.maxOutputTokens == 0 ? defaultOutputTokens : call.request.maxOutputTokens;
    return call.request.promptTokens + output;
}

} // namespace rosemarymill::node
