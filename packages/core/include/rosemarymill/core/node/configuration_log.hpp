#pragma once

#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/core/configuration/message.hpp>
#include <rosemarymill/core/configuration/readiness.hpp>
#include <rosemarymill/core/configuration/replica.hpp>

#include <cstdint>
#include <list>
#include <optional>

/// Part of one process in the configuration log and in its distribution.
namespace rosemarymill::node {

/// Command that waits for its answer. It is sent again until the answer or the deadline comes; the submission id keeps
/// it from being applied twice.
struct PendingCommand {
    configuration::Command command;
    /// Operator of this process; none when another process passed the command on.
    RequestId request;
    VmId from;
    std::uint64_t peerRequest { 0 };
    /// Processes that the command had passed before.
    std::uint8_t hops { 0 };
    /// Identifies the command in messages of this process.
    std::uint64_t id { 0 };
    Instant deadline;
    Instant nextTry;
    /// Term in which this process proposed the command as the leader; zero for none.
    agreement::Term proposedIn { 0 };
};

struct ConfigurationLog {
    /// State read from the data folder before the start; only on voters.
    std::optional<configuration::PersistedLog> persistedState;
    /// Only on voters.
    std::optional<configuration::Replica> replica;
    /// Applies commands where no voters are named.
    configuration::Machine local;
    /// Entries in force in this process.
    configuration::EntryTable table;
    std::optional<configuration::Readiness> readiness;
    std::list<PendingCommand> pending;
    std::uint64_t lastCommand { 0 };
    Instant nextPull;
    std::size_t pullTarget { 0 };
};

} // namespace rosemarymill::node
