#include "ledger_handlers.hpp"

#include <rosemarymill/core/base/hash.hpp>

#include <limits>
#include <utility>

namespace rosemarymill::node {

namespace {

using ledger::Machine;

void applyLocal(State& state, const ledger::HomeEvent& event, Effects& effects);
void applyReplicated(State& state, ReplicatedHome& home, const ledger::HomeEvent& event, Effects& effects);
void reduceReplica(State& state, ReplicatedHome& home, const ledger::Replica::Event& event, Effects& effects);

void sendToDispatcher(State& state, const ledger::SendToDispatcher& effect, Effects& effects)
{
    if (effect.to == state.settings.vm)
        applyLedger(state, ledger::HomeMessage { state.now, effect.to, effect.message }, effects);
    else
        sendTo(state, effect.to, effect.message, effects);
}

void applyLocal(State& state, const ledger::HomeEvent& event, Effects& effects)
{
    auto& local = *state.ledger.local;
    ledger::HomeEffects decided;
    ledger::reduce(local.state, local.machine, event, decided);
    for (const auto& effect : decided) {
        if (const auto* send = std::get_if<ledger::SendToDispatcher>(&effect)) {
            sendToDispatcher(state, *send, effects);
            continue;
        }
        const auto& command = std::get<ledger::Propose>(effect).command;
        const auto outcome = local.machine.apply(++local.applied, command);
        applyLocal(state, ledger::CommandApplied { state.now, command, outcome }, effects);
    }
}

void applyReplicated(State& state, ReplicatedHome& home, const ledger::HomeEvent& event, Effects& effects)
{
    ledger::HomeEffects decided;
    ledger::reduce(home.state, home.replica->machine(), event, decided);
    for (const auto& effect : decided) {
        if (const auto* send = std::get_if<ledger::SendToDispatcher>(&effect))
            sendToDispatcher(state, *send, effects);
        else
            reduceReplica(state, home,
                agreement::Proposed<ledger::Command> { state.now, std::get<ledger::Propose>(effect).command }, effects);
    }
}

/// Executes the effects of a ledger home's replica.
struct EffectExecutor {
    State& state;
    ReplicatedHome& home;
    Effects& effects;

    void operator()(agreement::Send<ledger::Command, Machine::Snapshot>& it) const
    {
        sendTo(state, it.to, ledger::LogMessage { home.state.home, std::move(it.message) }, effects);
    }
    void operator()(agreement::Persist<ledger::Command, Machine::Snapshot>& it) const
    {
        effects(PersistLedger { home.state.home, it.sequence, std::move(it.record) });
    }
    void operator()(agreement::Applied<ledger::Command, ledger::Outcome>& it) const
    {
        applyReplicated(state, home, ledger::CommandApplied { state.now, it.command, it.answer }, effects);
    }
    void operator()(agreement::Restored&) const { }
    /// The voters of a ledger log are fixed by the settings.
    void operator()(agreement::VotersChanged&) const { }
    void operator()(agreement::RoleChanged& it) const
    {
        const bool leading = it.role == agreement::Role::Leader;
        applyReplicated(state, home, ledger::LeadershipChanged { state.now, leading, it.leader }, effects);
        if (leading)
            log(LogLevel::Info,
                "Leads " + ledger::logName(home.state.home) + " in term " + std::to_string(it.term) + ".");
    }
    void operator()(agreement::Refused<ledger::Command>&) const
    {
        // Nothing to do: the dispatcher sends its request again.
    }
    void operator()(agreement::FolderOutdated&) const
    {
        log(LogLevel::Error, "The data folder is an old copy. This voter votes again once it has caught up.");
    }
    void operator()(agreement::Diverged&) const
    {
        log(LogLevel::Error, "A committed entry differs from the leader's. Replace this voter's data folder.");
    }

    void log(LogLevel level, std::string text) const { effects(WriteLog { level, "ledger", std::move(text) }); }
};

void reduceReplica(State& state, ReplicatedHome& home, const ledger::Replica::Event& event, Effects& effects)
{
    if (!home.replica)
        return;
    ledger::Replica::Effects output;
    home.replica->reduce(event, output);
    EffectExecutor executor { state, home, effects };
    for (auto& it : output)
        std::visit(executor, it);
}

ReplicatedHome* findHome(State& state, const DataCentreId& id)
{
    const auto it = state.ledger.homes.find(id);
    return it == state.ledger.homes.end() ? nullptr : &it->second;
}

} // namespace

void startHomes(State& state, Effects& effects)
{
    for (auto& [id, home] : state.ledger.homes) {
        agreement::Settings settings;
        settings.self = state.settings.vm;
        settings.voters = state.settings.ledgerVoters.at(id);
        settings.seed = hash64(id.text(), state.settings.seed);
        settings.bootNonce = hash64(state.settings.bootId.text());
        settings.snapshotInterval = ledger::snapshotInterval;
        settings.trailingEntries = ledger::snapshotInterval;
        settings.snapshotBytes = settings.trailingBytes = std::numeric_limits<std::size_t>::max();
        const auto persistedState = std::exchange(home.persistedState, std::nullopt).value_or(ledger::PersistedLog {});
        home.replica.emplace(settings, persistedState);
        if (persistedState.damaged)
            effects(WriteLog { LogLevel::Error, "ledger",
                "The log " + ledger::logName(id) + " is damaged. This voter neither votes nor acknowledges." });
        reduceReplica(state, home, agreement::Started { state.now }, effects);
    }
}

void receiveRequest(State& state, const VmId& from, const ledger::Request& request, Effects& effects)
{
    const ledger::RequestReceived event { state.now, from, request };
    if (state.ledger.local && request.home == state.ledger.local->state.home)
        applyLocal(state, event, effects);
    else if (auto* home = findHome(state, request.home); home && home->replica)
        applyReplicated(state, *home, event, effects);
}

void receive(State& state, const VmId& from, const ledger::LogMessage& message, Effects& effects)
{
    if (auto* home = findHome(state, message.home))
        reduceReplica(state, *home,
            agreement::Received<ledger::Command, Machine::Snapshot> { state.now, from, message.message }, effects);
}

void advanceHomes(State& state, Effects& effects)
{
    if (state.ledger.local)
        applyLocal(state, ledger::HomeTick { state.now }, effects);
    for (auto& [id, home] : state.ledger.homes) {
        reduceReplica(state, home, agreement::Tick { state.now }, effects);
        if (home.replica)
            applyReplicated(state, home, ledger::HomeTick { state.now }, effects);
    }
}

void handle(State& state, const LedgerPersisted& event, Effects& effects)
{
    if (auto* home = findHome(state, event.home))
        reduceReplica(state, *home, agreement::Persisted { event.now, event.sequence }, effects);
}

void handle(State& state, const LedgerStorageChanged& event, Effects& effects)
{
    if (auto* home = findHome(state, event.home))
        reduceReplica(state, *home, agreement::StorageChanged { event.now, event.writable }, effects);
}

} // namespace rosemarymill::node
