#include <rosemarymill/core/ledger/client.hpp>

#include <algorithm>
#include <utility>

namespace rosemarymill::ledger {

namespace {

Token makeToken(const ClientState& state, std::uint64_t number) { return { state.vm, state.boot, number }; }

std::size_t bodyBytes(const Command& command)
{
    const auto* complete = std::get_if<Complete>(&command);
    return complete ? complete->answer.body.size() : 0;
}

void sendTo(ClientState& state, const DataCentreId& home, Command command, ClientEffects& effects)
{
    const auto it = state.homes.find(home);
    if (it == state.homes.end() || it->second.voters.empty())
        return;
    const auto& voters = it->second;
    effects(
        SendToHome { voters.voters[voters.preferred % voters.voters.size()], Request { home, std::move(command) } });
}

/// Sends the request that the entry's phase calls for.
void sendCurrent(ClientState& state, std::uint64_t number, Entry& entry, ClientEffects& effects)
{
    entry.unanswered = true;
    if (entry.phase == Phase::Finalizing)
        sendTo(state, entry.home, entry.finalCommand, effects);
    else
        sendTo(state, entry.home, Reserve { entry.key, entry.fingerprint, makeToken(state, number) }, effects);
}

void selectNextVoter(ClientState& state, const DataCentreId& home)
{
    if (const auto it = state.homes.find(home); it != state.homes.end())
        ++it->second.preferred;
}

/// Ends the call's reservation with a command that is resent until the home has committed it.
void finalize(
    ClientState& state, std::uint64_t number, Entry& entry, Command command, Instant now, ClientEffects& effects)
{
    entry.phase = Phase::Finalizing;
    entry.finalCommand = std::move(command);
    entry.nextSend = now + finalizeInterval;
    state.unrecordedBytes += bodyBytes(entry.finalCommand);
    sendCurrent(state, number, entry, effects);
}

void erase(ClientState& state, std::map<std::uint64_t, Entry>::iterator it)
{
    state.unrecordedBytes -= bodyBytes(it->second.finalCommand);
    state.entries.erase(it);
}

void abortReservation(ClientState& state, std::uint64_t number, Entry& entry, Instant now, ClientEffects& effects)
{
    finalize(state, number, entry, Abort { entry.key, makeToken(state, number) }, now, effects);
}

void handle(ClientState& state, const Begin& event, ClientEffects& effects)
{
    auto& entry = state.entries[event.number];
    entry.key = event.key;
    entry.fingerprint = event.fingerprint;
    entry.home = event.home;
    entry.startedAt = event.now;
    entry.nextSend = event.now + replyTimeout;
    entry.finalCommand = Advance {};
    sendCurrent(state, event.number, entry, effects);
}

void handle(ClientState& state, const Finished& event, ClientEffects& effects)
{
    const auto it = state.entries.find(event.number);
    if (it == state.entries.end() || it->second.phase != Phase::Running)
        return;
    auto& entry = it->second;
    const auto token = makeToken(state, event.number);
    if (state.unrecordedBytes + event.answer.body.size() > unrecordedBodiesBudgetBytes)
        finalize(state, event.number, entry, Lose { entry.key, token }, event.now, effects);
    else
        finalize(state, event.number, entry, Complete { entry.key, token, event.answer }, event.now, effects);
}

void handle(ClientState& state, const AnswerLost& event, ClientEffects& effects)
{
    const auto it = state.entries.find(event.number);
    if (it != state.entries.end() && it->second.phase == Phase::Running)
        finalize(state, event.number, it->second, Lose { it->second.key, makeToken(state, event.number) }, event.now,
            effects);
}

void handle(ClientState& state, const NotDispatched& event, ClientEffects& effects)
{
    const auto it = state.entries.find(event.number);
    if (it != state.entries.end() && it->second.phase != Phase::Finalizing)
        abortReservation(state, event.number, it->second, event.now, effects);
}

void deny(ClientState& state, std::map<std::uint64_t, Entry>::iterator it, Denial denial, ClientEffects& effects)
{
    effects(Denied { it->first, denial });
    erase(state, it);
}

void applyDecision(ClientState& state, std::map<std::uint64_t, Entry>::iterator it, const Reply& reply, Instant now,
    ClientEffects& effects)
{
    auto& entry = it->second;
    switch (reply.outcome.decision) {
    case Decision::Run:
        entry.phase = Phase::Running;
        effects(Granted { it->first });
        return;
    case Decision::Running:
        if (entry.phase == Phase::Reserving)
            entry.startedAt = now;
        entry.phase = Phase::Waiting;
        entry.nextSend = now + waitInterval;
        return;
    case Decision::Answered:
        effects(Recorded { it->first, reply.outcome.answer.value_or(Answer {}) });
        erase(state, it);
        return;
    case Decision::Unknown:
        return deny(state, it, Denial::AnswerUnknown, effects);
    case Decision::Reused:
        return deny(state, it, Denial::KeyReused, effects);
    case Decision::TokenAborted:
    case Decision::Done:
    case Decision::NotHeld:
        return;
    }
}

bool confirmsFinalCommand(Decision decision) { return decision == Decision::Done || decision == Decision::NotHeld; }

void handleMessage(ClientState& state, const Reply& reply, Instant now, ClientEffects& effects)
{
    if (reply.token.boot != state.boot)
        return;
    const auto it = state.entries.find(reply.token.number);
    if (it == state.entries.end())
        return;
    it->second.unanswered = false;
    if (it->second.phase == Phase::Finalizing) {
        if (confirmsFinalCommand(reply.outcome.decision))
            erase(state, it);
        return;
    }
    if (it->second.phase != Phase::Running)
        applyDecision(state, it, reply, now, effects);
}

void handleMessage(ClientState& state, const NotLeader& message, Instant, ClientEffects& effects)
{
    const auto home = state.homes.find(message.home);
    if (home == state.homes.end())
        return;
    const auto& voters = home->second.voters;
    const auto leader = std::find(voters.begin(), voters.end(), message.leader);
    if (leader == voters.end())
        return;
    home->second.preferred = static_cast<std::size_t>(leader - voters.begin());
    const auto it = state.entries.find(message.token.number);
    if (message.token.boot != state.boot || it == state.entries.end() || it->second.phase == Phase::Running)
        return;
    if (it->second.redirects++ < maxRedirects)
        sendCurrent(state, it->first, it->second, effects);
}

void handleMessage(ClientState& state, const Check& check, Instant now, ClientEffects& effects)
{
    if (check.token.boot != state.boot) {
        // An earlier process of this VM held the reservation. It may have dispatched the call.
        sendTo(state, check.home, Lose { check.key, check.token }, effects);
        return;
    }
    const auto it = state.entries.find(check.token.number);
    // A token without an entry was finalized or never granted. If the home still holds a reservation for it, its call
    // was not dispatched, so the Abort is safe. If the key has an answer by now, the home ignores the Abort.
    if (it == state.entries.end())
        sendTo(state, check.home, Abort { check.key, check.token }, effects);
    else if (it->second.phase == Phase::Finalizing)
        it->second.nextSend = now;
}

void handleMessage(ClientState&, const Request&, Instant, ClientEffects&) { }

void handle(ClientState& state, const HomeMessage& event, ClientEffects& effects)
{
    std::visit([&](const auto& it) { handleMessage(state, it, event.now, effects); }, event.message);
}

Duration sendInterval(Phase phase)
{
    if (phase == Phase::Reserving)
        return replyTimeout;
    return phase == Phase::Waiting ? waitInterval : finalizeInterval;
}

/// Resends the request of one entry when it is due. Returns the denial of a call whose waiting time is over.
std::optional<Denial> resendIfDue(
    ClientState& state, std::uint64_t number, Entry& entry, Instant now, ClientEffects& effects)
{
    const auto waited = now - entry.startedAt;
    if (entry.phase == Phase::Reserving && waited >= reserveTimeout)
        return Denial::HomeUnreachable;
    if (entry.phase == Phase::Waiting && waited >= waitTimeout)
        return Denial::StillRunning;
    if (now < entry.nextSend || entry.phase == Phase::Running)
        return std::nullopt;
    if (entry.unanswered)
        selectNextVoter(state, entry.home);
    entry.redirects = 0;
    entry.nextSend = now + sendInterval(entry.phase);
    sendCurrent(state, number, entry, effects);
    return std::nullopt;
}

void handle(ClientState& state, const ClientTick& event, ClientEffects& effects)
{
    for (auto& [number, entry] : state.entries) {
        const auto denial = resendIfDue(state, number, entry, event.now, effects);
        if (!denial)
            continue;
        effects(Denied { number, *denial });
        // A Reserve may still be in flight, so the reservation is aborted.
        abortReservation(state, number, entry, event.now, effects);
    }
}

} // namespace

void reduce(ClientState& state, const ClientEvent& event, ClientEffects& effects)
{
    std::visit([&](const auto& it) { handle(state, it, effects); }, event);
}

const DataCentreId& homeOf(const Key& key, std::span<const DataCentreId> homes)
{
    const auto text = key.account.text() + '\0' + key.text;
    return *std::max_element(homes.begin(), homes.end(), [&](const auto& a, const auto& b) {
        return rendezvousWeight(text, a.text()) < rendezvousWeight(text, b.text());
    });
}

} // namespace rosemarymill::ledger
