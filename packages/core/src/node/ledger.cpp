#include "ledger_handlers.hpp"

#include <algorithm>
#include <utility>

namespace rosemarymill::node {

namespace {

using call::Outcome;
using call::Refusal;
using call::RefusalReason;

ledger::Key keyOf(const Call& call) { return { call.account, call.request.idempotencyKey }; }

/// Data centre whose ledger holds a call's key; absent when the manifest names no ledger homes.
std::optional<DataCentreId> homeOf(const State& state, const Call& call)
{
    if (state.ledger.local)
        return state.settings.dataCentre;
    const auto& homes = state.configuration.manifest.ledgerHomes;
    if (homes.empty())
        return std::nullopt;
    return ledger::homeOf(keyOf(call), homes);
}

Refusal refusalOf(ledger::Denial denial)
{
    switch (denial) {
    case ledger::Denial::HomeUnreachable:
        return { RefusalReason::LedgerUnreachable, Outcome::NotRun, 1s, "the ledger of this key cannot be reached" };
    case ledger::Denial::StillRunning:
        return { RefusalReason::AnswerLost, Outcome::Unknown, 1s, "the first call under this key is still running" };
    case ledger::Denial::AnswerUnknown:
        break;
    case ledger::Denial::KeyReused:
        return { RefusalReason::KeyReused, Outcome::NotRun, {}, "the idempotency key was used for another request" };
    }
    return { RefusalReason::AnswerLost, Outcome::Unknown, {}, "the first call under this key may have run" };
}

void executeEffect(State& state, const ledger::SendToHome& effect, Effects& effects)
{
    const auto* request = std::get_if<ledger::Request>(&effect.message);
    if (effect.to == state.settings.vm && request)
        receiveRequest(state, effect.to, *request, effects);
    else
        sendTo(state, effect.to, effect.message, effects);
}

void executeEffect(State& state, const ledger::Granted& effect, Effects& effects)
{
    const auto it = state.calls.active.find(CallId { effect.number });
    if (it == state.calls.active.end())
        return;
    it->second.keyPending = false;
    admitCall(state, it->second, effects);
}

void executeEffect(State& state, const ledger::Recorded& effect, Effects& effects)
{
    const CallId id { effect.number };
    if (!state.calls.active.contains(id))
        return;
    effects(AnswerCall { id, effect.answer.status, effect.answer.contentType, effect.answer.body });
    endCall(state, id);
}

void executeEffect(State& state, const ledger::Denied& effect, Effects& effects)
{
    const CallId id { effect.number };
    if (state.calls.active.contains(id))
        refuseCall(state, id, refusalOf(effect.denial), effects);
}

} // namespace

Ledger makeLedger(const Settings& settings)
{
    Ledger ledger;
    ledger.client.vm = settings.vm;
    ledger.client.boot = settings.bootId;
    for (const auto& [home, voters] : settings.ledgerVoters) {
        ledger.client.homes[home].voters = voters;
        if (settings.hasDisk && std::find(voters.begin(), voters.end(), settings.vm) != voters.end())
            ledger.homes[home].state.home = home;
    }
    if (settings.peers.empty() && settings.ledgerVoters.empty()) {
        ledger.client.homes[settings.dataCentre].voters = { settings.vm };
        ledger.local.emplace();
        ledger.local->state.home = settings.dataCentre;
        ledger.local->state.leading = true;
        ledger.local->state.leader = settings.vm;
    }
    return ledger;
}

bool ownsKey(const Call& call) { return !call.idempotent && !call.request.forwarded; }

void reserveKey(State& state, Call& call, Effects& effects)
{
    const auto home = homeOf(state, call);
    if (!home || !state.ledger.client.homes.contains(*home)) {
        refuseCall(state, call.id, refusalOf(ledger::Denial::HomeUnreachable), effects);
        return;
    }
    call.keyPending = true;
    const ledger::Begin begin { state.now, call.id.value, keyOf(call), call.request.fingerprint, *home };
    applyLedger(state, begin, effects);
}

void endReservation(State& state, const Call& call, Outcome outcome, Effects& effects)
{
    if (!ownsKey(call))
        return;
    if (outcome == Outcome::NotRun)
        applyLedger(state, ledger::NotDispatched { state.now, call.id.value }, effects);
    else
        applyLedger(state, ledger::AnswerLost { state.now, call.id.value }, effects);
}

void recordAnswer(State& state, const Call& call, const std::optional<ledger::Answer>& answer, Effects& effects)
{
    if (!ownsKey(call))
        return;
    if (answer)
        applyLedger(state, ledger::Finished { state.now, call.id.value, *answer }, effects);
    else
        applyLedger(state, ledger::AnswerLost { state.now, call.id.value }, effects);
}

void applyLedger(State& state, const ledger::ClientEvent& event, Effects& effects)
{
    ledger::ClientEffects decided;
    ledger::reduce(state.ledger.client, event, decided);
    for (const auto& effect : decided)
        std::visit([&](const auto& it) { executeEffect(state, it, effects); }, effect);
}

void advanceLedger(State& state, Effects& effects)
{
    applyLedger(state, ledger::ClientTick { state.now }, effects);
    advanceHomes(state, effects);
}

bool hasUncommittedKeys(const State& state) { return !state.ledger.client.entries.empty(); }

} // namespace rosemarymill::node
