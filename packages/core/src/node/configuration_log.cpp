#include "configuration.hpp"

#include <rosemarymill/core/base/hash.hpp>

#include <algorithm>

namespace rosemarymill::node {

namespace {

using configuration::Replica;

/// Executes the effects of the configuration log's replica.
struct EffectExecutor {
    State& state;
    Effects& effects;
    Revision before;
    bool changed { false };

    void operator()(agreement::Send<configuration::Command, configuration::Snapshot>& it) const
    {
        sendTo(state, it.to, std::move(it.message), effects);
    }
    void operator()(agreement::Persist<configuration::Command, configuration::Snapshot>& it) const
    {
        effects(PersistConfiguration { it.sequence, std::move(it.record) });
    }
    void operator()(agreement::Applied<configuration::Command, configuration::Answer>& it)
    {
        changed = true;
        answerPending(state, it.answer, effects);
    }
    void operator()(agreement::Restored&) { changed = true; }
    /// The voters of this log are fixed by the settings.
    void operator()(agreement::VotersChanged&) const { }
    void operator()(agreement::RoleChanged& it) const
    {
        const auto term = " in term " + std::to_string(it.term) + ".";
        if (it.role == agreement::Role::Leader)
            log(LogLevel::Info, "Leads the configuration log" + term);
        else if (!it.leader.empty())
            log(LogLevel::Info, "Follows " + it.leader.text() + term);
    }
    void operator()(agreement::Refused<configuration::Command>&) const
    {
        // Nothing to do: the command stays pending and is sent again.
    }
    void operator()(agreement::FolderOutdated&) const
    {
        log(LogLevel::Error, "The data folder is an old copy. This voter votes again once it has caught up.");
    }
    void operator()(agreement::Diverged& it) const
    {
        log(LogLevel::Error,
            "A committed entry up to " + std::to_string(it.commit)
                + " differs from the leader's. This voter no longer takes part; replace its data folder.");
    }

    void log(LogLevel level, std::string text) const { effects(WriteLog { level, "configuration", std::move(text) }); }
};

void reduceReplica(State& state, const Replica::Event& event, Effects& effects)
{
    auto& log = state.configurationLog;
    if (!log.replica)
        return;
    Replica::Effects output;
    log.replica->reduce(event, output);
    EffectExecutor executor { state, effects, log.table.revision() };
    for (auto& it : output)
        std::visit(executor, it);
    if (executor.changed && log.replica->machine().table().revision() > log.table.revision()) {
        log.table = log.replica->machine().table();
        putInForce(state, effects);
        distribute(state, executor.before, effects);
    }
    if (log.replica->caughtUp())
        log.readiness->recoveredFromDisk();
}

void startReplica(State& state, Effects& effects)
{
    auto& log = state.configurationLog;
    agreement::Settings settings;
    settings.self = state.settings.vm;
    settings.voters = state.settings.configurationVoters;
    settings.seed = state.settings.seed;
    settings.bootNonce = hash64(state.settings.bootId.text());
    const auto persistedState = log.persistedState.value_or(configuration::PersistedLog {});
    log.persistedState.reset();
    log.replica.emplace(settings, persistedState);
    if (persistedState.damaged)
        effects(WriteLog { LogLevel::Error, "configuration",
            "The log in the data folder is damaged. This voter neither votes nor acknowledges; replace its data "
            "folder." });
    if (const auto& table = log.replica->machine().table(); persistedState.hard.joined && table.revision()) {
        log.table = table;
        log.readiness->recoveredFromDisk();
        putInForce(state, effects);
    }
    reduceReplica(state, agreement::Started { state.now }, effects);
}

} // namespace

bool leadsConfiguration(const State& state)
{
    const auto& replica = state.configurationLog.replica;
    return replica && replica->role() == agreement::Role::Leader;
}

void startConfiguration(State& state, Effects& effects)
{
    const auto& settings = state.settings;
    const auto peers = std::count_if(settings.peers.begin(), settings.peers.end(),
        [&](const auto& it) { return it.vm != settings.vm && it.dataCentre == settings.dataCentre; });
    auto& log = state.configurationLog;
    log.readiness.emplace(state.now, static_cast<std::size_t>(peers));
    const auto& voters = settings.configurationVoters;
    if (settings.hasDisk && std::find(voters.begin(), voters.end(), settings.vm) != voters.end())
        startReplica(state, effects);
}

void advanceConfiguration(State& state, Effects& effects)
{
    auto& log = state.configurationLog;
    if (state.settings.configurationVoters.empty() || !log.readiness)
        return;
    reduceReplica(state, agreement::Tick { state.now }, effects);
    log.readiness->tick(state.now);
    advancePulls(state, effects);
    advancePending(state, effects);
}

void propose(State& state, const configuration::Command& command, Effects& effects)
{
    reduceReplica(state, agreement::Proposed<configuration::Command> { state.now, command }, effects);
}

void receive(State& state, const VmId& from, const configuration::LogMessage& message, Effects& effects)
{
    reduceReplica(state,
        agreement::Received<configuration::Command, configuration::Snapshot> { state.now, from, message }, effects);
}

void handle(State& state, const ConfigurationPersisted& event, Effects& effects)
{
    reduceReplica(state, agreement::Persisted { event.now, event.sequence }, effects);
}

void handle(State& state, const ConfigurationStorageChanged& event, Effects& effects)
{
    const auto* text
        = event.writable ? "The data folder is writable again." : "The data folder is full. No changes are taken.";
    effects(WriteLog { event.writable ? LogLevel::Info : LogLevel::Error, "configuration", text });
    reduceReplica(state, agreement::StorageChanged { event.now, event.writable }, effects);
}

} // namespace rosemarymill::node
