#pragma once

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <limits>
#include <map>
#include <vector>

namespace rosemarymill {

/// Map whose entries keep the revision that changed them last, so that only changes are distributed. The value
/// `Value {}` stands for a removed entry. Removed entries are kept up to a bound; the oldest are then forgotten, and
/// whoever holds a revision below the floor needs everything.
template <std::totally_ordered Key, std::equality_comparable Value, std::totally_ordered Revision>
requires std::default_initializable<Value> && std::default_initializable<Revision>
class VersionedMap {
public:
    /// Entry in the revision that changed it last.
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
    /// Lowest revision whose changes are all known, except for the initial one.
    [[nodiscard]] const Revision& floor() const noexcept { return m_floor; }
    [[nodiscard]] const std::map<Key, Entry>& entries() const noexcept { return m_entries; }

    /// Begins a revision, which must not be lower than the one held. The changes that follow belong to it.
    void advance(const Revision& revision) { m_revision = revision; }

    /// Sets an entry in the current revision. An equal entry keeps its revision.
    void set(const Key& key, Value value)
    {
        auto& entry = m_entries[key];
        if (entry.value == value)
            return;
        if (entry.revision != Revision {} && entry.removed())
            --m_removed;
        entry = { key, m_revision, std::move(value) };
    }

    /// Removes an entry in the current revision.
    void remove(const Key& key)
    {
        const auto it = m_entries.find(key);
        if (it == m_entries.end() || it->second.removed())
            return;
        it->second = { key, m_revision, {} };
        ++m_removed;
    }

    /// Forgets the oldest removed entries beyond the bound.
    void trim()
    {
        if (m_removed <= m_maxRemoved)
            return;
        std::vector<Revision> revisions;
        for (const auto& [key, entry] : m_entries) {
            if (entry.removed())
                revisions.push_back(entry.revision);
        }
        const auto last = revisions.begin() + static_cast<std::ptrdiff_t>(m_removed - m_maxRemoved - 1);
        std::nth_element(revisions.begin(), last, revisions.end());
        m_floor = std::max(m_floor, *last);
        m_removed -= std::erase_if(
            m_entries, [&](const auto& it) { return it.second.removed() && it.second.revision <= m_floor; });
    }

    /// Entries that changed after a revision, removed ones too. Meaningful from the floor on, and for the initial
    /// revision, after which everything counts as changed.
    [[nodiscard]] std::vector<Entry> changesSince(const Revision& revision) const
    {
        std::vector<Entry> changes;
        for (const auto& [key, entry] : m_entries) {
            if (entry.revision > revision)
                changes.push_back(entry);
        }
        return changes;
    }

    /// Applies the changes that lead from a revision to a higher one; from the initial revision they replace
    /// everything. Returns false and changes nothing when the target is not higher than the revision held, or when
    /// changes in between are missing.
    bool apply(const Revision& from, const Revision& to, const std::vector<Entry>& changes)
    {
        if (to <= m_revision || from > m_revision)
            return false;
        if (from == Revision {}) {
            m_entries.clear();
            m_removed = 0;
            m_revision = {};
        }
        for (const auto& entry : changes) {
            if (entry.revision <= m_revision)
                continue;
            auto& held = m_entries[entry.key];
            m_removed += entry.removed() ? 1 : 0;
            m_removed -= held.revision != Revision {} && held.removed() ? 1 : 0;
            held = entry;
        }
        m_revision = to;
        return true;
    }

    friend bool operator==(const VersionedMap&, const VersionedMap&) = default;

private:
    std::size_t m_maxRemoved { unlimited };
    Revision m_revision {};
    Revision m_floor {};
    std::size_t m_removed { 0 };
    std::map<Key, Entry> m_entries;
};

} // namespace rosemarymill
