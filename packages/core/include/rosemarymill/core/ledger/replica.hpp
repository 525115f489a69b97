#pragma once

#include <rosemarymill/core/agreement/replica.hpp>
#include <rosemarymill/core/ledger/machine.hpp>

#include <string>

/// The replicated log of one ledger home.
namespace rosemarymill::ledger {

using Replica = agreement::Replica<Machine>;
using LogRecord = agreement::Record<Command, Machine::Snapshot>;
using PersistedLog = agreement::PersistedState<Command, Machine::Snapshot>;

/// Message between the voters of a home.
struct LogMessage {
    DataCentreId home;
    agreement::Message<Command, Machine::Snapshot> message;

    friend bool operator==(const LogMessage&, const LogMessage&) = default;
};

/// Prefix of the names of the homes' logs.
inline constexpr const char* logNamePrefix = "ledger-";

/// Name of a home's log, in messages and in the data folder.
[[nodiscard]] inline std::string logName(const DataCentreId& home) { return logNamePrefix + home.text(); }

/// Applied entries after which a snapshot is taken. A snapshot must fit into one frame of 1.375 MiB to be sent, so
/// voters that missed fewer entries than this catch up from the entries themselves.
inline constexpr std::uint64_t snapshotInterval = 20'000;

} // namespace rosemarymill::ledger
