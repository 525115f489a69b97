#include "configuration.hpp"

#include <algorithm>

namespace rosemarymill::node {

namespace {

using configuration::Answer;
using configuration::Command;
using configuration::Result;

/// Time after which an operator gets the reply NotAccepted. An election takes up to 2 s, so the time allows for two.
constexpr Duration commandTimeout = 5s;

/// Time after which an unanswered command is sent again.
constexpr Duration commandRetryInterval = 500ms;

/// Maximum number of processes that forward a command: a process without a disk, then a voter that is a follower.
constexpr std::uint8_t maxHops = 2;

OperatorResult resultOf(Result result) noexcept
{
    switch (result) {
    case Result::Accepted:
        return OperatorResult::Accepted;
    case Result::AlreadyAccepted:
        return OperatorResult::AlreadyAccepted;
    case Result::Conflict:
        return OperatorResult::Conflict;
    case Result::NotAccepted:
        break;
    }
    return OperatorResult::NotAccepted;
}

void reply(State& state, const PendingCommand& pending, const Answer& answer, Effects& effects)
{
    if (pending.request)
        effects(
            ReplyOperator { pending.request, resultOf(answer.result), answer.revision, answer.current, answer.detail });
    else
        sendTo(state, pending.from, configuration::Message { configuration::Reply { pending.peerRequest, answer } },
            effects);
}

void applyLocally(State& state, const PendingCommand& pending, Effects& effects)
{
    auto& log = state.configurationLog;
    const auto answer = log.local.apply(0, pending.command);
    log.table = log.local.table();
    putInForce(state, effects);
    reply(state, pending, answer, effects);
}

/// Process to which a command is sent: the leader in the view of this process's replica, otherwise the voters in turn.
VmId nextVoter(const State& state, const PendingCommand& pending)
{
    const auto& replica = state.configurationLog.replica;
    if (replica && !replica->leader().empty())
        return replica->leader();
    const auto& voters = state.settings.configurationVoters;
    const auto tries = static_cast<std::size_t>((pending.deadline - state.now) / commandRetryInterval);
    return voters[(pending.id + tries) % voters.size()];
}

void trySend(State& state, PendingCommand& pending, Effects& effects)
{
    pending.nextTry = state.now + commandRetryInterval;
    if (leadsConfiguration(state)) {
        const auto term = state.configurationLog.replica->term();
        if (pending.proposedIn == term)
            return;
        pending.proposedIn = term;
        // Copied, because an immediate answer removes the pending command.
        const auto command = pending.command;
        propose(state, command, effects);
        return;
    }
    if (pending.hops < maxHops)
        sendTo(state, nextVoter(state, pending),
            configuration::Message {
                configuration::Submit { pending.id, pending.command, static_cast<std::uint8_t>(pending.hops + 1) } },
            effects);
}

void submit(State& state, PendingCommand pending, Effects& effects)
{
    if (state.settings.configurationVoters.empty()) {
        applyLocally(state, pending, effects);
        return;
    }
    auto& log = state.configurationLog;
    pending.id = ++log.lastCommandId;
    pending.deadline = state.now + commandTimeout;
    log.pending.push_back(std::move(pending));
    trySend(state, log.pending.back(), effects);
}

configuration::TakeOutUnit unitOf(ServiceUnit unit) noexcept
{
    return unit == ServiceUnit::DataCentre ? configuration::TakeOutUnit::DataCentre : configuration::TakeOutUnit::Vm;
}

} // namespace

void handle(State& state, const ManifestSubmitted& event, Effects& effects)
{
    PendingCommand pending;
    pending.request = event.request;
    pending.command
        = configuration::SubmitManifest { event.submissionId, event.digest, event.expected, event.manifest };
    submit(state, std::move(pending), effects);
}

void handle(State& state, const AvailabilityCommand& event, Effects& effects)
{
    const auto unit = unitOf(event.unit);
    const auto id = event.submissionId.empty()
        ? state.settings.bootId.text() + "/" + std::to_string(event.request.value)
        : event.submissionId;
    PendingCommand pending;
    pending.request = event.request;
    if (event.takeOut) {
        pending.command = configuration::AddTakeOut { id, { {}, unit, event.name } };
    } else {
        configuration::BringBack back { id, unit, event.name, {} };
        for (const auto& it : state.configurationLog.table.takeOuts()) {
            if (it.unit == unit && it.name == event.name)
                back.cancelled.push_back(it.id);
        }
        pending.command = std::move(back);
    }
    submit(state, std::move(pending), effects);
}

void answerPending(State& state, const Answer& answer, Effects& effects)
{
    std::erase_if(state.configurationLog.pending, [&](const auto& it) {
        if (configuration::submissionIdOf(it.command) != answer.submissionId)
            return false;
        reply(state, it, answer, effects);
        return true;
    });
}

void advancePending(State& state, Effects& effects)
{
    auto& pending = state.configurationLog.pending;
    std::erase_if(pending, [&](const auto& it) {
        if (state.now < it.deadline)
            return false;
        const auto revision = state.configuration.revision;
        reply(state, it,
            { configuration::submissionIdOf(it.command), Result::NotAccepted, revision, revision,
                "no leader of the configuration log answered; send the same submission again" },
            effects);
        return true;
    });
    // A proposal may answer and remove commands, so each iteration searches for the next due one from the start.
    for (;;) {
        const auto due
            = std::find_if(pending.begin(), pending.end(), [&](const auto& it) { return state.now >= it.nextTry; });
        if (due == pending.end())
            return;
        trySend(state, *due, effects);
    }
}

void receive(State& state, const VmId& from, const configuration::Submit& message, Effects& effects)
{
    if (state.settings.configurationVoters.empty())
        return;
    auto& pending = state.configurationLog.pending;
    const bool duplicate = std::any_of(pending.begin(), pending.end(), [&](const auto& it) {
        return it.from == from && it.peerRequest == message.request
            && configuration::submissionIdOf(it.command) == configuration::submissionIdOf(message.command);
    });
    if (duplicate)
        return;
    PendingCommand command;
    command.command = message.command;
    command.from = from;
    command.peerRequest = message.request;
    command.hops = message.hops;
    submit(state, std::move(command), effects);
}

void receive(State& state, const VmId&, const configuration::Reply& message, Effects& effects)
{
    if (message.answer.result == Result::NotAccepted)
        return;
    auto& pending = state.configurationLog.pending;
    const bool awaited
        = std::any_of(pending.begin(), pending.end(), [&](const auto& it) { return it.id == message.request; });
    if (awaited)
        answerPending(state, message.answer, effects);
}

} // namespace rosemarymill::node
