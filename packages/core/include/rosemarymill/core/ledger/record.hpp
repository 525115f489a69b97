#pragma once

#include <rosemarymill/core/base/hash.hpp>
#include <rosemarymill/core/base/id.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

/// Ledger record of one idempotency key.
namespace rosemarymill::ledger {

/// Client account and the idempotency key that its caller chose.
struct Key {
    AccountId account;
    std::string text;

    friend auto operator<=>(const Key&, const Key&) = default;
    friend bool operator==(const Key&, const Key&) = default;
};

/// Identifies one attempt to run a call: the process that would dispatch it and a number unique within that process.
struct Token {
    VmId vm;
    BootId boot;
    std::uint64_t number { 0 };

    friend auto operator<=>(const Token&, const Token&) = default;
    friend bool operator==(const Token&, const Token&) = default;
};

/// Response of the plain service.
struct Answer {
    int status { 0 };
    std::string contentType;
    std::string body;

    friend bool operator==(const Answer&, const Answer&) = default;
};

/// State of a key. A key that is absent or Aborted can be reserved.
enum class KeyState : std::uint8_t {
    /// The token's process may dispatch the call.
    Reserved,
    Answered,
    /// The token's process aborted the reservation without dispatching the call.
    Aborted,
    /// The call may have run and its answer is lost.
    Unknown
};

/// Record of one key.
struct Record {
    KeyState state { KeyState::Reserved };
    Fingerprint fingerprint;
    Token token;
    Answer answer;
    /// Whether the answer's body was dropped to stay within the ledger's memory budget.
    bool bodyDropped { false };
    /// Ledger time in seconds at the last change.
    std::uint64_t changedAt { 0 };

    friend bool operator==(const Record&, const Record&) = default;
};

/// Largest body that is kept. An answer with a longer body reaches its caller, but not a resend.
inline constexpr std::size_t maxKeptBodyBytes = 256 * 1024;

/// Total size of the bodies kept over all keys of a home. The oldest are dropped first.
inline constexpr std::size_t keptBodiesBudgetBytes = 16 * 1024 * 1024;

/// Ledger time for which a key is kept.
inline constexpr std::uint64_t retentionSeconds = 24 * 60 * 60;

} // namespace rosemarymill::ledger
