#pragma once

#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/core/fleet/forwarded_call.hpp>

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace rosemarymill::fleet {

/// Identifies a forwarded call at the leader.
struct ForwardedCallKey {
    /// Process that forwards the call: its VM and its incarnation.
    std::string forwarder;
    CallId id { 0 };

    friend auto operator<=>(const ForwardedCallKey&, const ForwardedCallKey&) = default;
    friend bool operator==(const ForwardedCallKey&, const ForwardedCallKey&) = default;
};

/// Forwarded calls at the leader. A call is executed only if it arrives within the lifetime of its ticket, which its
/// forwarder requests while the caller is waiting, and at most once, however often it is offered.
class ForwardedCallTable {
public:
    /// Limit on the calls in the table.
    static constexpr std::size_t maxCalls = 1024;
    /// Maximum size in bytes of an answer that is kept to be sent again. Calls with longer answers only read, so they
    /// are executed again instead.
    static constexpr std::size_t maxKeptAnswer = 4 * 1024;
    /// Time for which an answer is kept. No caller waits for longer.
    static constexpr Duration answerLifetime = 10s;

    enum class Decision {
        /// The call is accepted: send a ticket to the forwarder.
        Ticket,
        /// The call is being executed.
        Running,
        /// The call was executed: send its answer again.
        Answered,
        /// The table is full.
        Refused
    };

    /// Handles the offer of a call.
    [[nodiscard]] Decision offered(const ForwardedCallKey& key, const CallOffer& offer, Instant now);

    /// Handles the arrival of a call. Returns whether it has to be executed.
    [[nodiscard]] bool arrived(const ForwardedCallKey& key, Instant now);

    /// Stores the answer of a call that was executed.
    void finished(const ForwardedCallKey& key, const ControlAnswer& answer, Instant now);

    /// Answer of a call whose offer returned `Decision::Answered`.
    [[nodiscard]] const ControlAnswer& answer(const ForwardedCallKey& key) const { return *m_calls.at(key).answer; }

    /// Removes all calls; used when this VM stops leading.
    void clear() noexcept { m_calls.clear(); }

private:
    struct Entry {
        /// Expiry of the ticket, or of the entry once the call has arrived.
        Instant until;
        bool running { false };
        std::optional<ControlAnswer> answer;
    };

    std::map<ForwardedCallKey, Entry> m_calls;
};

} // namespace rosemarymill::fleet
