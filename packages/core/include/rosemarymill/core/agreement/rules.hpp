#pragma once

/// Safety rules of the replicated log. They are a policy class, so that tests can break one rule at a time and verify
/// that their checkers detect it.
namespace rosemarymill::agreement {

/// Rules that the system runs with.
struct StandardRules {
    /// A voter votes for one candidate per term.
    static constexpr bool oneVotePerTerm = true;
    /// A leader counts replicas only for entries of its own term. Entries of earlier terms commit with them.
    static constexpr bool commitsOnlyOwnTerm = true;
    /// Vote requests (except preliminary ones), vote replies and acknowledgements are sent only after the records they
    /// depend on are synced.
    static constexpr bool syncsBeforeSending = true;
    /// An entry is applied only after the commit index that covers it is synced, so a restart never exposes an older
    /// state.
    static constexpr bool appliesOnlyDurable = true;
    /// The vote of a voter that lost its disk counts only when every voter grants it.
    static constexpr bool requiresUnanimityForLostDisks = true;
    /// One voter is added or removed at a time, so that the majorities before and after share a voter.
    static constexpr bool changesOneVoterAtOnce = true;
};

} // namespace rosemarymill::agreement
