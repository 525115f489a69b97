#include <rosemarymill/wire/manifest/manifest.hpp>

#include <nlohmann/json.hpp>

namespace rosemarymill::wire {

namespace {

using nlohmann::ordered_json;

template <typename Range, typename Convert> ordered_json arrayOf(const Range& range, Convert convert)
{
    auto array = ordered_json::array();
    for (const auto& it : range)
        array.push_back(convert(it));
    return array;
}

ordered_json toJson(const configuration::ModelSpec& model)
{
    auto replicas = ordered_json::object();
    for (const auto& [dataCentre, range] : model.replicas)
        replicas[dataCentre.text()] = { { "minimum", range.minimum }, { "maximum", range.maximum } };
    const auto adapter = [](const auto& it) { return ordered_json { { "name", it.name }, { "version", it.version } }; };
    return { { "name", model.name.text() }, { "version", model.version }, { "vms_per_replica", model.vmsPerReplica },
        { "weight_bytes", model.weightBytes }, { "adapters", arrayOf(model.adapters, adapter) },
        { "replicas", std::move(replicas) } };
}

ordered_json toJson(const configuration::ClientAccount& account)
{
    const auto kind = [](const auto& it) {
        const auto deadline = std::chrono::duration_cast<std::chrono::milliseconds>(it.deadline).count();
        return ordered_json { { "name", it.name }, { "worth", it.worth }, { "deadline_ms", deadline } };
    };
    return { { "id", account.id.text() }, { "weight", account.weight }, { "token_digests", account.tokenDigests },
        { "kinds", arrayOf(account.kinds, kind) } };
}

ordered_json toJson(const configuration::ServiceSpec& service)
{
    const auto route = [](const auto& it) {
        return ordered_json { { "method", it.method }, { "path_prefix", it.pathPrefix },
            { "idempotent", it.idempotent } };
    };
    return { { "name", service.name.text() }, { "max_requests", service.maxRequests },
        { "routes", arrayOf(service.routes, route) } };
}

} // namespace

std::string formatManifest(const configuration::Manifest& manifest, int indent)
{
    const auto text = [](const auto& it) { return it.text(); };
    const auto object = [](const auto& it) { return toJson(it); };
    const ordered_json document { { "data_centres", arrayOf(manifest.dataCentres, text) },
        { "weight_store_bytes_per_second", manifest.weightStoreBytesPerSecond },
        { "models", arrayOf(manifest.models, object) }, { "accounts", arrayOf(manifest.accounts, object) },
        { "services", arrayOf(manifest.services, object) }, { "ledger_homes", arrayOf(manifest.ledgerHomes, text) } };
    return document.dump(indent);
}

} // namespace rosemarymill::wire
