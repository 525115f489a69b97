#pragma once

#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/ledger/client.hpp>
#include <rosemarymill/core/ledger/home.hpp>
#include <rosemarymill/core/ledger/replica.hpp>

#include <map>
#include <optional>

/// One process's part in the ledger of idempotency keys.
namespace rosemarymill::node {

/// Ledger home in the memory of a process whose settings name no peers and no voters. Its keys are lost at a restart,
/// so it is meant for trials on one machine only.
struct LocalHome {
    ledger::HomeState state;
    ledger::Machine machine;
    agreement::Index applied { 0 };
};

/// Ledger home with a replicated log in which this process is a voter.
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
