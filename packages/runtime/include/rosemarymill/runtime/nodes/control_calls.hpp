#pragma once

#include <rosemarymill/core/fleet/call_forwarder.hpp>
#include <rosemarymill/core/fleet/message.hpp>
#include <rosemarymill/runtime/metrics/summary.hpp>

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>

namespace rosemarymill::runtime::nodes {

/// Calls of operators that this VM has taken. It has them carried out here while it leads, and carries them to the
/// leader otherwise.
class ControlCalls {
public:
    /// Receives the answer to a call, once. Not called after callerDisconnected().
    using ReplyHandler = std::function<void(const fleet::ControlAnswer&)>;
    /// Executes a call on the leader.
    using Execute = std::function<void(const fleet::ControlCall&, ReplyHandler)>;
    /// Sends a message to the leader.
    using SendToLeader = std::function<void(const fleet::Message&)>;

    explicit ControlCalls(SendToLeader send);

    /// Sets what executes calls. VMs that never lead have none.
    void onExecute(Execute execute) { m_execute = std::move(execute); }

    /// Takes a call. The body is as it was submitted.
    fleet::CallId take(fleet::ControlCall call, ReplyHandler answered);
    /// The caller of a call has left.
    void callerDisconnected(fleet::CallId id);

    /// Executes a call that another VM has forwarded here.
    void execute(const fleet::ControlCall& call, ReplyHandler answered);

    /// This VM leads from now on, or no longer does.
    void setLeads(bool leads);
    /// Whether the leader is connected, when this VM does not lead.
    void setConnected(bool connected);
    void receive(const fleet::CallTicket& ticket);
    void receive(fleet::ForwardedAnswer answer);
    void tick(Instant now);

    /// Whether calls are not answered yet.
    [[nodiscard]] bool waiting() const noexcept { return !m_callers.empty(); }

    void writeMetrics(std::ostream& out) const;

private:
    struct Caller {
        /// Fingerprint of method, path and body, which an operator's repetitions of one order share.
        std::string order;
        ReplyHandler answered;
    };

    void post(const fleet::ForwarderEvent& event);
    void executeEffect(fleet::ForwarderEffect& effect);
    void answer(
        fleet::CallId id, const fleet::ControlAnswer& answer, std::string_view why, unsigned offers, Duration age);
    void reviewReached();

    SendToLeader m_send;
    Execute m_execute;
    fleet::CallForwarder m_forwarder;
    std::map<fleet::CallId, Caller> m_callers;
    fleet::CallId m_lastId { 0 };
    bool m_leads { false };
    bool m_connected { false };
    bool m_reached { false };
    /// Calls that ended without the leader's answer.
    std::uint64_t m_failed { 0 };
    /// Time from taking a call to its answer.
    TimeSummary m_answerTimes;
};

} // namespace rosemarymill::runtime::nodes
