#pragma once

#include <rosemarymill/core/base/hash.hpp>
#include <rosemarymill/core/base/id.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

/// Idempotency keys of non-idempotent calls in one process: a key runs at most once.
namespace rosemarymill::node {

/// Account and idempotency key.
using KeyId = std::pair<AccountId, std::string>;

/// State of one key.
enum class KeyState {
    /// A call runs or waits under the key.
    Running,
    Answered,
    /// The call was dispatched and its answer was lost.
    Unknown
};

/// Entry of one key.
struct KeyEntry {
    KeyState state { KeyState::Running };
    Fingerprint fingerprint;
    /// Call that runs under the key.
    CallId call;
    /// Attempt whose answer is the recorded one.
    AttemptId answer;
    /// Resends that wait for the running call.
    std::vector<CallId> resends;
};

/// What a call under a key has to do.
enum class KeyDecision {
    /// First call of the key: it runs.
    Run,
    /// Another call runs under the key; the caller gets its answer.
    Wait,
    /// The answer is recorded.
    Answered,
    Unknown,
    /// The key was used for another request.
    Reused
};

/// Table of keys.
class KeyTable {
public:
    /// Registers a call under a key.
    [[nodiscard]] KeyDecision begin(const KeyId& key, const Fingerprint& fingerprint, CallId call);

    /// Records the answer. Returns the resends that wait for it.
    [[nodiscard]] std::vector<CallId> answer(const KeyId& key, AttemptId attempt);

    /// Records that the call may have run without an answer. Returns the resends that wait for it.
    [[nodiscard]] std::vector<CallId> lose(const KeyId& key);

    /// Forgets a key whose call never reached a server. Returns the resends that wait for it.
    [[nodiscard]] std::vector<CallId> abort(const KeyId& key);

    /// Drops a resend whose caller has gone.
    void forgetResend(const KeyId& key, CallId call);

    [[nodiscard]] const KeyEntry* find(const KeyId& key) const;

private:
    std::map<KeyId, KeyEntry> m_keys;
};

} // namespace rosemarymill::node
