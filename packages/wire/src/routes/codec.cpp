#include <rosemarymill/wire/routes/codec.hpp>

#include <rosemarymill/wire/compress/compress.hpp>

#include <rosemarymill/core/base/sink.hpp>
#include <rosemarymill/core/routes/table.hpp>
#include <rosemarymill/wire/generated/routes_generated.hpp>

#include <algorithm>
#include <iterator>

#include <boost/outcome/try.hpp>

namespace rosemarymill::wire::routes {

namespace {

namespace core = rosemarymill::routes;
namespace fb = generated::routes;

/// Minimum size in bytes of a table and of the offset that refers to it. Bounds the number of tables in a payload.
constexpr std::size_t minTableBytes = 8;

template <typename T> std::unique_ptr<T> owned(T value) { return std::make_unique<T>(std::move(value)); }

fb::RouteT pack(const core::Route& it)
{
    fb::RouteT packed;
    packed.name = it.name;
    packed.host = it.host;
    packed.path_prefix = it.pathPrefix;
    packed.kind = static_cast<std::uint8_t>(it.kind);
    packed.timeout_us = it.timeout.count();
    packed.latency_goal_us = it.latencyGoal.count();
    packed.pause_goal_us = it.interEventLatencyGoal.count();
    packed.priority = it.priority;
    for (const auto& share : it.shares) {
        auto& added = *packed.shares.emplace_back(std::make_unique<fb::ShareT>());
        added.service = share.service.text();
        added.weight = share.weight;
    }
    packed.max_servers = it.maxServers;
    packed.is_public = it.isPublic;
    packed.resumable = it.resumable;
    return packed;
}

core::Route unpack(const fb::RouteT& it)
{
    core::Route route;
    route.name = it.name;
    route.host = it.host;
    route.pathPrefix = it.path_prefix;
    route.kind = static_cast<core::RequestKind>(it.kind);
    route.timeout = Duration { it.timeout_us };
    route.latencyGoal = Duration { it.latency_goal_us };
    route.interEventLatencyGoal = Duration { it.pause_goal_us };
    route.priority = it.priority;
    route.shares.reserve(it.shares.size());
    for (const auto& share : it.shares)
        route.shares.push_back({ ServiceName { share->service }, share->weight });
    route.maxServers = it.max_servers;
    route.isPublic = it.is_public;
    route.resumable = it.resumable;
    return route;
}

fb::EngineT pack(const core::Engine& it)
{
    fb::EngineT packed;
    packed.slots = it.slots;
    for (const auto& model : it.models) {
        auto& added = *packed.models.emplace_back(std::make_unique<fb::EngineModelT>());
        added.name = model.name.text();
        added.group_size = model.groupSize;
        added.demand_share = model.demandShare;
        added.pace = model.pace;
        added.load_time_us = model.loadTime.count();
        added.warm_up_us = model.warmUp.count();
    }
    packed.loads_per_second = it.loadsPerSecond;
    packed.concurrent_loads = it.concurrentLoads;
    packed.formation_us = it.formation.count();
    packed.step_us = it.step.count();
    packed.step_per_request_us = it.stepPerRequest.count();
    packed.steps_per_pass = it.stepsPerPass;
    packed.usual_answer = it.meanAnswerTokens;
    packed.prompt_tokens_per_second = it.promptTokensPerSecond;
    return packed;
}

core::Engine unpack(const fb::EngineT& it)
{
    core::Engine engine;
    engine.slots = it.slots;
    for (const auto& model : it.models) {
        engine.models.push_back({ ModelName { model->name }, model->group_size, model->demand_share, model->pace,
            Duration { model->load_time_us }, Duration { model->warm_up_us } });
    }
    engine.loadsPerSecond = it.loads_per_second;
    engine.concurrentLoads = it.concurrent_loads;
    engine.formation = Duration { it.formation_us };
    engine.step = Duration { it.step_us };
    engine.stepPerRequest = Duration { it.step_per_request_us };
    engine.stepsPerPass = it.steps_per_pass;
    engine.meanAnswerTokens = it.usual_answer;
    engine.promptTokensPerSecond = it.prompt_tokens_per_second;
    return engine;
}

fb::ServiceT pack(const core::Service& it)
{
    fb::ServiceT packed;
    packed.name = it.name.text();
    packed.health_path = it.healthPath;
    packed.max_connections = it.maxConnections;
    packed.cold_time_us = it.coldTime.count();
    packed.cold_rate = it.coldRate;
    if (it.engine)
        packed.engine = owned(pack(*it.engine));
    return packed;
}

core::Service unpack(const fb::ServiceT& it)
{
    core::Service service;
    service.name = ServiceName { it.name };
    service.healthPath = it.health_path;
    service.maxConnections = it.max_connections;
    service.coldTime = Duration { it.cold_time_us };
    service.coldRate = it.cold_rate;
    if (it.engine)
        service.engine = unpack(*it.engine);
    return service;
}

fb::AccountT pack(const core::Account& it)
{
    fb::AccountT packed;
    packed.id = it.id.text();
    packed.keys = it.keys;
    if (it.priority)
        packed.priority = *it.priority;
    return packed;
}

core::Account unpack(const fb::AccountT& it)
{
    core::Account account { AccountId { it.id }, it.keys, {} };
    if (it.priority)
        account.priority = *it.priority;
    return account;
}

fb::LimitsT pack(const core::Limits& it)
{
    fb::LimitsT packed;
    packed.header_bytes = it.headerBytes;
    packed.body_bytes = it.bodyBytes;
    packed.header_timeout_us = it.headerTimeout.count();
    packed.idle_timeout_us = it.idleTimeout.count();
    return packed;
}

core::Limits unpack(const fb::LimitsT& it)
{
    return { it.header_bytes, it.body_bytes, Duration { it.header_timeout_us }, Duration { it.idle_timeout_us } };
}

fb::RemovedT packRemoved(const core::DocumentEntry& entry)
{
    fb::RemovedT packed;
    packed.revision = entry.revision;
    packed.kind = static_cast<std::uint8_t>(entry.key.kind);
    packed.name = entry.key.name;
    packed.path_prefix = entry.key.pathPrefix;
    packed.occurrence = entry.key.occurrence;
    return packed;
}

/// Packs an entry that was not removed.
template <typename Part> std::unique_ptr<Part> packEntry(const core::DocumentEntry& entry, Part packed)
{
    packed.revision = entry.revision;
    packed.occurrence = entry.key.occurrence;
    return owned(std::move(packed));
}

template <typename Part> core::DocumentEntry unpackEntry(const Part& packed)
{
    auto value = unpack(packed);
    auto key = core::keyOf(value);
    key.occurrence = packed.occurrence;
    return { std::move(key), packed.revision, std::move(value) };
}

} // namespace

void encode(const core::DocumentChanges& changes, Buffer& buf)
{
    fb::ChangesT packed;
    packed.from = changes.from;
    packed.to = changes.to;
    for (const auto& entry : changes.entries) {
        std::visit(Overloaded {
                       [&](std::monostate) { packed.removed.push_back(owned(packRemoved(entry))); },
                       [&](const core::Route& it) { packed.routes.push_back(packEntry(entry, pack(it))); },
                       [&](const core::Service& it) { packed.services.push_back(packEntry(entry, pack(it))); },
                       [&](const core::Account& it) { packed.accounts.push_back(packEntry(entry, pack(it))); },
                       [&](const core::Limits& it) {
                           packed.limits = owned(pack(it));
                           packed.limits->revision = entry.revision;
                       },
                   },
            entry.value);
    }
    packTable(packed, buf);
}

Result<core::DocumentChanges> decode(std::span<const std::byte> payload)
{
    const auto maxTables = std::max(std::size_t { maxFrameTables }, payload.size() / minTableBytes);
    BOOST_OUTCOME_TRY(packed, unpackTable<fb::ChangesT>(payload, static_cast<flatbuffers::uoffset_t>(maxTables)));
    core::DocumentChanges changes { packed.from, packed.to, {} };
    auto& entries = changes.entries;
    entries.reserve(packed.routes.size() + packed.services.size() + packed.accounts.size() + packed.removed.size() + 1);
    for (const auto& it : packed.routes) {
        if (it->kind > static_cast<std::uint8_t>(core::RequestKind::Streaming))
            return DecodeError::Malformed;
        entries.push_back(unpackEntry(*it));
    }
    for (const auto& it : packed.services)
        entries.push_back(unpackEntry(*it));
    for (const auto& it : packed.accounts)
        entries.push_back(unpackEntry(*it));
    if (packed.limits)
        entries.push_back({ {}, packed.limits->revision, unpack(*packed.limits) });
    for (const auto& it : packed.removed) {
        if (it->kind > static_cast<std::uint8_t>(core::EntryKind::Limits))
            return DecodeError::Malformed;
        entries.push_back({ { static_cast<core::EntryKind>(it->kind), it->name, it->path_prefix, it->occurrence },
            it->revision, {} });
    }
    return changes;
}

Result<std::string> pack(const core::DocumentChanges& changes)
{
    Buffer buf;
    encode(changes, buf);
    return compress({ reinterpret_cast<const char*>(buf.data()), buf.size() });
}

Result<core::DocumentChanges> unpack(std::span<const std::byte> packed, std::size_t maxBytes)
{
    BOOST_OUTCOME_TRY(bytes, decompress({ reinterpret_cast<const char*>(packed.data()), packed.size() }, maxBytes));
    return decode(std::as_bytes(std::span { bytes }));
}

} // namespace rosemarymill::wire::routes
