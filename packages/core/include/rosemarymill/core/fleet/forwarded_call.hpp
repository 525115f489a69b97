#pragma once

#include <cstdint>
#include <string>

/// Calls of operators that a VM forwards to the leader for its caller.
namespace rosemarymill::fleet {

/// A call as it arrived.
struct ControlCall {
    std::string method;
    std::string path;
    std::string body;

    friend bool operator==(const ControlCall&, const ControlCall&) = default;
};

/// Answer to a call.
struct ControlAnswer {
    unsigned status { 503 };
    std::string body;

    friend bool operator==(const ControlAnswer&, const ControlAnswer&) = default;
};

/// Number of a call, unique in the process that took it.
using CallId = std::uint64_t;

/// Asks the leader to take a call now. Sent ahead of the call, so that one that waited on the way is not executed
/// after its caller has left.
struct CallOffer {
    CallId id { 0 };
    /// Length of the call's body.
    std::uint64_t bytes { 0 };

    friend bool operator==(const CallOffer&, const CallOffer&) = default;
};

/// The leader takes the call if it arrives soon.
struct CallTicket {
    CallId id { 0 };

    friend bool operator==(const CallTicket&, const CallTicket&) = default;
};

/// Answers a ticket with the call.
struct ForwardedCall {
    CallId id { 0 };
    ControlCall call;

    friend bool operator==(const ForwardedCall&, const ForwardedCall&) = default;
};

/// The leader's answer to a forwarded call.
struct ForwardedAnswer {
    CallId id { 0 };
    ControlAnswer answer;

    friend bool operator==(const ForwardedAnswer&, const ForwardedAnswer&) = default;
};

} // namespace rosemarymill::fleet
