#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/core/call/request.hpp>

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>

/// Calls in progress in one process.
namespace rosemarymill::node {

/// Attempt to run a call on a backend server.
struct Attempt {
    AttemptId id;
    ServerId server;
    bool responseStarted { false };
    bool stream { false };
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
};

/// All calls of one process.
struct Calls {
    std::unordered_map<CallId, Call> active;
    std::unordered_map<AttemptId, CallId> attempts;
    /// Calls that wait for a slot, in order of arrival.
    std::list<CallId> waiting;
    /// Requests in flight per server from this process.
    std::map<ServerId, std::uint32_t> inFlight;
    AttemptId lastAttempt;
};

} // namespace rosemarymill::node
