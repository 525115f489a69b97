#pragma once

#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/core/fleet/carried_call.hpp>

#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace rosemarymill::fleet {

/// Names a carried call at the leader.
struct CarriedCallKey {
    /// Process that carries the call: its VM and its start.
    std::string carrier;
    CallId id { 0 };

    friend auto operator<=>(const CarriedCallKey&, const CarriedCallKey&) = default;
    friend bool operator==(const CarriedCallKey&, const CarriedCallKey&) = default;
};

/// Carried calls at the leader. A call is carried out only when it arrives soon after its ticket, which its carrier
/// asked for while the caller waited, and only once, however often it is offered.
class CallDesk {
public:
    /// Calls that are remembered at once.
    static constexpr std::size_t maxCalls = 1024;
    /// Longest answer in bytes that is kept to be sent again. Calls with longer ones are reads and are carried out
    /// again.
    static constexpr std::size_t maxKeptAnswer = 4 * 1024;
    /// Time for which an answer is kept: longer than any caller waits.
    static constexpr Duration answerLife = 10s;

    enum class Decision {
        /// The carrier gets a ticket.
        Ticket,
        /// The call is carried out already.
        Running,
        /// The call is answered; the answer is to be sent again.
        Answered,
        /// Too many calls are open.
        Refused
    };

    /// A call is offered.
    [[nodiscard]] Decision offered(const CarriedCallKey& key, const CallOffer& offer, Instant now);

    /// A call has arrived. Returns whether it is to be carried out.
    [[nodiscard]] bool arrived(const CarriedCallKey& key, Instant now);

    /// A call was carried out.
    void finished(const CarriedCallKey& key, const ControlAnswer& answer, Instant now);

    /// Answer of a call that is answered.
    [[nodiscard]] const ControlAnswer& answer(const CarriedCallKey& key) const { return *m_calls.at(key).answer; }

    /// Forgets all calls, when this VM no longer leads.
    void clear() noexcept { m_calls.clear(); }

private:
    struct Entry {
        /// Until when the call may arrive, or for how long it is remembered.
        Instant until;
        bool running { false };
        std::optional<ControlAnswer> answer;
    };

    std::map<CarriedCallKey, Entry> m_calls;
};

} // namespace rosemarymill::fleet
