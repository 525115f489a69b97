#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/core/call/request.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

/// Calls in progress in one process.
namespace rosemarymill::node {

/// Attempt to run a call on a backend server, or in another data centre when `dataCentre` is set.
struct Attempt {
    AttemptId id;
    ServerId server;
    bool responseStarted { false };
    bool stream { false };
    DataCentreId dataCentre;
    BootId bootId;
    Instant dispatchedAt;
    /// Time from the dispatch to the start of the answer.
    Duration firstResponse { 0 };
    /// Token memory taken at the server.
    std::uint64_t tokens { 0 };
    /// The server runs nothing else.
    bool alone { false };
};

/// Call from arrival to its final answer.
struct Call {
    CallId id;
    AccountId account;
    call::Request request;
    Instant arrivedAt;
    /// Start of the answer expected by then; absent without a deadline.
    std::optional<Instant> deadline;
    std::optional<Attempt> attempt;
    bool responseBegun { false };
    /// Index of the next token event that the caller has not been sent.
    std::uint64_t nextToken { 0 };
    /// Second attempt of a lookup that is late.
    std::optional<Attempt> hedge;
    /// Key of the pool of equivalent servers.
    std::string pool;
    bool idempotent { true };
    double weight { 1.0 };
    double worth { 1.0 };
    /// Estimated cost in tokens that the account was charged.
    double cost { 1.0 };
    /// A byte of the call can have reached a backend server.
    bool mayHaveRun { false };
    std::uint32_t attemptCount { 0 };
    /// The caller closed its connection; the call runs on because its key has to be settled.
    bool callerDisconnected { false };
    /// The call waits for the ledger's decision on its key and must not be dispatched.
    bool keyPending { false };
};

/// All calls of one process.
struct Calls {
    std::unordered_map<CallId, Call> active;
    std::unordered_map<AttemptId, CallId> attempts;
    AttemptId lastAttempt;
    /// Arrivals so far, for the order of arrival.
    std::uint64_t arrivals { 0 };
};

} // namespace rosemarymill::node
