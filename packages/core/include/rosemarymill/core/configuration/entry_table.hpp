#pragma once

#include <rosemarymill/core/base/versioned_map.hpp>
#include <rosemarymill/core/configuration/command.hpp>

#include <string>
#include <variant>
#include <vector>

/// The configuration as versioned entries, so that only changed entries are distributed.
namespace rosemarymill::configuration {

/// Parts of the manifest that belong to no single entry, and the submission that it came from.
struct General {
    std::vector<DataCentreId> dataCentres;
    std::vector<DataCentreId> ledgerHomes;
    std::uint64_t weightStoreBytesPerSecond { 0 };
    /// Revision created by the manifest.
    Revision manifestRevision;
    std::string submissionId;
    std::string digest;

    friend bool operator==(const General&, const General&) = default;
};

using EntryValue = std::variant<std::monostate, General, ModelSpec, ClientAccount, ServiceSpec, TakeOut>;

using EntryMap = VersionedMap<std::string, EntryValue, Revision>;

/// Entry with the revision that changed it last. A removed entry has no value.
using VersionedEntry = EntryMap::Entry;

/// All entries of the configuration.
class EntryTable {
public:
    [[nodiscard]] Revision revision() const noexcept { return m_entries.revision(); }
    [[nodiscard]] const General& general() const noexcept { return m_general; }
    [[nodiscard]] Manifest manifest() const;
    [[nodiscard]] std::vector<TakeOut> takeOuts() const;

    /// Entries that changed after a revision.
    [[nodiscard]] std::vector<VersionedEntry> changesSince(Revision revision) const
    {
        return m_entries.changesSince(revision);
    }

    /// Applies the entries that changed between two revisions. Returns false and changes nothing when `to` is not above
    /// the table's revision, or when changes between the table's revision and `from` are missing.
    bool apply(Revision from, Revision to, const std::vector<VersionedEntry>& changes);

    /// Replaces the manifest in a new revision. Entries that are equal keep their revision.
    void setManifest(Revision revision, const SubmitManifest& submission);
    void addTakeOut(Revision revision, const TakeOut& takeOut);
    void removeTakeOut(Revision revision, const TakeOutId& id);

    friend bool operator==(const EntryTable&, const EntryTable&) = default;

private:
    General m_general;
    /// Includes all removed entries, without a limit. Snapshots of the log contain them, too.
    EntryMap m_entries;
};

/// Key of a take-out in the table.
[[nodiscard]] std::string takeOutKey(const TakeOutId& id);

} // namespace rosemarymill::configuration
