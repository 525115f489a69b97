#pragma once

#include <rosemarymill/core/agreement/record.hpp>

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace rosemarymill::agreement {

/// Entries of a log in memory. Entries up to `base` are dropped and covered by the snapshot.
template <typename Command, typename Snapshot> class Log {
public:
    explicit Log(const PersistedState<Command, Snapshot>& persistedState)
        : m_snapshot(persistedState.snapshot)
        , m_entries(persistedState.entries.begin(), persistedState.entries.end())
    {
        if (m_snapshot) {
            m_base = m_snapshot->index;
            m_baseTerm = m_snapshot->term;
        }
    }

    [[nodiscard]] Index base() const noexcept { return m_base; }
    [[nodiscard]] Index lastIndex() const noexcept { return m_base + m_entries.size(); }
    [[nodiscard]] Term lastTerm() const noexcept { return m_entries.empty() ? m_baseTerm : m_entries.back().term; }
    [[nodiscard]] const std::optional<LogSnapshot<Snapshot>>& snapshot() const noexcept { return m_snapshot; }
    [[nodiscard]] Index snapshotIndex() const noexcept { return m_snapshot ? m_snapshot->index : 0; }
    [[nodiscard]] const Entry<Command>& at(Index index) const noexcept { return m_entries[index - m_base - 1]; }

    /// Term of an entry; empty when the log does not hold the entry.
    [[nodiscard]] std::optional<Term> termAt(Index index) const noexcept
    {
        if (index < m_base || index > lastIndex())
            return std::nullopt;
        return index == m_base ? m_baseTerm : at(index).term;
    }

    void append(Entry<Command> entry) { m_entries.push_back(std::move(entry)); }

    void truncateFrom(Index index)
    {
        if (index <= lastIndex())
            m_entries.resize(index > m_base ? index - m_base - 1 : 0);
    }

    /// Last index before `index` with another term; a follower returns it as a hint for log repair.
    [[nodiscard]] Index beforeTermOf(Index index) const noexcept
    {
        const auto term = at(index).term;
        while (index > m_base && at(index).term == term)
            --index;
        return index;
    }

    /// Replaces the snapshot by one of the applied state and drops the entries before it except the last `trailing`.
    void compact(LogSnapshot<Snapshot> snapshot, std::uint64_t trailing)
    {
        const auto target = snapshot.index > trailing ? snapshot.index - trailing : 0;
        if (target > m_base) {
            m_baseTerm = *termAt(target);
            m_entries.erase(m_entries.begin(), m_entries.begin() + static_cast<std::ptrdiff_t>(target - m_base));
            m_base = target;
        }
        m_snapshot = std::move(snapshot);
    }

    /// Installs a snapshot of the leader. Later entries are kept only when the log holds the snapshot's last entry.
    void install(LogSnapshot<Snapshot> snapshot)
    {
        if (termAt(snapshot.index) == snapshot.term) {
            compact(std::move(snapshot), 0);
            return;
        }
        m_entries.clear();
        m_base = snapshot.index;
        m_baseTerm = snapshot.term;
        m_snapshot = std::move(snapshot);
    }

private:
    std::optional<LogSnapshot<Snapshot>> m_snapshot;
    std::deque<Entry<Command>> m_entries;
    Index m_base { 0 };
    Term m_baseTerm { 0 };
};

} // namespace rosemarymill::agreement
