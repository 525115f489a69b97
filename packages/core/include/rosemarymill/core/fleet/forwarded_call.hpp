#pragma once

#include <cstdint>
#include <string>

/// Calls of operators that a VM forwards to the leader for its caller.
namespace rosemarymill::fleet {

/// An operator's HTTP call as it was received.
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

/// Number of a call, unique in the process that received it from the caller.
using CallId = std::uint64_t;

/// Asks the leader whether it accepts a call now. Sent ahead of the call, so that a call that was delayed on the way is
/// not executed after its caller has timed out.
struct CallOffer {
    CallId id { 0 };
    /// Length of the call's body.
    std::uint64_t bytes { 0 };

    friend bool operator==(const CallOffer&, const CallOffer&) = default;
};

/// The leader accepts the call if it arrives within the ticket's lifetime.
struct CallTicket {
    CallId id { 0 };

    friend bool operator==(const CallTicket&, const CallTicket&) = default;
};

/// The call itself, sent in response to a ticket.
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
