#include <rosemarymill/core/routes/table.hpp>

#include <algorithm>

namespace rosemarymill::routes {

namespace {

std::string_view withoutPort(std::string_view host) noexcept
{
    const auto colon = host.rfind(':');
    return colon == std::string_view::npos || host.ends_with(']') ? host : host.substr(0, colon);
}

std::string toLower(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(),
        [](unsigned char it) { return static_cast<char>(it >= 'A' && it <= 'Z' ? it + ('a' - 'A') : it); });
    return result;
}

} // namespace

Table::Table(Document document)
    : m_document(std::move(document))
{
    const auto& routes = m_document.routes;
    for (std::size_t i = 0; i < routes.size(); ++i)
        m_hosts[toLower(routes[i].host)].push_back(i);
    for (auto& [host, positions] : m_hosts) {
        std::sort(positions.begin(), positions.end(),
            [&](auto a, auto b) { return routes[a].pathPrefix.size() > routes[b].pathPrefix.size(); });
    }
    for (std::size_t i = 0; i < m_document.accounts.size(); ++i) {
        for (const auto& key : m_document.accounts[i].keys)
            m_keys.emplace(key, i);
    }
    for (std::size_t i = 0; i < m_document.services.size(); ++i)
        m_services.emplace(m_document.services[i].name, i);
}

const Route* Table::match(std::string_view host, std::string_view path) const
{
    const auto name = withoutPort(host);
    auto it = m_hosts.find(name);
    if (it == m_hosts.end())
        it = m_hosts.find(toLower(name));
    if (it == m_hosts.end())
        return nullptr;
    path = path.substr(0, path.find('?'));
    for (const auto i : it->second) {
        if (path.starts_with(m_document.routes[i].pathPrefix))
            return &m_document.routes[i];
    }
    return nullptr;
}

const Account* Table::accountOf(std::string_view key) const
{
    const auto it = m_keys.find(key);
    return it == m_keys.end() ? nullptr : &m_document.accounts[it->second];
}

const Service* Table::service(const ServiceName& name) const
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : &m_document.services[it->second];
}

const ServiceName& Table::choose(const Route& route, std::uint64_t hash)
{
    double total = 0;
    for (const auto& it : route.shares)
        total += it.weight;
    constexpr double hashRange = 18446744073709551616.0; // 2^64
    double position = static_cast<double>(hash) / hashRange * total;
    for (const auto& it : route.shares) {
        if (position < it.weight)
            return it.service;
        position -= it.weight;
    }
    const auto positive
        = std::find_if(route.shares.rbegin(), route.shares.rend(), [](const auto& it) { return it.weight > 0; });
    return positive->service;
}

} // namespace rosemarymill::routes
