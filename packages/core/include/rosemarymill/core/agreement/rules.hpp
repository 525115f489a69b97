#pragma once

/// Rules of the replicated log that its safety rests on. They are a policy so that tests can break one rule at a time
/// and show that their checkers notice.
namespace rosemarymill::agreement {

/// The rules in force.
struct StandardRules {
    /// A voter votes for one candidate per term.
    static constexpr bool oneVotePerTerm = true;
    /// A leader counts replicas only for entries of its own term. Entries of earlier terms commit with them.
    static constexpr bool commitsOnlyOwnTerm = true;
    /// Promises wait until the records they rest on are synced.
    static constexpr bool syncsBeforeSending = true;
    /// An entry is applied only after its commit mark is synced, so a restart never shows an older state.
    static constexpr bool appliesOnlyDurable = true;
    /// The vote of a voter that lost its disk counts only when every voter grants it.
    static constexpr bool distrustsLostDisks = true;
    /// One voter is added or removed at a time, so that the majorities before and after share a voter.
    static constexpr bool changesOneVoterAtOnce = true;
};

} // namespace rosemarymill::agreement
