#include <rosemarymill/core/ledger/home.hpp>

#include <algorithm>

namespace rosemarymill::ledger {

namespace {

void handle(HomeState& state, const Machine&, const RequestReceived& event, HomeEffects& effects)
{
    const auto token = tokenOf(event.request.command);
    if (!state.leading) {
        effects(SendToDispatcher { event.from, NotLeader { state.home, token, state.leader } });
        return;
    }
    if (std::holds_alternative<Advance>(event.request.command) || state.pending.size() >= maxPendingRequests)
        return;
    state.pending[token] = event.from;
    effects(Propose { event.request.command });
}

void handle(HomeState& state, const Machine&, const CommandApplied& event, HomeEffects& effects)
{
    const auto it = state.pending.find(tokenOf(event.command));
    if (it == state.pending.end())
        return;
    effects(SendToDispatcher { it->second, Reply { state.home, it->first, event.outcome } });
    state.pending.erase(it);
}

void handle(HomeState& state, const Machine&, const LeadershipChanged& event, HomeEffects&)
{
    state.leading = event.leading;
    state.leader = event.leader;
    state.pending.clear();
    state.nextCheck.clear();
    state.nextAdvance = event.now + advanceInterval;
}

void checkReservations(HomeState& state, const Machine& machine, Instant now, HomeEffects& effects)
{
    std::erase_if(state.nextCheck, [&](const auto& it) { return !machine.reserved().contains(it.first); });
    std::size_t checks = 0;
    for (const auto& key : machine.reserved()) {
        auto& next = state.nextCheck.try_emplace(key, now + checkAge).first->second;
        if (now < next || checks == maxChecksPerTick)
            continue;
        const auto& token = machine.find(key)->token;
        effects(SendToDispatcher { token.vm, Check { state.home, key, token } });
        next = now + checkInterval;
        ++checks;
    }
}

void handle(HomeState& state, const Machine& machine, const HomeTick& event, HomeEffects& effects)
{
    if (!state.leading)
        return;
    checkReservations(state, machine, event.now, effects);
    if (event.now < state.nextAdvance)
        return;
    state.nextAdvance = event.now + advanceInterval;
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(advanceInterval).count();
    effects(Propose { Advance { static_cast<std::uint64_t>(seconds) } });
}

} // namespace

Token tokenOf(const Command& command)
{
    const Overloaded variable { [](const Advance&) { return Token {}; }, [](const auto& it) { return it.token; } };
    return std::visit(variable, command);
}

void reduce(HomeState& state, const Machine& machine, const HomeEvent& event, HomeEffects& effects)
{
    std::visit([&](const auto& it) { handle(state, machine, it, effects); }, event);
}

} // namespace rosemarymill::ledger
