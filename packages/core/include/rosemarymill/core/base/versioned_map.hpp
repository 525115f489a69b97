#pragma once

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <limits>
#include <map>
#include <vector>

namespace rosemarymill {

/// Map that stores with each entry the revision of its last change, so that only changes are distributed. The value
/// `Value {}` represents a removed entry. Removed entries are kept up to a bound, beyond which the oldest are dropped;
/// a copy with a revision below floor() then needs all entries instead of the changes.
template <std::totally_ordered Key, std::equality_comparable Value, std::totally_ordered Revision>
requires std::default_initializable<Value> && std::default_initializable<Revision>
class VersionedMap {
public:
    /// Entry with the revision of its last change.
    struct Entry {
        Key key;
        Revision revision {};
        Value value {};

        [[nodiscard]] bool removed() const { return value == Value {}; }

        friend bool operator==(const Entry&, const Entry&) = default;
    };

    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    VersionedMap() = default;
    explicit VersionedMap(std::size_t maxRemoved)
        : m_maxRemoved(maxRemoved)
    {
    }

    [[nodiscard]] const Revision& revision() const noexcept { return m_revision; }
    /// Lowest revision since which all changes are available, apart from the initial revision.
    [[nodiscard]] const Revision& floor() const noexcept { return m_floor; }
    [[nodiscard]] const std::map<Key, Entry>& entries() const noexcept { return m_entries; }

    /// Starts a revision, which must not be lower than the current one. The changes that follow belong to it.
    void advance(const Revision& revision) { m_revision = revision; }

    /// Sets an entry in the current revision. An equal entry keeps its revision.
    void set(const Key& key, Value value)
    {
        auto& entry = m_entries[key];
        if (entry.value == value)
            return;
        if (entry.revision != Revision {} && entry.removed())
            --m_removedCount;
        entry = { key, m_revision, std::move(value) };
    }

    /// Removes an entry in the current revision.
    void remove(const Key& key)
    {
        const auto it = m_entries.find(key);
        if (it == m_entries.end() || it->second.removed())
            return;
        it->second = { key, m_revision, {} };
        ++m_removedCount;
    }

    /// Drops the oldest removed entries beyond the bound and raises floor() to the newest revision dropped.
    void trim()
    {
        if (m_removedCount <= m_maxRemoved)
            return;
        std::vector<Revision> revisions;
        for (const auto& [key, entry] : m_entries) {
            if (entry.removed())
                revisions.push_back(entry.revision);
        }
        const auto last = revisions.begin() + static_cast<std::ptrdiff_t>(m_removedCount - m_maxRemoved - 1);
        std::nth_element(revisions.begin(), last, revisions.end());
        m_floor = std::max(m_floor, *last);
        m_removedCount -= std::erase_if(
            m_entries, [&](const auto& it) { return it.second.removed() && it.second.revision <= m_floor; });
    }

    /// Entries that changed after a revision, including removed ones. Complete only from floor() on, and for the
    /// initial revision, after which all entries count as changed.
    [[nodiscard]] std::vector<Entry> changesSince(const Revision& revision) const
    {
        std::vector<Entry> changes;
        for (const auto& [key, entry] : m_entries) {
            if (entry.revision > revision)
                changes.push_back(entry);
        }
        return changes;
    }

    /// Applies the changes between two revisions; changes from the initial revision replace the whole content. Returns
    /// false and changes nothing when `to` is not higher than the current revision, or when `from` is higher than it,
    /// so that changes in between are missing.
    bool apply(const Revision& from, const Revision& to, const std::vector<Entry>& changes)
    {
        if (to <= m_revision || from > m_revision)
            return false;
        if (from == Revision {}) {
            m_entries.clear();
            m_removedCount = 0;
            m_revision = {};
        }
        for (const auto& entry : changes) {
            if (entry.revision <= m_revision)
                continue;
            auto& existing = m_entries[entry.key];
            m_removedCount += entry.removed() ? 1 : 0;
            m_removedCount -= existing.revision != Revision {} && existing.removed() ? 1 : 0;
            existing = entry;
        }
        m_revision = to;
        return true;
    }

    friend bool operator==(const VersionedMap&, const VersionedMap&) = default;

private:
    std::size_t m_maxRemoved { unlimited };
    Revision m_revision {};
    Revision m_floor {};
    std::size_t m_removedCount { 0 };
    std::map<Key, Entry> m_entries;
};

} // namespace rosemarymill
