#pragma once

#include <rosemarymill/core/node/effect.hpp>
#include <rosemarymill/core/node/event.hpp>
#include <rosemarymill/core/node/state.hpp>
#include <rosemarymill/runtime/metrics/summary.hpp>

#include <array>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <unordered_map>

/// Metrics of calls per client account.
namespace rosemarymill::runtime {

/// Measures the calls by the core's events and effects. Memory: one small record per active call, one per account.
class CallMetrics {
public:
    /// Records one event and its effects, after the reduction and before the effects are executed.
    void observe(const node::Event& event, const node::State& state, const node::Effects& effects);

    /// Writes the Prometheus text.
    void write(std::ostream& out) const;

private:
    enum class CallOutcome { Finished, NotRun, Failed, Unknown };
    static constexpr std::size_t callOutcomeCount = 4;

    struct Account {
        TimeSummary queue;
        TimeSummary firstToken;
        TimeSummary betweenTokens;
        std::array<std::uint64_t, callOutcomeCount> outcomes {};
    };

    struct Active {
        Account* account { nullptr };
        Instant arrivedAt;
        bool dispatched { false };
        std::optional<Instant> lastToken;
    };

    void begin(const node::CallArrived& event, const node::State& state);
    void dispatched(CallId call, Instant now);
    void token(CallId call, Instant now);
    void end(CallId call, CallOutcome callOutcome);

    std::map<AccountId, Account> m_accounts;
    std::unordered_map<CallId, Active> m_active;
};

} // namespace rosemarymill::runtime
