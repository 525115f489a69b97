#include <rosemarymill/wire/manifest/reader.hpp>

#include <nlohmann/json.hpp>

namespace rosemarymill::wire {

namespace {

using nlohmann::json;

configuration::ModelSpec readModel(const json& it)
{
    configuration::ModelSpec model;
    model.name = ModelName { it.at("name").get<std::string>() };
    model.version = it.at("version").get<std::string>();
    model.vmsPerReplica = it.value("vms_per_replica", 1U);
    for (const auto& [name, range] : it.at("replicas").items())
        model.replicas[DataCentreId { name }]
            = { range.at("minimum").get<std::uint32_t>(), range.at("maximum").get<std::uint32_t>() };
    return model;
}

configuration::ServiceSpec readService(const json& it)
{
    configuration::ServiceSpec service;
    service.name = ServiceName { it.at("name").get<std::string>() };
    for (const auto& route : it.at("routes"))
        service.routes.push_back({ route.at("method").get<std::string>(), route.at("path_prefix").get<std::string>(),
            route.value("idempotent", false) });
    service.maxRequests = it.value("max_requests", 16U);
    return service;
}

} // namespace

std::optional<configuration::Manifest> readManifest(std::string_view text)
{
    try {
        const auto document = json::parse(text);
        configuration::Manifest manifest;
        for (const auto& it : document.at("data_centres"))
            manifest.dataCentres.emplace_back(it.get<std::string>());
        for (const auto& it : document.at("models"))
            manifest.models.push_back(readModel(it));
        for (const auto& it : document.at("accounts")) {
            configuration::ClientAccount account;
            account.id = AccountId { it.at("id").get<std::string>() };
            account.tokenDigests = it.at("token_digests").get<std::vector<std::string>>();
            manifest.accounts.push_back(std::move(account));
        }
        for (const auto& it : document.at("services"))
            manifest.services.push_back(readService(it));
        return manifest;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace rosemarymill::wire
