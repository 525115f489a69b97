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
    /// Time from the dispatch to the start of the response.
    Duration firstResponse { 0 };
    /// Tokens reserved in the server's token memory.
    std::uint64_t tokens { 0 };
    /// The server runs no other request meanwhile, because this one is suspected of crashing servers.
    bool alone { false };
};

/// Call from arrival to its final answer.
struct Call {
    CallId id;
    AccountId account;
    call::Request request;
    Instant arrivedAt;
    /// Instant by which the answer must have started; absent without a deadline.
    std::optional<Instant> deadline;
    std::optional<Attempt> attempt;
    bool responseBegun { false };
    /// Index of the first token event that was not sent to the caller.
    std::uint64_t nextToken { 0 };
    /// Second attempt of a lookup whose first attempt is slow.
    std::optional<Attempt> hedge;
    /// Key of the pool of equivalent servers.
    std::string pool;
    bool idempotent { true };
    double weight { 1.0 };
    double worth { 1.0 };
    /// Estimated cost in tokens, as charged to the account.
    double cost { 1.0 };
    /// At least one byte of the request may have reached a backend server.
    bool mayHaveRun { false };
    std::uint32_t attemptCount { 0 };
    /// The caller closed its connection. The call continues, because its answer must be recorded under its key.
    bool callerDisconnected { false };
    /// The call waits for the ledger to reserve its key and must not be dispatched before.
    bool keyPending { false };
};

/// All calls of one process.
struct Calls {
    std::unordered_map<CallId, Call> active;
    std::unordered_map<AttemptId, CallId> attempts;
    AttemptId lastAttempt;
    /// Number of calls that arrived since the start, which gives the order of arrival.
    std::uint64_t arrivals { 0 };
};

} // namespace rosemarymill::node
