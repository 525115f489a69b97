#include <rosemarymill/core/base/hash.hpp>

#include <algorithm>

#include "handlers.hpp"

namespace rosemarymill::membership {

namespace {

constexpr std::size_t treeFanout = 2;

bool isRelay(const State& state)
{
    const auto relays = relaysOf(state);
    return std::find(relays.begin(), relays.end(), state.settings.vm) != relays.end();
}

void composeOwnDigest(State& state)
{
    auto& digest = state.digests[state.settings.dataCentre];
    digest.dataCentre = state.settings.dataCentre;
    ++digest.version;
    digest.aliveMembers = static_cast<std::uint32_t>(runningMembers(state).size());
    const auto load = state.dataCentreLoad.value_or(digest.facts.load);
    digest.facts = state.facts;
    digest.facts.load = load;
    digest.relays.clear();
    for (const auto& vm : relaysOf(state))
        digest.relays.push_back({ vm, addressOf(state, vm) });
}

void sendDigests(
    State& state, const Relay& to, const VmId& root, std::vector<DataCentreDigest> digests, Effects& effects)
{
    effects(Send { to.vm, to.address, Digest { makeHeader(state, to.vm), root, std::move(digests) } });
}

std::vector<DataCentreDigest> allDigests(const State& state)
{
    std::vector<DataCentreDigest> digests;
    for (const auto& [id, digest] : state.digests)
        digests.push_back(digest);
    return digests;
}

/// Sends digests to this process's children in a binary tree over the members, rooted at a relay.
void sendDownTree(State& state, const VmId& root, const std::vector<DataCentreDigest>& digests, Effects& effects)
{
    auto order = runningMembers(state);
    std::sort(order.begin(), order.end(), [&](const auto& a, const auto& b) {
        return std::pair { a != root, rendezvousWeight(root.text(), a.text()) }
        < std::pair { b != root, rendezvousWeight(root.text(), b.text()) };
    });
    const auto self = std::find(order.begin(), order.end(), state.settings.vm) - order.begin();
    for (std::size_t i = 1; i <= treeFanout; ++i) {
        const auto child = static_cast<std::size_t>(self) * treeFanout + i;
        if (child < order.size())
            sendDigests(state, { order[child], addressOf(state, order[child]) }, root, digests, effects);
    }
}

/// Exchanges digests with one relay of every other data centre. A data centre from which no digest was received is
/// contacted through a seed, whose answer names the relays.
void sendToOtherDataCentres(State& state, Effects& effects)
{
    std::map<DataCentreId, std::vector<Relay>> contacts;
    for (const auto& seed : state.settings.seeds) {
        if (seed.dataCentre != state.settings.dataCentre)
            contacts[seed.dataCentre].push_back({ seed.vm, seed.address });
    }
    for (const auto& [id, digest] : state.digests) {
        if (id != state.settings.dataCentre && !digest.relays.empty()) {
            // One contact in four goes to a seed, because all relays of the digest may have failed.
            if (state.random() % 4 != 0 || contacts[id].empty())
                contacts[id] = digest.relays;
        }
    }
    const auto own = state.digests.at(state.settings.dataCentre);
    for (const auto& [id, relays] : contacts) {
        sendDigests(state, relays[state.random() % relays.size()], {}, { own }, effects);
    }
}

std::vector<DataCentreDigest> installNewer(State& state, const Digest& message)
{
    std::vector<DataCentreDigest> installed;
    for (const auto& digest : message.digests) {
        auto& stored = state.digests[digest.dataCentre];
        if (digest.version <= stored.version)
            continue;
        stored = digest;
        installed.push_back(digest);
    }
    return installed;
}

} // namespace

std::vector<VmId> relaysOf(const State& state)
{
    auto members = runningMembers(state);
    const auto count = std::min(members.size(), relaysPerDataCentre);
    std::partial_sort(members.begin(), members.begin() + static_cast<std::ptrdiff_t>(count), members.end(),
        [](const auto& a, const auto& b) {
            return rendezvousWeight("relay", a.text()) > rendezvousWeight("relay", b.text());
        });
    members.resize(count);
    return members;
}

void exchangeDigests(State& state, Effects& effects)
{
    if (isRelay(state)) {
        composeOwnDigest(state);
        sendToOtherDataCentres(state, effects);
        const bool others = std::any_of(state.settings.seeds.begin(), state.settings.seeds.end(),
            [&](const auto& seed) { return seed.dataCentre != state.settings.dataCentre; });
        if (others || state.digests.size() > 1)
            sendDownTree(state, state.settings.vm, allDigests(state), effects);
    } else if (state.dataCentreLoad) {
        // Only the placement leader has the load of the whole data centre, so it sends it to the relays.
        composeOwnDigest(state);
        // A relay raises the version by one in the same second; the leader's digest must replace that one.
        auto& own = state.digests.at(state.settings.dataCentre);
        ++own.version;
        for (const auto& vm : relaysOf(state))
            sendDigests(state, { vm, addressOf(state, vm) }, {}, { own }, effects);
    }
}

void handle(State& state, const Digest& message, Instant, Effects& effects)
{
    const auto installed = installNewer(state, message);
    const auto& sender = message.header.sender;
    if (message.header.dataCentre != state.settings.dataCentre) {
        const auto own = state.digests.find(state.settings.dataCentre);
        if (!isRelay(state) && own != state.digests.end())
            sendDigests(state, { sender.vm, sender.address }, {}, { own->second }, effects);
        return;
    }
    if (!message.root.empty() && !installed.empty())
        sendDownTree(state, message.root, installed, effects);
}

} // namespace rosemarymill::membership
