#pragma once

#include <rosemarymill/core/base/id.hpp>

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

/// Persisted state of a voter of a replicated log.
namespace rosemarymill::agreement {

namespace detail {
struct LogTag;
} // namespace detail

/// Name of a log: `configuration` or `ledger-<data centre>`.
using LogId = Name<detail::LogTag>;

/// Position of an entry. The first entry has index 1.
using Index = std::uint64_t;

/// Period with at most one leader.
using Term = std::uint64_t;

/// Entry of the log. The first entry of a leader's term has no command and lists the voters.
template <typename Command> struct Entry {
    Index index { 0 };
    Term term { 0 };
    std::optional<Command> command;
    /// Voters in effect from this entry on; empty when the entry does not list them. An entry with voters has no
    /// command.
    std::vector<VmId> voters {};

    friend bool operator==(const Entry&, const Entry&) = default;
};

/// State of the state machine after the entry at `index`.
template <typename Snapshot> struct LogSnapshot {
    Index index { 0 };
    Term term { 0 };
    Snapshot state;
    /// Voters after the entry; empty when they are still those of the settings.
    std::vector<VmId> voters {};

    friend bool operator==(const LogSnapshot&, const LogSnapshot&) = default;
};

/// Incarnation of a process at its next start: the number of starts on the data folder in the upper 48 bits and a
/// random nonce of the start in the lower 16 bits.
[[nodiscard]] constexpr std::uint64_t nextIncarnation(std::uint64_t last, std::uint64_t nonce) noexcept
{
    return ((last >> 16) + 1) << 16 | (nonce & 0xffff);
}

/// Whether a process runs on an old copy of its data folder: its number of starts is not above that of the incarnation
/// seen before, and the incarnations differ.
[[nodiscard]] constexpr bool isOutdated(std::uint64_t incarnation, std::uint64_t seen) noexcept
{
    return incarnation != seen && (incarnation >> 16) <= (seen >> 16);
}

/// Small part of the persisted state, rewritten as a whole.
struct HardState {
    Term term { 0 };
    /// Candidate voted for in this term; empty when no vote was given.
    VmId vote;
    /// Highest index known to be committed. After a restart only entries up to it are applied.
    Index commit { 0 };
    /// Incarnation of the process on this data folder, see nextIncarnation.
    std::uint64_t incarnation { 0 };
    /// Whether this voter has led, or has caught up with a leader, since its data folder was created. The vote of any
    /// other voter counts only when every voter grants its vote.
    bool joined { false };

    friend bool operator==(const HardState&, const HardState&) = default;
};

/// One atomic change of the persisted state.
template <typename Command, typename Snapshot> struct Record {
    HardState hard;
    /// Replaces the snapshot. The entries up to its index are no longer needed.
    std::optional<LogSnapshot<Snapshot>> snapshot;
    /// All entries from this index on are removed before the new ones are appended.
    std::optional<Index> truncateFrom;
    std::vector<Entry<Command>> entries;

    friend bool operator==(const Record&, const Record&) = default;
};

/// Persisted state that a voter reads from its disk at start.
template <typename Command, typename Snapshot> struct PersistedState {
    HardState hard;
    std::optional<LogSnapshot<Snapshot>> snapshot;
    /// Consecutive entries after the snapshot.
    std::vector<Entry<Command>> entries;
    /// A record in the synced part cannot be read. The voter neither votes nor acknowledges entries.
    bool damaged { false };

    friend bool operator==(const PersistedState&, const PersistedState&) = default;
};

/// Applies a record to a persisted state. Storage replays its log with this function.
template <typename Command, typename Snapshot>
void applyRecord(PersistedState<Command, Snapshot>& persistedState, const Record<Command, Snapshot>& record)
{
    persistedState.hard = record.hard;
    auto& entries = persistedState.entries;
    if (record.truncateFrom)
        std::erase_if(entries, [&](const auto& it) { return it.index >= *record.truncateFrom; });
    if (record.snapshot) {
        persistedState.snapshot = record.snapshot;
        std::erase_if(entries, [&](const auto& it) { return it.index <= record.snapshot->index; });
    }
    entries.insert(entries.end(), record.entries.begin(), record.entries.end());
}

} // namespace rosemarymill::agreement
