#include <rosemarymill/core/configuration/entry_table.hpp>

#include <algorithm>
#include <set>

namespace rosemarymill::configuration {

namespace {

constexpr const char* generalKey = "general";

std::string keyOf(const ModelSpec& it) { return "model/" + it.name.text() + "@" + it.version; }
std::string keyOf(const ClientAccount& it) { return "account/" + it.id.text(); }
std::string keyOf(const ServiceSpec& it) { return "service/" + it.name.text(); }

template <typename T> std::vector<T> valuesOf(const std::map<std::string, VersionedEntry>& entries)
{
    std::vector<T> values;
    for (const auto& [key, entry] : entries) {
        if (const auto* value = std::get_if<T>(&entry.value))
            values.push_back(*value);
    }
    return values;
}

} // namespace

std::string takeOutKey(const TakeOutId& id)
{
    return "take-out/" + id.origin.text() + "/" + id.issuer.text() + "/" + std::to_string(id.counter);
}

Manifest EntryTable::manifest() const
{
    return { m_general.dataCentres, valuesOf<ModelSpec>(m_entries), valuesOf<ClientAccount>(m_entries),
        valuesOf<ServiceSpec>(m_entries), m_general.ledgerHomes, m_general.weightStoreBytesPerSecond };
}

std::vector<TakeOut> EntryTable::takeOuts() const { return valuesOf<TakeOut>(m_entries); }

std::vector<VersionedEntry> EntryTable::changesSince(Revision revision) const
{
    std::vector<VersionedEntry> changes;
    for (const auto& [key, entry] : m_entries) {
        if (entry.revision > revision)
            changes.push_back(entry);
    }
    return changes;
}

bool EntryTable::apply(Revision from, Revision to, const std::vector<VersionedEntry>& changes)
{
    if (to <= m_revision || from > m_revision)
        return false;
    for (const auto& entry : changes) {
        if (entry.revision <= m_revision)
            continue;
        m_entries[entry.key] = entry;
        if (const auto* general = std::get_if<General>(&entry.value))
            m_general = *general;
    }
    m_revision = to;
    return true;
}

void EntryTable::setManifest(Revision revision, const SubmitManifest& submission)
{
    const auto& manifest = submission.manifest;
    std::set<std::string> kept { generalKey };
    const auto setAll = [&](const auto& values) {
        for (const auto& value : values) {
            kept.insert(keyOf(value));
            set(revision, keyOf(value), value);
        }
    };
    setAll(manifest.models);
    setAll(manifest.accounts);
    setAll(manifest.services);
    m_general = { manifest.dataCentres, manifest.ledgerHomes, manifest.weightStoreBytesPerSecond, revision,
        submission.submissionId, submission.digest };
    set(revision, generalKey, m_general);
    for (const auto& [key, entry] : m_entries) {
        if (!kept.contains(key) && !std::holds_alternative<TakeOut>(entry.value))
            remove(revision, key);
    }
}

void EntryTable::addTakeOut(Revision revision, const TakeOut& takeOut)
{
    set(revision, takeOutKey(takeOut.id), takeOut);
}

void EntryTable::removeTakeOut(Revision revision, const TakeOutId& id)
{
    remove(revision, takeOutKey(id));
    m_revision = revision;
}

void EntryTable::set(Revision revision, const std::string& key, EntryValue value)
{
    m_revision = revision;
    auto& entry = m_entries[key];
    if (entry.value != value)
        entry = { key, revision, std::move(value) };
}

void EntryTable::remove(Revision revision, const std::string& key)
{
    const auto it = m_entries.find(key);
    if (it != m_entries.end() && !std::holds_alternative<std::monostate>(it->second.value))
        it->second = { key, revision, {} };
}

} // namespace rosemarymill::configuration
