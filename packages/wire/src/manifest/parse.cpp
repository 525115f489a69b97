#include <rosemarymill/wire/manifest/manifest.hpp>

#include <rosemarymill/wire/json/object_reader.hpp>
#include <rosemarymill/wire/json/parse.hpp>

#include <algorithm>
#include <array>
#include <string>

namespace rosemarymill::wire {

namespace {

using nlohmann::json;

constexpr std::uint64_t maxVmsPerReplica = 64;
constexpr std::uint64_t maxReplicas = 10'000;
constexpr std::uint64_t maxBytes = std::uint64_t { 1 } << 50;
constexpr std::uint64_t maxRequestsPerServer = 100'000;
constexpr std::uint64_t maxDeadlineMs = 3'600'000;
constexpr double minWeight = 0.001;
constexpr double maxWeight = 1'000'000;
constexpr std::size_t maxPathPrefixBytes = 1024;

/// Reads one manifest and collects the faults of all its parts.
class ManifestReader {
public:
    explicit ManifestReader(std::vector<JsonFault>& faults)
        : m_faults(faults)
        , m_tokenDigests(faults)
    {
    }

    configuration::Manifest read(const json& document)
    {
        ObjectReader reader(document, {}, m_faults);
        readDataCentres(reader, "data_centres", true, m_manifest.dataCentres);
        m_manifest.weightStoreBytesPerSecond = reader.integer("weight_store_bytes_per_second", 1, maxBytes);
        readModels(reader);
        readAccounts(reader);
        readDataCentres(reader, "ledger_homes", false, m_manifest.ledgerHomes);
        checkLedgerHomes(reader);
        readServices(reader);
        reader.finish();
        return std::move(m_manifest);
    }

private:
    [[nodiscard]] bool hasDataCentre(const DataCentreId& id) const
    {
        return std::find(m_manifest.dataCentres.begin(), m_manifest.dataCentres.end(), id)
            != m_manifest.dataCentres.end();
    }

    void readDataCentres(ObjectReader& reader, const std::string& key, bool required, std::vector<DataCentreId>& ids)
    {
        UniqueValues names(m_faults);
        reader.each(key, required, [&](const json& value, const std::string& path) {
            if (!value.is_string() || !isName(value.get_ref<const std::string&>())) {
                m_faults.push_back(
                    { path, excerpt(value), "must be a name of 1 to 128 letters, digits, '.', '_' or '-'" });
                return;
            }
            ids.emplace_back(value.get<std::string>());
            names.add(ids.back().text(), path, "the data centre");
        });
        if (required && ids.empty() && reader.has(key))
            reader.fault(key, "must name at least one data centre");
    }

    void checkLedgerHomes(ObjectReader& reader)
    {
        for (const auto& home : m_manifest.ledgerHomes) {
            if (!hasDataCentre(home))
                reader.fault("ledger_homes", "'" + home.text() + "' is not in data_centres");
        }
    }

    void readModels(ObjectReader& reader)
    {
        UniqueValues names(m_faults);
        reader.each("models", true, [&](const json& value, const std::string& path) {
            m_manifest.models.push_back(readModel(value, path));
            const auto& model = m_manifest.models.back();
            if (!model.name.empty() && !model.version.empty())
                names.add(model.name.text() + "@" + model.version, path, "the model's version");
        });
    }

    configuration::ModelSpec readModel(const json& value, const std::string& path)
    {
        ObjectReader reader(value, path, m_faults);
        configuration::ModelSpec model;
        // Model names often contain a slash. ':' and '@' are excluded, since they separate adapter and version in a
        // caller's request.
        model.name = ModelName { reader.name("name", "/") };
        model.version = reader.name("version");
        model.vmsPerReplica = static_cast<std::uint32_t>(reader.integer("vms_per_replica", 1, maxVmsPerReplica));
        model.weightBytes = reader.integer("weight_bytes", 0, maxBytes);
        UniqueValues adapters(m_faults);
        reader.each("adapters", false, [&](const json& it, const std::string& adapterPath) {
            ObjectReader adapter(it, adapterPath, m_faults);
            model.adapters.push_back({ adapter.name("name", "/"), adapter.name("version") });
            adapters.add(model.adapters.back().name, adapterPath, "the adapter");
            adapter.finish();
        });
        reader.eachMember("replicas", true, [&](const std::string& key, const json& it, const std::string& rangePath) {
            model.replicas[DataCentreId { key }] = readRange(key, it, rangePath);
        });
        reader.finish();
        return model;
    }

    configuration::ReplicaRange readRange(const std::string& dataCentre, const json& value, const std::string& path)
    {
        if (!hasDataCentre(DataCentreId { dataCentre }))
            m_faults.push_back({ path, excerpt(value), "'" + dataCentre + "' is not in data_centres" });
        ObjectReader reader(value, path, m_faults);
        configuration::ReplicaRange range;
        range.minimum = static_cast<std::uint32_t>(reader.integer("minimum", 0, maxReplicas));
        range.maximum = static_cast<std::uint32_t>(reader.integer("maximum", 0, maxReplicas));
        if (range.minimum > range.maximum)
            m_faults.push_back({ path, excerpt(value), "minimum must not be above maximum" });
        reader.finish();
        return range;
    }

    void readAccounts(ObjectReader& reader)
    {
        UniqueValues ids(m_faults);
        reader.each("accounts", true, [&](const json& value, const std::string& path) {
            m_manifest.accounts.push_back(readAccount(value, path));
            ids.add(m_manifest.accounts.back().id.text(), childPath(path, "id"), "the account");
        });
    }

    configuration::ClientAccount readAccount(const json& value, const std::string& path)
    {
        ObjectReader reader(value, path, m_faults);
        configuration::ClientAccount account;
        account.id = AccountId { reader.name("id") };
        account.weight = reader.number("weight", minWeight, maxWeight, 1.0);
        reader.each("token_digests", true,
            [&](const json& it, const std::string& digestPath) { readDigest(it, digestPath, account); });
        UniqueValues kinds(m_faults);
        reader.each("kinds", false, [&](const json& it, const std::string& kindPath) {
            ObjectReader kind(it, kindPath, m_faults);
            configuration::RequestKind read;
            read.name = kind.name("name");
            read.worth = kind.number("worth", 0, maxWeight, 1.0);
            read.deadline = std::chrono::milliseconds { kind.integer("deadline_ms", 0, maxDeadlineMs, 0) };
            kinds.add(read.name, childPath(kindPath, "name"), "the kind of request");
            account.kinds.push_back(std::move(read));
            kind.finish();
        });
        reader.finish();
        return account;
    }

    void readDigest(const json& value, const std::string& path, configuration::ClientAccount& account)
    {
        constexpr std::size_t digestLength = 64;
        const auto isDigit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
        const auto* text = value.is_string() ? &value.get_ref<const std::string&>() : nullptr;
        if (!text || text->size() != digestLength || !std::all_of(text->begin(), text->end(), isDigit)) {
            m_faults.push_back(
                { path, excerpt(value), "must be a SHA-256 digest of 64 lower-case hexadecimal digits" });
            return;
        }
        m_tokenDigests.add(*text, path, "the token digest");
        account.tokenDigests.push_back(*text);
    }

    void readServices(ObjectReader& reader)
    {
        UniqueValues names(m_faults);
        reader.each("services", false, [&](const json& value, const std::string& path) {
            m_manifest.services.push_back(readService(value, path));
            names.add(m_manifest.services.back().name.text(), childPath(path, "name"), "the service");
        });
    }

    configuration::ServiceSpec readService(const json& value, const std::string& path)
    {
        ObjectReader reader(value, path, m_faults);
        configuration::ServiceSpec service;
        service.name = ServiceName { reader.name("name") };
        service.maxRequests
            = static_cast<std::uint32_t>(reader.integer("max_requests", 1, maxRequestsPerServer, service.maxRequests));
        UniqueValues routes(m_faults);
        reader.each("routes", true, [&](const json& it, const std::string& routePath) {
            service.routes.push_back(readRoute(it, routePath));
            const auto& route = service.routes.back();
            if (!route.method.empty() && !route.pathPrefix.empty())
                routes.add(route.method + " " + route.pathPrefix, routePath, "the route");
        });
        reader.finish();
        return service;
    }

    configuration::Route readRoute(const json& value, const std::string& path)
    {
        static constexpr std::array<std::string_view, 6> methods { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE" };
        ObjectReader reader(value, path, m_faults);
        configuration::Route route;
        route.method = reader.text(
            "method",
            [](std::string_view it) { return std::find(methods.begin(), methods.end(), it) != methods.end(); },
            "GET, HEAD, POST, PUT, PATCH or DELETE");
        route.pathPrefix = reader.text(
            "path_prefix",
            [](std::string_view it) {
                return it.starts_with('/') && it.size() <= maxPathPrefixBytes
                    && std::all_of(it.begin(), it.end(), [](char c) { return c > ' ' && c < '\x7f'; });
            },
            "a path of printable ASCII characters that starts with '/'");
        route.idempotent = reader.boolean("idempotent");
        // Without a ledger, nothing prevents a non-idempotent call from being executed twice.
        if (value.is_object() && !route.idempotent && m_manifest.ledgerHomes.empty())
            reader.fault("idempotent", "a non-idempotent route requires at least one data centre in ledger_homes");
        reader.finish();
        return route;
    }

    std::vector<JsonFault>& m_faults;
    UniqueValues m_tokenDigests;
    configuration::Manifest m_manifest;
};

} // namespace

ParsedManifest parseManifest(std::string_view text)
{
    ParsedManifest parsed;
    if (text.size() > maxManifestBytes) {
        parsed.faults.push_back({ {}, {},
            "the manifest has " + std::to_string(text.size()) + " bytes, the limit is "
                + std::to_string(maxManifestBytes) });
        return parsed;
    }
    const auto document = parseJson(text, parsed.faults);
    if (!document)
        return parsed;
    auto manifest = ManifestReader(parsed.faults).read(*document);
    if (parsed.faults.empty())
        parsed.manifest = std::move(manifest);
    return parsed;
}

} // namespace rosemarymill::wire
