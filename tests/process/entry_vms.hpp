#pragma once

#include "control_vms.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Entry VMs of the users' platform as real processes beside control VMs.
namespace rosemarymill::test {

class EntryVms {
public:
    static constexpr std::uint16_t port = 8227;
    static constexpr std::uint16_t readyPort = 8220;

    /// Starts VMs at the addresses from 51 on. `limits` are those of each process.
    EntryVms(const ControlVms& controls, std::size_t n, const nlohmann::json& limits = nlohmann::json::object())
    {
        auto seeds = nlohmann::json::array();
        for (const auto& it : controls.ips())
            seeds.push_back(it + ':' + std::to_string(ControlVms::port));
        for (std::size_t i = 0; i < n; ++i) {
            const auto& ip = m_ips.emplace_back(controls.network() + std::to_string(51 + i));
            m_daemons.start({ { "node", "entry-" + std::to_string(i + 1) }, { "zone", "zone-0" }, { "ip", ip },
                { "machine_class", "edge" }, { "serves", { "edge" } },
                { "listen",
                    { { "frontend", ip + ':' + std::to_string(port) },
                        { "ready", ip + ':' + std::to_string(readyPort) } } },
                { "internal_ports", { 7340, 7355 } }, { "seeds", seeds }, { "heartbeat_ms", 1200 },
                { "bounds", { { "retry_ratio", 0.2 }, { "retry_slack", 130 } } }, { "limits", limits } });
        }
    }

    [[nodiscard]] const std::vector<std::string>& ips() const noexcept { return m_ips; }
    [[nodiscard]] Daemons& daemons() noexcept { return m_daemons; }

private:
    std::vector<std::string> m_ips;
    Daemons m_daemons;
};

} // namespace rosemarymill::test
