#pragma once

#include <rosemarymill/core/routes/document.hpp>

#include <cstddef>
#include <functional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rosemarymill::routes {

namespace detail {

/// Transparent hash, so that strings can be looked up by views.
struct TextHash {
    using is_transparent = void; // NOLINT(readability-identifier-naming): name fixed by the standard library
    std::size_t operator()(std::string_view text) const noexcept { return std::hash<std::string_view> {}(text); }
};

template <typename T> using TextMap = std::unordered_map<std::string, T, TextHash, std::equal_to<>>;

} // namespace detail

/// Index of one document for look-ups per request. It owns the document.
class Table {
public:
    explicit Table(Document document);

    [[nodiscard]] const Document& document() const noexcept { return m_document; }

    /// Route of a request, or null. The path may carry a query; the host may carry a port.
    [[nodiscard]] const Route* match(std::string_view host, std::string_view path) const;

    /// Account that holds an API key, or null.
    [[nodiscard]] const Account* accountOf(std::string_view key) const;

    /// Service by name, or null.
    [[nodiscard]] const Service* service(const ServiceName& name) const;

    /// Service for a request on a route, chosen by the weights of the route's shares and a uniformly distributed hash.
    [[nodiscard]] static const ServiceName& choose(const Route& route, std::uint64_t hash);

private:
    Document m_document;
    /// Indexes of a host's routes in the document, longest prefix first.
    detail::TextMap<std::vector<std::size_t>> m_hosts;
    detail::TextMap<std::size_t> m_keys;
    std::unordered_map<ServiceName, std::size_t> m_services;
};

} // namespace rosemarymill::routes
