#include <rosemarymill/daemon/settings.hpp>

#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <random>

namespace rosemarymill::daemon {

namespace {

std::vector<VmId> vmIds(const std::vector<std::string>& names)
{
    std::vector<VmId> ids;
    ids.reserve(names.size());
    for (const auto& name : names)
        ids.emplace_back(name);
    return ids;
}

std::uint64_t drawSeed()
{
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t> {}(device);
}

} // namespace

node::Settings nodeSettings(const Settings& settings)
{
    node::Settings node;
    node.vm = VmId { settings.vm };
    node.dataCentre = DataCentreId { settings.dataCentre };
    node.announceAddress = settings.callerAddress;
    node.seed = settings.seed ? *settings.seed : drawSeed();
    node.bootId = BootId { boost::uuids::to_string(boost::uuids::random_generator()()) };
    node.peerAddress = settings.peerAddress;
    node.peers = settings.peers;
    node.configurationVoters = vmIds(settings.configurationVoters);
    for (const auto& [home, voters] : settings.ledgerVoters)
        node.ledgerVoters[DataCentreId { home }] = vmIds(voters);
    node.placementAcceptors = vmIds(settings.placementAcceptors);
    node.hasDisk = !settings.dataFolder.empty();
    node.streamLimits = { settings.streamHighWaterBytes, settings.streamLowWaterBytes, settings.streamBudgetBytes,
        std::chrono::milliseconds { settings.streamStallMs } };
    return node;
}

} // namespace rosemarymill::daemon
