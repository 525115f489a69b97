#pragma once

#include <rosemarymill/core/agreement/log.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace rosemarymill::agreement {

/// Voters of a replicated log: those of the latest entry that lists voters, committed or not, otherwise those of the
/// snapshot, otherwise the founding voters.
class VoterSet {
public:
    explicit VoterSet(std::vector<VmId> founding)
        : m_founding(std::move(founding))
        , m_members(m_founding)
    {
    }

    [[nodiscard]] const std::vector<VmId>& members() const noexcept { return m_members; }
    [[nodiscard]] bool contains(const VmId& vm) const { return contains(m_members, vm); }
    /// Number of voters that form a quorum.
    [[nodiscard]] std::size_t majority() const noexcept { return m_members.size() / 2 + 1; }
    /// Index of the entry that lists the voters; the snapshot's index, or 0, when no entry does.
    [[nodiscard]] Index index() const noexcept { return m_index; }

    /// Sets the voters to those as of the log's last entry.
    template <typename Command, typename Snapshot> void update(const Log<Command, Snapshot>& log)
    {
        m_index = indexAt(log, log.lastIndex());
        m_members = at(log, log.lastIndex());
    }

    /// Voters as of an entry of the log.
    template <typename Command, typename Snapshot>
    [[nodiscard]] std::vector<VmId> at(const Log<Command, Snapshot>& log, Index index) const
    {
        const auto votersIndex = indexAt(log, index);
        if (votersIndex > log.base() && !log.at(votersIndex).voters.empty())
            return log.at(votersIndex).voters;
        const auto& snapshot = log.snapshot();
        return snapshot && !snapshot->voters.empty() ? snapshot->voters : m_founding;
    }

    /// Number of voters that are in only one of the two sets.
    [[nodiscard]] std::size_t differences(const std::vector<VmId>& other) const
    {
        const auto missing = [](const auto& from, const auto& in) {
            return std::count_if(from.begin(), from.end(), [&](const auto& it) { return !contains(in, it); });
        };
        return static_cast<std::size_t>(missing(other, m_members) + missing(m_members, other));
    }

    [[nodiscard]] static bool contains(const std::vector<VmId>& voters, const VmId& vm)
    {
        return std::find(voters.begin(), voters.end(), vm) != voters.end();
    }

private:
    template <typename Command, typename Snapshot>
    [[nodiscard]] static Index indexAt(const Log<Command, Snapshot>& log, Index index)
    {
        for (; index > log.base(); --index) {
            if (!log.at(index).voters.empty())
                return index;
        }
        return log.snapshotIndex();
    }

    std::vector<VmId> m_founding;
    std::vector<VmId> m_members;
    Index m_index { 0 };
};

} // namespace rosemarymill::agreement
