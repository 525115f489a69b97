#pragma once

#include <rosemarymill/core/membership/reduce.hpp>

#include "../support/virtual_network.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace rosemarymill::test {

/// Members of one data centre on a virtual network.
class MembershipCluster {
public:
    MembershipCluster(std::size_t count, std::uint32_t seed)
        : network(seed)
    {
        std::vector<membership::Seed> seeds;
        for (std::size_t i = 0; i < std::min<std::size_t>(count, 3); ++i)
            seeds.push_back({ vm(i), dataCentre, "a" });
        for (std::size_t i = 0; i < count; ++i) {
            m_seeds = seeds;
            m_nodes.emplace(vm(i), makeNode(vm(i), 1, seed));
        }
        for (auto& [id, node] : m_nodes)
            apply(id, membership::Started { now });
    }

    static VmId vm(std::size_t i) { return VmId { "vm-" + std::to_string(i) }; }

    void run(Duration duration)
    {
        const auto end = now + duration;
        while (now < end) {
            now += 10ms;
            network.deliverUntil(now, [&](auto&& delivery) {
                if (!m_stopped.contains(delivery.to))
                    apply(delivery.to, membership::Received { delivery.at, delivery.from, delivery.message });
            });
            if (now.time_since_epoch() % Duration { 100ms } != Duration { 0 })
                continue;
            for (auto& [id, node] : m_nodes) {
                if (!m_stopped.contains(id))
                    apply(id, membership::Tick { now });
            }
        }
    }

    /// A stopped process neither runs nor receives until it is resumed or restarted.
    void stop(const VmId& id) { m_stopped.insert(id); }
    void resume(const VmId& id) { m_stopped.erase(id); }
    void restart(const VmId& id)
    {
        m_stopped.erase(id);
        m_nodes.erase(id);
        m_nodes.emplace(id, makeNode(id, ++m_boots, 0));
        apply(id, membership::Started { now });
    }

    [[nodiscard]] bool stopped(const VmId& id) const { return m_stopped.contains(id); }
    membership::State& node(const VmId& id) { return m_nodes.at(id); }

    /// Whether each running process counts as many running members as there are.
    bool viewsAgree()
    {
        for (auto& [id, node] : m_nodes) {
            if (m_stopped.contains(id))
                continue;
            if (membership::runningMembers(node).size() != m_nodes.size() - m_stopped.size())
                return false;
        }
        return true;
    }

    VirtualNetwork<membership::Message> network;
    Instant now { 10s };
    /// Broken variant: refutations do not raise the incarnation.
    bool refutationDisabled { false };
    std::map<std::pair<VmId, membership::Change>, std::uint64_t> changes;

    inline static const DataCentreId dataCentre { "mixco" };

private:
    [[nodiscard]] membership::State makeNode(const VmId& id, std::uint64_t boot, std::uint32_t seed) const
    {
        return membership::State { { id, dataCentre, "a", "b", BootId { id.text() + "-" + std::to_string(boot) }, seed,
            m_seeds } };
    }

    void apply(const VmId& id, const membership::Event& event)
    {
        auto& node = m_nodes.at(id);
        membership::Effects effects;
        membership::reduce(node, event, effects);
        if (refutationDisabled)
            node.incarnation = 1;
        for (auto& effect : effects) {
            auto* send = std::get_if<membership::Send>(&effect);
            if (send && refutationDisabled)
                std::visit([](auto& message) { message.header.sender.incarnation = 1; }, send->message);
            if (send)
                network.send(now, id, send->to, std::move(send->message));
            else if (const auto* changed = std::get_if<membership::Changed>(&effect))
                ++changes[{ changed->vm, changed->change }];
        }
    }

    std::vector<membership::Seed> m_seeds;
    std::map<VmId, membership::State> m_nodes;
    std::set<VmId> m_stopped;
    std::uint64_t m_boots { 1 };
};

} // namespace rosemarymill::test
