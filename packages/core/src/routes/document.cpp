#include <rosemarymill/core/routes/document.hpp>

#include <map>
#include <set>
#include <utility>

namespace rosemarymill::routes {

namespace {

std::string pathOf(const char* list, std::size_t position, const char* field)
{
    return std::string("/") + list + '/' + std::to_string(position) + '/' + field;
}

void validateRoute(
    const Route& route, std::size_t position, const std::set<ServiceName>& services, std::vector<Fault>& faults)
{
    const auto fault = [&](const char* field, std::string value, const char* rule) {
        faults.push_back({ pathOf("routes", position, field), std::move(value), rule });
    };
    double total = 0;
    for (const auto& share : route.shares) {
        if (!services.contains(share.service))
            fault("service", share.service.text(), "must name a service of the document");
        if (share.weight < 0)
            fault("weight", std::to_string(share.weight), "must not be negative");
        total += share.weight;
    }
    if (!(total > 0))
        fault("weight", std::to_string(total), "weights must add up to more than 0");
    if (route.timeout <= Duration::zero())
        fault("timeout", std::to_string(route.timeout / 1ms), "must be more than 0 ms");
    if (!route.pathPrefix.starts_with('/') || !route.pathPrefix.ends_with('/'))
        fault("path", route.pathPrefix, "must begin and end with a slash");
}

} // namespace

std::vector<Fault> validate(const Document& document)
{
    std::vector<Fault> faults;
    std::set<ServiceName> services;
    for (std::size_t i = 0; i < document.services.size(); ++i) {
        if (!services.insert(document.services[i].name).second)
            faults.push_back({ pathOf("services", i, "name"), document.services[i].name.text(), "must be unique" });
    }
    std::set<std::pair<std::string, std::string>> prefixes;
    for (std::size_t i = 0; i < document.routes.size(); ++i) {
        const auto& route = document.routes[i];
        validateRoute(route, i, services, faults);
        if (!prefixes.emplace(route.host, route.pathPrefix).second)
            faults.push_back(
                { pathOf("routes", i, "path"), route.host + route.pathPrefix, "host and prefix must be unique" });
    }
    std::map<std::string, AccountId> owners;
    for (std::size_t i = 0; i < document.accounts.size(); ++i) {
        const auto& account = document.accounts[i];
        for (const auto& key : account.keys) {
            const auto [it, added] = owners.emplace(key, account.id);
            if (!added && it->second != account.id)
                faults.push_back(
                    { pathOf("accounts", i, "keys"), account.id.text(), "an API key must belong to one account" });
        }
    }
    return faults;
}

} // namespace rosemarymill::routes
