#pragma once

#include <rosemarymill/core/backend/registry.hpp>
#include <rosemarymill/core/base/id.hpp>
#include <rosemarymill/core/base/time.hpp>
#include <rosemarymill/core/configuration/manifest.hpp>
#include <rosemarymill/core/membership/reduce.hpp>
#include <rosemarymill/core/node/calls.hpp>
#include <rosemarymill/core/node/configuration_log.hpp>
#include <rosemarymill/core/node/ledger.hpp>
#include <rosemarymill/core/node/placement.hpp>
#include <rosemarymill/core/node/policy.hpp>
#include <rosemarymill/core/placement/group.hpp>
#include <rosemarymill/core/stream/stream.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

/// State of one process, as the top reducer updates it.
namespace rosemarymill::node {

/// Another process named in the settings. Membership uses these as seeds to discover further processes.
struct PeerSetting {
    VmId vm;
    DataCentreId dataCentre;
    /// Address of the peer listener, "ip:port".
    std::string address;
};

/// Identity and immutable settings of one process.
struct Settings {
    VmId vm;
    DataCentreId dataCentre;
    /// Address at which backend servers announce themselves to this process, "ip:port".
    std::string announceAddress;
    /// Seed of all random choices.
    std::uint64_t seed { 0 };
    /// Random, generated anew at each start of the process.
    BootId bootId;
    /// Address of this process's own peer listener, "ip:port".
    std::string peerAddress;
    std::vector<PeerSetting> peers;
    /// Voters of the configuration log.
    std::vector<VmId> configurationVoters;
    /// Voters of the ledger log of each home data centre.
    std::map<DataCentreId, std::vector<VmId>> ledgerVoters;
    /// Acceptors of the placement lease of this data centre.
    std::vector<VmId> placementAcceptors;
    /// Bounds on the bytes buffered for callers.
    stream::Limits streamLimits {};
    /// Whether the process has a data folder.
    bool hasDisk { false };
    PolicyChoice policy { PolicyChoice::Shipped };
};

/// Configuration in force in this process.
struct ConfigurationInForce {
    Revision revision;
    std::string submissionId;
    std::string digest;
    configuration::Manifest manifest;
    /// Data centres and VMs that operators took out of service.
    std::vector<configuration::TakeOut> takeOuts;
};

/// Membership settings of a process.
[[nodiscard]] membership::Settings membershipSettings(const Settings& settings);

/// Lease settings of a process.
[[nodiscard]] placement::LeaseSettings leaseSettings(const Settings& settings);

/// Builds the ledger's state from the settings.
[[nodiscard]] Ledger makeLedger(const Settings& settings);

/// State of one process.
struct State {
    explicit State(Settings fixed)
        : settings(std::move(fixed))
        , membership(membershipSettings(settings))
        , placement(leaseSettings(settings))
        , ledger(makeLedger(settings))
        , policy(makePolicy(settings.policy, settings.seed))
    {
        streams.limits = settings.streamLimits;
    }

    Settings settings;
    Instant now;
    ConfigurationInForce configuration;
    ConfigurationLog configurationLog;
    /// Servers whose home this process is.
    backend::Registry servers;
    /// Groups of the data centre, as last published by the placement leader.
    placement::GroupTable groups;
    membership::State membership;
    Placement placement;
    Calls calls;
    stream::State streams;
    /// Reused storage for the stream module's effects, so that the per-token path does not allocate.
    stream::Effects streamEffects;
    Ledger ledger;
    Policy policy;
    bool shuttingDown { false };
};

} // namespace rosemarymill::node
