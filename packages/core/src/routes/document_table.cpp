#include <rosemarymill/core/routes/document_table.hpp>

#include <rosemarymill/core/base/sink.hpp>

#include <algorithm>
#include <iterator>
#include <map>

namespace rosemarymill::routes {

namespace {

std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
        [](unsigned char it) { return static_cast<char>(it >= 'A' && it <= 'Z' ? it + ('a' - 'A') : it); });
    return text;
}

} // namespace

EntryKey keyOf(const Route& it) { return { EntryKind::Route, toLower(it.host), it.pathPrefix, 0 }; }
EntryKey keyOf(const Service& it) { return { EntryKind::Service, it.name.text(), {}, 0 }; }
EntryKey keyOf(const Account& it) { return { EntryKind::Account, it.id.text(), {}, 0 }; }

bool DocumentTable::replace(const Document& document)
{
    if (document.version <= version())
        return false;
    m_entries.advance(document.version);
    std::map<EntryKey, std::uint32_t> occurrences;
    const auto set = [&](EntryKey key, EntryValue value) {
        key.occurrence = occurrences[key]++;
        m_entries.set(key, std::move(value));
    };
    for (const auto& it : document.routes)
        set(keyOf(it), it);
    for (const auto& it : document.services)
        set(keyOf(it), it);
    for (const auto& it : document.accounts)
        set(keyOf(it), it);
    set({}, document.limits);
    for (const auto& [key, entry] : m_entries.entries()) {
        const auto it = occurrences.find({ key.kind, key.name, key.pathPrefix, 0 });
        if (it == occurrences.end() || key.occurrence >= it->second)
            m_entries.remove(key);
    }
    m_entries.trim();
    recordVersion();
    return true;
}

void DocumentTable::recordVersion()
{
    m_versions.insert(version());
    m_versions.erase(m_versions.begin(), m_versions.lower_bound(m_entries.floor()));
    if (m_versions.size() > maxVersions)
        m_versions.erase(m_versions.begin());
}

std::size_t DocumentTable::versionsBetween(std::uint64_t from, std::uint64_t to) const
{
    if (to <= from)
        return 0;
    return static_cast<std::size_t>(std::distance(m_versions.upper_bound(from), m_versions.lower_bound(to)));
}

DocumentChanges DocumentTable::changesSince(std::uint64_t version) const
{
    const auto from = baseOf(version);
    DocumentChanges changes { from, this->version(), m_entries.changesSince(from) };
    if (from == 0)
        std::erase_if(changes.entries, [](const auto& it) { return it.removed(); });
    return changes;
}

bool DocumentTable::apply(const DocumentChanges& changes)
{
    if ((changes.from != 0 && changes.from != version()) || !m_entries.apply(changes.from, changes.to, changes.entries))
        return false;
    m_entries.trim();
    if (changes.from == 0)
        m_versions.clear();
    recordVersion();
    return true;
}

Document DocumentTable::document() const
{
    Document document;
    document.version = version();
    for (const auto& [key, entry] : m_entries.entries()) {
        std::visit(Overloaded {
                       [](std::monostate) {},
                       [&](const Route& it) { document.routes.push_back(it); },
                       [&](const Service& it) { document.services.push_back(it); },
                       [&](const Account& it) { document.accounts.push_back(it); },
                       [&](const Limits& it) { document.limits = it; },
                   },
            entry.value);
    }
    return document;
}

} // namespace rosemarymill::routes
