#pragma once

#include <rosemarymill/core/base/versioned_map.hpp>
#include <rosemarymill/core/routes/document.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Routing document as versioned entries, so that entry VMs receive only changes.
namespace rosemarymill::routes {

enum class EntryKind : std::uint8_t { Route, Service, Account, Limits };

/// Key of an entry.
struct EntryKey {
    EntryKind kind { EntryKind::Limits };
    /// Host in lower case, name of the service or account; empty for the limits.
    std::string name;
    /// Set only for routes.
    std::string pathPrefix;
    /// Index among the entries with equal members above, in document order.
    std::uint32_t occurrence { 0 };

    friend auto operator<=>(const EntryKey&, const EntryKey&) = default;
    friend bool operator==(const EntryKey&, const EntryKey&) = default;
};

/// Key of a part of the document, with occurrence 0.
[[nodiscard]] EntryKey keyOf(const Route& it);
[[nodiscard]] EntryKey keyOf(const Service& it);
[[nodiscard]] EntryKey keyOf(const Account& it);

using EntryValue = std::variant<std::monostate, Route, Service, Account, Limits>;
using EntryMap = VersionedMap<EntryKey, EntryValue, std::uint64_t>;

/// Part of the document, with the version that last changed it. A removed entry has no value.
using DocumentEntry = EntryMap::Entry;

/// Entries that changed between two versions. Changes from version 0 contain the whole document.
struct DocumentChanges {
    std::uint64_t from { 0 };
    std::uint64_t to { 0 };
    std::vector<DocumentEntry> entries;

    friend bool operator==(const DocumentChanges&, const DocumentChanges&) = default;
};

/// Document as a map of entries, each with the version that last changed it.
class DocumentTable {
public:
    /// Maximum number of removed entries that are kept.
    static constexpr std::size_t maxRemoved = 4096;
    /// Maximum number of versions from which changes can be computed.
    static constexpr std::size_t maxVersions = 4096;

    /// Current version; 0 means that the table is empty.
    [[nodiscard]] std::uint64_t version() const noexcept { return m_entries.revision(); }

    /// Replaces the document. Returns false and changes nothing unless its version is higher than the current one.
    bool replace(const Document& document);

    /// Version from which to send changes to a receiver that has version `held`: the same version, or 0 if changes from
    /// it cannot be computed here.
    [[nodiscard]] std::uint64_t baseOf(std::uint64_t held) const { return m_versions.contains(held) ? held : 0; }

    /// Number of versions of this table after `from` and before `to`.
    [[nodiscard]] std::size_t versionsBetween(std::uint64_t from, std::uint64_t to) const;

    /// Changes from `version` to the current one, or the whole document if they cannot be computed here.
    [[nodiscard]] DocumentChanges changesSince(std::uint64_t version) const;

    /// Applies changes. Returns false and changes nothing if they do not lead to a higher version, or start from a
    /// version other than 0 and the current one.
    bool apply(const DocumentChanges& changes);

    /// The document, with routes ordered by host and prefix, services and accounts by name. Entries that are equal in
    /// these keep their order, so that look-ups return the same results as in the original document.
    [[nodiscard]] Document document() const;

private:
    void recordVersion();

    EntryMap m_entries { maxRemoved };
    std::set<std::uint64_t> m_versions;
};

} // namespace rosemarymill::routes
