#include <rosemarymill/core/configuration/entry_table.hpp>

#include <set>

namespace rosemarymill::configuration {

namespace {

constexpr const char* generalKey = "general";

std::string keyOf(const ModelSpec& it) { return "model/" + it.name.text() + "@" + it.version; }
std::string keyOf(const ClientAccount& it) { return "account/" + it.id.text(); }
std::string keyOf(const ServiceSpec& it) { return "service/" + it.name.text(); }

template <typename T> std::vector<T> valuesOf(const EntryMap& entries)
{
    std::vector<T> values;
    for (const auto& [key, entry] : entries.entries()) {
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

bool EntryTable::apply(Revision from, Revision to, const std::vector<VersionedEntry>& changes)
{
    if (!m_entries.apply(from, to, changes))
        return false;
    const auto it = m_entries.entries().find(generalKey);
    if (it != m_entries.entries().end())
        m_general = std::get<General>(it->second.value);
    return true;
}

void EntryTable::setManifest(Revision revision, const SubmitManifest& submission)
{
    const auto& manifest = submission.manifest;
    m_entries.advance(revision);
    std::set<std::string> currentKeys { generalKey };
    const auto setAll = [&](const auto& values) {
        for (const auto& value : values) {
            currentKeys.insert(keyOf(value));
            m_entries.set(keyOf(value), value);
        }
    };
    setAll(manifest.models);
    setAll(manifest.accounts);
    setAll(manifest.services);
    m_general = { manifest.dataCentres, manifest.ledgerHomes, manifest.weightStoreBytesPerSecond, revision,
        submission.submissionId, submission.digest };
    m_entries.set(generalKey, m_general);
    for (const auto& [key, entry] : m_entries.entries()) {
        if (!currentKeys.contains(key) && !std::holds_alternative<TakeOut>(entry.value))
            m_entries.remove(key);
    }
}

void EntryTable::addTakeOut(Revision revision, const TakeOut& takeOut)
{
    m_entries.advance(revision);
    m_entries.set(takeOutKey(takeOut.id), takeOut);
}

void EntryTable::removeTakeOut(Revision revision, const TakeOutId& id)
{
    m_entries.advance(revision);
    m_entries.remove(takeOutKey(id));
}

} // namespace rosemarymill::configuration
