#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/ledger/client.hpp>
#include <rosemarymill/core/ledger/home.hpp>
#include <rosemarymill/core/ledger/replica.hpp>

#include <map>
#include <optional>

/// The ledger as one process takes part in it.
namespace rosemarymill::node {

/// Home kept in the memory of a process that has no peers and no voters in its settings. It forgets its keys at a
/// restart, so it serves trials on one machine only.
struct LocalHome {
    ledger::HomeState state;
    ledger::Machine machine;
    agreement::Index applied { 0 };
};

/// Home whose log this process is a voter of.
struct ReplicatedHome {
    ledger::HomeState state;
    /// State read from the data folder before the start.
    std::optional<ledger::PersistedLog> persistedState;
    std::optional<ledger::Replica> replica;
};

/// Ledger part of a process's state.
struct Ledger {
    ledger::ClientState client;
    std::optional<LocalHome> local;
    std::map<DataCentreId, ReplicatedHome> homes;
};

} // namespace rosemarymill::node
