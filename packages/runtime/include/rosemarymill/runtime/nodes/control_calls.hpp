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

/// Calls of operators that this VM has accepted. They are executed here while this VM leads, and forwarded to the
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

    /// Sets the function that executes calls on the leader. Not set on VMs that never lead.
    void onExecute(Execute execute) { m_execute = std::move(execute); }

    /// Accepts a call, whose body is not compressed. `onReply` may be called before this function returns.
    fleet::CallId accept(fleet::ControlCall call, ReplyHandler onReply);
    /// The caller has closed its connection.
    void callerDisconnected(fleet::CallId id);

    /// Executes a call that another VM has forwarded here. The bodies of the call and of its answer are compressed.
    void execute(const fleet::ControlCall& call, ReplyHandler onReply);

    /// Sets whether this VM leads.
    void setLeads(bool leads);
    /// Sets whether the leader is connected. Used while this VM does not lead.
    void setConnected(bool connected);
    void receive(const fleet::CallTicket& ticket);
    void receive(fleet::ForwardedAnswer answer);
    void tick(Instant now);

    /// Whether accepted calls are still unanswered.
    [[nodiscard]] bool hasPendingCalls() const noexcept { return !m_callers.empty(); }

    void writeMetrics(std::ostream& out) const;

private:
    struct Caller {
        /// Hash of method, path and body, which identifies an operator's retries of one call in the log.
        std::string requestHash;
        ReplyHandler onReply;
    };

    void post(const fleet::ForwarderEvent& event);
    void executeEffect(fleet::ForwarderEffect& effect);
    void answer(
        fleet::CallId id, const fleet::ControlAnswer& answer, std::string_view why, unsigned offers, Duration age);
    void updateReachability();

    SendToLeader m_send;
    Execute m_execute;
    fleet::CallForwarder m_forwarder;
    std::map<fleet::CallId, Caller> m_callers;
    fleet::CallId m_lastId { 0 };
    bool m_leads { false };
    bool m_connected { false };
    bool m_leaderReachable { false };
    /// Number of calls that ended without the leader's answer.
    std::uint64_t m_failedCalls { 0 };
    /// Time from accepting a call to its answer.
    TimeSummary m_answerTimes;
};

} // namespace rosemarymill::runtime::nodes
