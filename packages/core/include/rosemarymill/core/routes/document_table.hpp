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

/// The document as entries with versions, so that entry VMs get only what changed.
namespace rosemarymill::routes {

enum class EntryKind : std::uint8_t { Route, Service, Account, Limits };

/// Identity of an entry.
struct EntryKey {
    EntryKind kind { EntryKind::Limits };
    /// Host in lower case, name of the service or account; empty for the limits.
    std::string name;
    /// Only for routes.
    std::string pathPrefix;
    /// Counts entries that are equal in the members above, in the order of the document.
    std::uint32_t occurrence { 0 };

    friend auto operator<=>(const EntryKey&, const EntryKey&) = default;
    friend bool operator==(const EntryKey&, const EntryKey&) = default;
};

/// Identity of a part of the document, as the first one of its kind and names.
[[nodiscard]] EntryKey keyOf(const Route& it);
[[nodiscard]] EntryKey keyOf(const Service& it);
[[nodiscard]] EntryKey keyOf(const Account& it);

using EntryValue = std::variant<std::monostate, Route, Service, Account, Limits>;
using EntryMap = VersionedMap<EntryKey, EntryValue, std::uint64_t>;

/// Part of the document in the version that changed it last. A removed entry has no value.
using DocumentEntry = EntryMap::Entry;

/// Entries that changed between two versions. From version 0 they are the whole document.
struct DocumentChanges {
    std::uint64_t from { 0 };
    std::uint64_t to { 0 };
    std::vector<DocumentEntry> entries;

    friend bool operator==(const DocumentChanges&, const DocumentChanges&) = default;
};

/// Document by entries, with the version that changed each of them last.
class DocumentTable {
public:
    /// Most removed entries that are kept.
    static constexpr std::size_t maxRemoved = 4096;
    /// Most versions from which changes are known.
    static constexpr std::size_t maxVersions = 4096;

    /// Version held; 0 means none.
    [[nodiscard]] std::uint64_t version() const noexcept { return m_entries.revision(); }

    /// Takes over a document. Returns false and changes nothing when its version is not higher than the one held.
    bool replace(const Document& document);

    /// Version from which changes lead to the one held, for a receiver that holds this version: the same, or 0 when the
    /// version is not known here.
    [[nodiscard]] std::uint64_t baseOf(std::uint64_t held) const { return m_versions.contains(held) ? held : 0; }

    /// Number of versions that this table held between two versions.
    [[nodiscard]] std::size_t versionsBetween(std::uint64_t from, std::uint64_t to) const;

    /// Changes that lead from a version to the one held, or the whole document when the version is not known here.
    [[nodiscard]] DocumentChanges changesSince(std::uint64_t version) const;

    /// Applies changes. Returns false and changes nothing when they do not lead to a higher version, or start from a
    /// version that is not held.
    bool apply(const DocumentChanges& changes);

    /// The document, with routes ordered by host and prefix, services and accounts by name. Entries that are equal in
    /// these keep their order, so that look-ups find the same as in the document that was taken over.
    [[nodiscard]] Document document() const;

private:
    void noteVersion();

    EntryMap m_entries { maxRemoved };
    std::set<std::uint64_t> m_versions;
};

} // namespace rosemarymill::routes
