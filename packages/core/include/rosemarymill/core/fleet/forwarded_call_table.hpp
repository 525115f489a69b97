#pragma once

#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/core/fleet/forwarded_call.hpp>

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace rosemarymill::fleet {

/// Names a forwarded call at the leader.
struct ForwardedCallKey {
    /// Process that forwards the call: its VM and its start.
    std::string forwarder;
    CallId id { 0 };

    friend auto operator<=>(const ForwardedCallKey&, const ForwardedCallKey&) = default;
    friend bool operator==(const ForwardedCallKey&, const ForwardedCallKey&) = default;
};

/// Forwarded calls at the leader. A call is executed only when it arrives soon after its ticket, which its forwarder
/// asked for while the caller waited, and only once, however often it is offered.
class ForwardedCallTable {
public:
    /// Calls that are remembered at once.
    static constexpr std::size_t maxCalls = 1024;
    /// Longest answer in bytes that is kept to be sent again. Calls with longer ones are reads and are executed
    /// again.
    static constexpr std::size_t maxKeptAnswer = 4 * 1024;
    /// Time for which an answer is kept: longer than any caller waits.
    static constexpr Duration answerLifetime = 10s;

    enum class Decision {
        /// The forwarder gets a ticket.
        Ticket,
        /// The call is being executed.
        Running,
        /// The call is answered; the answer is to be sent again.
        Answered,
        /// Too many calls are open.
        Refused
    };

    /// A call is offered.
    [[nodiscard]] Decision offered(const ForwardedCallKey& key, const CallOffer& offer, Instant now);

    /// A call has arrived. Returns whether it is to be executed.
    [[nodiscard]] bool arrived(const ForwardedCallKey& key, Instant now);

    /// A call was executed.
    void finished(const ForwardedCallKey& key, const ControlAnswer& answer, Instant now);

    /// Answer of a call that is answered.
    [[nodiscard]] const ControlAnswer& answer(const ForwardedCallKey& key) const { return *m_calls.at(key).answer; }

    /// Forgets all calls, when this VM no longer leads.
    void clear() noexcept { m_calls.clear(); }

private:
    struct Entry {
        /// Until when the call may arrive, or for how long it is remembered.
        Instant until;
        bool running { false };
        std::optional<ControlAnswer> answer;
    };

    std::map<ForwardedCallKey, Entry> m_calls;
};

} // namespace rosemarymill::fleet
