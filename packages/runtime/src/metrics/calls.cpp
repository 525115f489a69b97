#include <rosemarymill/runtime/metrics/calls.hpp>

#include <ostream>
#include <string>
#include <utility>
#include <variant>

namespace rosemarymill::runtime {

namespace {

// Account of calls whose token belongs to no account. The empty name is no valid account name, whereas '-' is one.
const AccountId noAccount;

} // namespace

void CallMetrics::begin(const node::CallArrived& event, const node::State& state)
{
    // A call that was refused on arrival is not in the state; its account is looked up by its token.
    AccountId account = noAccount;
    if (const auto it = state.calls.active.find(event.call); it != state.calls.active.end()) {
        account = it->second.account;
    } else {
        for (const auto& candidate : state.configuration.manifest.accounts) {
            for (const auto& digest : candidate.tokenDigests) {
                if (digest == event.request.tokenDigest)
                    account = candidate.id;
            }
        }
    }
    m_active[event.call] = { &m_accounts[account], event.now, false, std::nullopt };
}

void CallMetrics::dispatched(CallId call, Instant now)
{
    const auto it = m_active.find(call);
    if (it == m_active.end() || std::exchange(it->second.dispatched, true))
        return;
    it->second.account->queue.add(now - it->second.arrivedAt);
}

void CallMetrics::token(CallId call, Instant now)
{
    const auto it = m_active.find(call);
    if (it == m_active.end())
        return;
    auto& active = it->second;
    if (active.lastToken)
        active.account->betweenTokens.add(now - *active.lastToken);
    else
        active.account->firstToken.add(now - active.arrivedAt);
    active.lastToken = now;
}

void CallMetrics::end(CallId call, CallOutcome callOutcome)
{
    const auto it = m_active.find(call);
    if (it == m_active.end())
        return;
    ++it->second.account->outcomes[static_cast<std::size_t>(callOutcome)];
    m_active.erase(it);
}

void CallMetrics::observe(const node::Event& event, const node::State& state, const node::Effects& effects)
{
    if (const auto* arrived = std::get_if<node::CallArrived>(&event))
        begin(*arrived, state);
    const auto now = std::visit([](const auto& it) { return it.now; }, event);
    const auto callOutcomeOf = [](call::Outcome outcome) {
        switch (outcome) {
        case call::Outcome::NotRun:
            return CallOutcome::NotRun;
        case call::Outcome::Failed:
            return CallOutcome::Failed;
        case call::Outcome::Unknown:
            break;
        }
        return CallOutcome::Unknown;
    };
    const Overloaded handler {
        [&](const node::Dispatch& it) { dispatched(it.call, now); },
        [&](const node::ForwardCall& it) { dispatched(it.call, now); },
        [&](const node::ForwardToken& it) { token(it.call, now); },
        [&](const node::FinishCall& it) { end(it.call, CallOutcome::Finished); },
        [&](const node::AnswerCall& it) { end(it.call, CallOutcome::Finished); },
        [&](const node::RefuseCall& it) { end(it.call, callOutcomeOf(it.refusal.outcome)); },
        [](const auto&) {},
    };
    for (const auto& effect : effects)
        std::visit(handler, effect);
    if (const auto* disconnected = std::get_if<node::CallerGone>(&event))
        m_active.erase(disconnected->call);
}

void CallMetrics::write(std::ostream& out) const
{
    static constexpr std::array<const char*, callOutcomeCount> names { "finished", "not_run", "failed", "unknown" };
    // Account names consist of letters, digits, '.', '_' and '-' and need no escaping in labels.
    const auto labelOf = [](const AccountId& id) { return "account=\"" + id.text() + "\""; };
    out << "# TYPE rosemarymill_calls_total counter\n";
    for (const auto& [id, account] : m_accounts) {
        for (std::size_t i = 0; i < callOutcomeCount; ++i)
            out << "rosemarymill_calls_total{" << labelOf(id) << ",outcome=\"" << names[i] << "\"} "
                << account.outcomes[i] << '\n';
    }
    const auto writeSummary = [&](const std::string& name, TimeSummary Account::*member) {
        out << "# TYPE " << name << " summary\n";
        for (const auto& [id, account] : m_accounts)
            (account.*member).write(out, name, labelOf(id));
    };
    writeSummary("rosemarymill_queue_seconds", &Account::queue);
    writeSummary("rosemarymill_first_token_seconds", &Account::firstToken);
    writeSummary("rosemarymill_between_tokens_seconds", &Account::betweenTokens);
}

} // namespace rosemarymill::runtime
