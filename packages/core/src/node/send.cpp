#include "call_handlers.hpp"

#include <algorithm>
#include <utility>

namespace rosemarymill::node {

void sendTo(State& state, const VmId& vm, PeerMessage message, Effects& effects)
{
    const auto& peers = state.settings.peers;
    const auto it = std::find_if(peers.begin(), peers.end(), [&](const auto& peer) { return peer.vm == vm; });
    if (it != peers.end())
        effects(SendPeer { vm, it->address, std::move(message) });
}

std::vector<VmId> localPeers(const State& state)
{
    std::vector<VmId> vms;
    for (const auto& peer : state.settings.peers) {
        if (peer.dataCentre == state.settings.dataCentre && peer.vm != state.settings.vm)
            vms.push_back(peer.vm);
    }
    return vms;
}

} // namespace rosemarymill::node
