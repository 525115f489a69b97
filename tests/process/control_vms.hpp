#pragma once

#include "daemons.hpp"

#include <cstdint>
#include <filesystem>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include <unistd.h>

/// Control VMs of the users' platform as real processes. Each has a loopback address of its own; ports are the same.
namespace rosemarymill::test {

class ControlVms {
public:
    static constexpr std::uint16_t port = 8229;

    /// Starts VMs that vote in the control log, and gateways, which have no data folder and only accept orders.
    /// `limits` are those of each process.
    explicit ControlVms(std::size_t voters, std::size_t gateways = 0, nlohmann::json limits = nlohmann::json::object())
        : m_voters(voters)
        , m_limits(std::move(limits))
    {
        const auto pid = static_cast<unsigned>(getpid());
        m_network = "127." + std::to_string(1 + pid / 250 % 250) + '.' + std::to_string(pid % 250) + '.';
        for (std::size_t i = 0; i < voters + gateways; ++i)
            m_ips.push_back(m_network + std::to_string(i + 1));
        for (std::size_t i = 0; i < m_ips.size(); ++i)
            m_daemons.start(settingsOf(i, true));
    }

    /// Addresses of all VMs by their index.
    [[nodiscard]] const std::vector<std::string>& ips() const noexcept { return m_ips; }

    /// Index of the VM whose last logged role is that of the leader. Throws when there is none.
    [[nodiscard]] std::size_t leader() const
    {
        constexpr std::string_view roleChanged = R"("text":"changed log role","role":")";
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            const auto log = m_daemons[i].output();
            const auto at = log.rfind(roleChanged);
            if (at != std::string::npos && log.substr(at + roleChanged.size()).starts_with("2\""))
                return i;
        }
        throw std::runtime_error("no control VM leads");
    }

    /// First three parts of the VMs' addresses, with a dot.
    [[nodiscard]] const std::string& network() const noexcept { return m_network; }

    [[nodiscard]] Daemons& daemons() noexcept { return m_daemons; }

    /// Restarts the process of a VM that has ended, with its data folder and without bootstrap.
    void restart(std::size_t i)
    {
        m_daemons.write(i, settingsOf(i, false));
        m_daemons.restart(i);
    }

    void signal(std::size_t i, int number) const { m_daemons[i].signal(number); }

    /// Sends SIGTERM to a VM's process. Returns its exit code, or -1 when it was killed or did not end.
    int stop(std::size_t i)
    {
        m_daemons[i].signal(SIGTERM);
        return m_daemons[i].wait();
    }

    /// Log lines of all VMs about changes of their role in the control log.
    [[nodiscard]] std::string elections() const
    {
        std::string lines;
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            std::istringstream log(m_daemons[i].output());
            for (std::string line; std::getline(log, line);) {
                if (line.find("changed log role") != std::string::npos)
                    lines += "VM " + std::to_string(i) + ": " + line + '\n';
            }
        }
        return lines;
    }

private:
    [[nodiscard]] nlohmann::json settingsOf(std::size_t i, bool bootstrap) const
    {
        using nlohmann::json;
        const auto name = "control-" + std::to_string(i + 1);
        auto seeds = json::array();
        for (std::size_t seed = 0; seed < m_voters; ++seed)
            seeds.push_back(m_ips[seed] + ':' + std::to_string(port));
        json settings { { "node", name }, { "zone", "zone-" + std::to_string(i % 3) }, { "ip", m_ips[i] },
            { "machine_class", i < m_voters ? "core" : "edge" }, { "serves", { "control" } },
            { "listen", { { "control_plane", m_ips[i] + ':' + std::to_string(port) } } },
            { "internal_ports", { 7340, 7355 } }, { "seeds", seeds }, { "bootstrap", bootstrap },
            { "heartbeat_ms", 1200 }, { "fault_tolerance", { { "machine_count", (m_voters - 1) / 2 } } },
            { "bounds", { { "catch_up_s", 4 }, { "contact_ms", 3000 }, { "ack_ms", 4000 } } }, { "limits", m_limits } };
        if (i < m_voters) {
            const auto data = m_daemons.folder() / name;
            std::filesystem::create_directories(data);
            settings["data_dir"] = data.string();
        }
        return settings;
    }

    std::size_t m_voters;
    nlohmann::json m_limits;
    std::string m_network;
    std::vector<std::string> m_ips;
    Daemons m_daemons;
};

} // namespace rosemarymill::test
