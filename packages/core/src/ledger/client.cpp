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
    if (entry.phase == Phase::Settling)
        sendTo(state, entry.home, entry.settlement, effects);
    else
        sendTo(state, entry.home, Reserve { entry.key, entry.fingerprint, makeToken(state, number) }, effects);
}

void askNextVoter(ClientState& state, const DataCentreId& home)
{
    if (const auto it = state.homes.find(home); it != state.homes.end())
        ++it->second.preferred;
}

/// Ends the call's part under the key with a command that is repeated until the home has committed it.
void settle(
    ClientState& state, std::uint64_t number, Entry& entry, Command command, Instant now, ClientEffects& effects)
{
    entry.phase = Phase::Settling;
    entry.settlement = std::move(command);
    entry.nextSend = now + settleInterval;
    state.unrecordedBytes += bodyBytes(entry.settlement);
    sendCurrent(state, number, entry, effects);
}

void erase(ClientState& state, std::map<std::uint64_t, Entry>::iterator it)
{
    state.unrecordedBytes -= bodyBytes(it->second.settlement);
    state.entries.erase(it);
}

void giveBack(ClientState& state, std::uint64_t number, Entry& entry, Instant now, ClientEffects& effects)
{
    settle(state, number, entry, Abort { entry.key, makeToken(state, number) }, now, effects);
}

void handle(ClientState& state, const Begin& event, ClientEffects& effects)
{
    auto& entry = state.entries[event.number];
    entry.key = event.key;
    entry.fingerprint = event.fingerprint;
    entry.home = event.home;
    entry.startedAt = event.now;
    entry.nextSend = event.now + replyTimeout;
    entry.settlement = Advance {};
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
        settle(state, event.number, entry, Lose { entry.key, token }, event.now, effects);
    else
        settle(state, event.number, entry, Complete { entry.key, token, event.answer }, event.now, effects);
}

void handle(ClientState& state, const AnswerLost& event, ClientEffects& effects)
{
    const auto it = state.entries.find(event.number);
    if (it != state.entries.end() && it->second.phase == Phase::Running)
        settle(state, event.number, it->second, Lose { it->second.key, makeToken(state, event.number) }, event.now,
            effects);
}

void handle(ClientState& state, const NotDispatched& event, ClientEffects& effects)
{
    const auto it = state.entries.find(event.number);
    if (it != state.entries.end() && it->second.phase != Phase::Settling)
        giveBack(state, event.number, it->second, event.now, effects);
}

void deny(ClientState& state, std::map<std::uint64_t, Entry>::iterator it, Denial denial, ClientEffects& effects)
{
    effects(Denied { it->first, denial });
    erase(state, it);
}

void takeDecision(ClientState& state, std::map<std::uint64_t, Entry>::iterator it, const Reply& reply, Instant now,
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

bool endsSettlement(Decision decision) { return decision == Decision::Done || decision == Decision::NotHeld; }

void handleMessage(ClientState& state, const Reply& reply, Instant now, ClientEffects& effects)
{
    if (reply.token.boot != state.boot)
        return;
    const auto it = state.entries.find(reply.token.number);
    if (it == state.entries.end())
        return;
    it->second.unanswered = false;
    if (it->second.phase == Phase::Settling) {
        if (endsSettlement(reply.outcome.decision))
            erase(state, it);
        return;
    }
    if (it->second.phase != Phase::Running)
        takeDecision(state, it, reply, now, effects);
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
    // A token without an entry was settled or never granted, so it was given back without a dispatch if the home still
    // shows a reservation. The home changes nothing when the key has an answer by now.
    if (it == state.entries.end())
        sendTo(state, check.home, Abort { check.key, check.token }, effects);
    else if (it->second.phase == Phase::Settling)
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
    return phase == Phase::Waiting ? waitInterval : settleInterval;
}

/// Repeats what is due for one entry. Returns the denial of a call that has waited for too long.
std::optional<Denial> repeat(
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
        askNextVoter(state, entry.home);
    entry.redirects = 0;
    entry.nextSend = now + sendInterval(entry.phase);
    sendCurrent(state, number, entry, effects);
    return std::nullopt;
}

void handle(ClientState& state, const ClientTick& event, ClientEffects& effects)
{
    for (auto& [number, entry] : state.entries) {
        const auto denial = repeat(state, number, entry, event.now, effects);
        if (!denial)
            continue;
        effects(Denied { number, *denial });
        // A Reserve may still be on its way, so the reservation is given back.
        giveBack(state, number, entry, event.now, effects);
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
