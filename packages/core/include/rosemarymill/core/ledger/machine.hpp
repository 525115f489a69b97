#pragma once

#include <rosemarymill/core/agreement/record.hpp>
#include <rosemarymill/core/ledger/record.hpp>

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

/// Replicated state machine of a ledger home.
namespace rosemarymill::ledger {

/// Requests the reservation of a key to run a call.
struct Reserve {
    Key key;
    Fingerprint fingerprint;
    Token token;

    friend bool operator==(const Reserve&, const Reserve&) = default;
};

/// Records the answer of the call that ran with the token.
struct Complete {
    Key key;
    Token token;
    Answer answer;

    friend bool operator==(const Complete&, const Complete&) = default;
};

/// Aborts a reservation. The token's process has not dispatched the call and never will with this token.
struct Abort {
    Key key;
    Token token;

    friend bool operator==(const Abort&, const Abort&) = default;
};

/// Records that the call may have run with the token and that its answer is lost.
struct Lose {
    Key key;
    Token token;

    friend bool operator==(const Lose&, const Lose&) = default;
};

/// Advances the ledger's time. The leader proposes it at intervals; time during which there is no leader does not
/// count, so a key is never kept for less than its retention.
struct Advance {
    std::uint64_t seconds { 0 };

    friend bool operator==(const Advance&, const Advance&) = default;
};

using Command = std::variant<Reserve, Complete, Abort, Lose, Advance>;

/// Result code of a command.
enum class Decision : std::uint8_t {
    /// The token holds the reservation: its process dispatches the call once.
    Run,
    /// Another token holds the reservation.
    Running,
    Answered,
    Unknown,
    /// The key was used for another request.
    Reused,
    /// The token's reservation was aborted earlier; the token never gets one again.
    TokenAborted,
    /// The change was applied, or had been applied before.
    Done,
    /// The token does not hold the reservation, so nothing was changed.
    NotHeld
};

/// Result of applying a command.
struct Outcome {
    Decision decision { Decision::Done };
    /// Set when the decision is Answered and the body is kept.
    std::optional<Answer> answer;

    friend bool operator==(const Outcome&, const Outcome&) = default;
};

namespace detail {
/// Complete state of a machine.
struct MachineState {
    std::uint64_t now { 0 };
    std::map<Key, Record> records;

    friend bool operator==(const MachineState&, const MachineState&) = default;
};
} // namespace detail

/// State machine of one home. Applying equal commands in equal order gives equal states.
class Machine {
public:
    using Command = ledger::Command;
    using Snapshot = detail::MachineState;
    using Answer = Outcome;

    /// Applies a committed command.
    [[nodiscard]] Outcome apply(agreement::Index index, const Command& command);

    [[nodiscard]] Snapshot snapshot() const { return m_state; }
    void restore(Snapshot snapshot);

    /// Estimated encoded size of a command in bytes.
    [[nodiscard]] static std::size_t estimatedBytes(const Command& command);

    [[nodiscard]] const Record* find(const Key& key) const;
    [[nodiscard]] std::size_t size() const noexcept { return m_state.records.size(); }
    [[nodiscard]] std::size_t bodyBytes() const noexcept { return m_bodyBytes; }

    /// Keys that are reserved, in order.
    [[nodiscard]] const std::set<Key>& reserved() const noexcept { return m_reserved; }

private:
    using Expiry = std::pair<std::uint64_t, Key>;

    void expire(const Key& key);

    Outcome handle(const Reserve& command);
    Outcome handle(const Complete& command);
    Outcome handle(const Abort& command);
    Outcome handle(const Lose& command);
    Outcome handle(const Advance& command);
    Outcome reserveExisting(const Reserve& command, Record& record);
    Record* findHeldBy(const Key& key, const Token& token);
    void changeState(const Key& key, Record& record, KeyState state);
    void index(const Key& key, const Record& record);
    void unindex(const Key& key, const Record& record);
    void evictOldBodies();

    Snapshot m_state;
    std::set<Key> m_reserved;
    std::set<Expiry> m_byAge;
    /// Keys with a kept body, oldest first.
    std::set<Expiry> m_bodies;
    std::size_t m_bodyBytes { 0 };
};

} // namespace rosemarymill::ledger
