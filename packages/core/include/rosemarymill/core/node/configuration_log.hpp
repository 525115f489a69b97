#pragma once

#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/core/configuration/message.hpp>
#include <rosemarymill/core/configuration/readiness.hpp>
#include <rosemarymill/core/configuration/replica.hpp>

#include <cstdint>
#include <list>
#include <optional>

/// One process's state of the configuration log and of its distribution.
namespace rosemarymill::node {

/// Command that awaits its answer. It is sent again until the answer arrives or the deadline passes; its submission id
/// prevents a second application.
struct PendingCommand {
    configuration::Command command;
    /// Operator request at this process; none when another process forwarded the command.
    RequestId request;
    VmId from;
    std::uint64_t peerRequest { 0 };
    /// Number of processes that forwarded the command before this one.
    std::uint8_t hops { 0 };
    /// Identifies the command in messages of this process.
    std::uint64_t id { 0 };
    Instant deadline;
    Instant nextTry;
    /// Term in which this process, as the leader, last proposed the command; zero when it never did.
    agreement::Term proposedIn { 0 };
};

struct ConfigurationLog {
    /// State read from the data folder before the start; only on voters.
    std::optional<configuration::PersistedLog> persistedState;
    /// Only on voters.
    std::optional<configuration::Replica> replica;
    /// Applies commands directly when the settings name no voters.
    configuration::Machine local;
    /// Entries in force in this process.
    configuration::EntryTable table;
    std::optional<configuration::Readiness> readiness;
    std::list<PendingCommand> pending;
    std::uint64_t lastCommandId { 0 };
    Instant nextPull;
    std::size_t pullTarget { 0 };
};

} // namespace rosemarymill::node
