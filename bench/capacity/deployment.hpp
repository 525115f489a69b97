#pragma once

#include <rosemarymill/runtime/base/address.hpp>

#include <support/child.hpp>
#include <support/http.hpp>

#include <algorithm>
#include <filesystem>
#include <map>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

/// Starts one data centre of real processes for the capacity benchmark.
namespace rosemarymill::bench {

/// Cost of one process.
struct Cost {
    double cpuPercent { 0 };
    double sentBytesPerSecond { 0 };
    double sentMessagesPerSecond { 0 };
    double residentMib { 0 };
};

/// Costs over all entry VM processes of one deployment.
struct Costs {
    Cost mean;
    /// Maximum of each figure over the processes.
    Cost largest;
};

/// Sums all samples of a metric in Prometheus text whose line contains the given label text.
inline double sumOf(const std::string& text, const std::string& metric, const std::string& label)
{
    std::istringstream in(text);
    double sum = 0;
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with(metric) && line.find(label) != std::string::npos)
            sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
    return sum;
}

/// Entry VM processes and stand-in engines on loopback. The first three processes are voters and acceptors.
class Deployment {
public:
    Deployment(std::size_t members, std::size_t servers)
        : m_folder(std::filesystem::temp_directory_path() / ("rosemarymill-capacity-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(m_folder);
        m_peerAddresses = freeAddresses(members);
        for (std::size_t i = 0; i < members; ++i)
            startMember(i);
        for (auto& it : m_members) {
            m_operatorPorts.push_back(portAfter(it, "Operators at "));
            m_callerAddresses.push_back(it.waitForWordAfter("Callers at "));
        }
        applyManifest();
        for (std::size_t i = 0; i < servers; ++i)
            startServer(i);
        // Gives membership, placement and the groups time to become stable.
        std::this_thread::sleep_for(std::chrono::seconds { 15 });
    }

    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    ~Deployment()
    {
        m_servers.clear();
        m_members.clear();
        std::error_code ec;
        std::filesystem::remove_all(m_folder, ec);
    }

    /// Measures all processes over the given time in seconds.
    [[nodiscard]] Costs measure(double seconds)
    {
        const auto before = snapshot();
        std::this_thread::sleep_for(std::chrono::duration<double> { seconds });
        const auto after = snapshot();
        Costs costs;
        for (std::size_t i = 0; i < before.size(); ++i)
            add(costs, before[i], after[i], seconds);
        return costs;
    }

private:
    struct Counters {
        double cpuSeconds { 0 };
        double sentBytes { 0 };
        double sentMessages { 0 };
        double residentBytes { 0 };
    };

    void add(Costs& costs, const Counters& before, const Counters& after, double seconds) const
    {
        constexpr double mib = 1024.0 * 1024.0;
        const Cost cost { 100 * (after.cpuSeconds - before.cpuSeconds) / seconds,
            (after.sentBytes - before.sentBytes) / seconds, (after.sentMessages - before.sentMessages) / seconds,
            after.residentBytes / mib };
        const auto count = static_cast<double>(m_members.size());
        for (const auto value :
            { &Cost::cpuPercent, &Cost::sentBytesPerSecond, &Cost::sentMessagesPerSecond, &Cost::residentMib }) {
            costs.mean.*value += cost.*value / count;
            costs.largest.*value = std::max(costs.largest.*value, cost.*value);
        }
    }

    [[nodiscard]] std::vector<Counters> snapshot()
    {
        std::vector<Counters> all;
        for (const auto port : m_operatorPorts) {
            const auto response = test::request(*m_base, port, EVHTTP_REQ_GET, "/metrics");
            if (response.status != 200)
                throw std::runtime_error("a request for /metrics failed");
            const auto& text = response.body;
            all.push_back({ sumOf(text, "rosemarymill_process_cpu_seconds_total", ""),
                sumOf(text, "rosemarymill_link_bytes_total", "direction=\"sent\""),
                sumOf(text, "rosemarymill_link_messages_total", "direction=\"sent\""),
                sumOf(text, "rosemarymill_process_resident_bytes", "") });
        }
        return all;
    }

    static std::string name(std::size_t i) { return "entry-" + std::to_string(i); }

    static std::uint16_t portAfter(const test::Child& child, const std::string& text)
    {
        return runtime::portOf(runtime::parseAddress(child.waitForWordAfter(text)).value());
    }

    /// Returns addresses with free ports. They are no longer reserved on return, so another process may take one.
    static std::vector<std::string> freeAddresses(std::size_t count)
    {
        std::vector<int> sockets;
        std::vector<std::string> addresses;
        for (std::size_t i = 0; i < count; ++i) {
            auto address = runtime::parseAddress("127.0.0.1:0").value();
            sockets.push_back(::socket(AF_INET, SOCK_STREAM, 0));
            if (bind(sockets.back(), address.get(), address.length) != 0)
                throw std::runtime_error("no free port");
            addresses.push_back(runtime::formatAddress(runtime::localAddress(sockets.back()).value()));
        }
        for (const auto it : sockets)
            close(it);
        return addresses;
    }

    void startMember(std::size_t i)
    {
        const auto voters = std::min<std::size_t>(3, m_peerAddresses.size());
        std::vector<std::string> arguments { "--vm", name(i), "--data-centre", "mixco", "--caller-address",
            "127.0.0.1:0", "--operator-address", "127.0.0.1:0", "--peer-address", m_peerAddresses[i] };
        const auto add = [&](const std::string& flag, const std::string& value) {
            arguments.push_back("--" + flag);
            arguments.push_back(value);
        };
        for (std::size_t k = 0; k < m_peerAddresses.size(); ++k) {
            if (k != i)
                add("peer", name(k) + "@mixco=" + m_peerAddresses[k]);
        }
        for (std::size_t k = 0; k < voters; ++k) {
            add("configuration-voter", name(k));
            add("placement-acceptor", name(k));
        }
        if (i < voters) {
            const auto folder = m_folder / name(i);
            std::filesystem::create_directories(folder);
            add("data-folder", folder.string());
        }
        m_members.emplace_back(std::string(ROSEMARYMILL_BINARY_DIR) + "/packages/daemon/rosemarymilld", arguments);
    }

    void startServer(std::size_t i)
    {
        const auto id = "engine-" + std::to_string(i);
        // Each fabric domain has eight VMs, which is the size of one group.
        m_servers.emplace_back(std::string(ROSEMARYMILL_BINARY_DIR) + "/standin/standin-engine",
            std::vector<std::string> { "--id", id, "--vm", "vm-" + id, "--data-centre", "mixco", "--fabric-domain",
                "fabric-" + std::to_string(i / 8), "--announce", m_callerAddresses[i % m_callerAddresses.size()] });
    }

    void applyManifest()
    {
        const std::string manifest = R"({"data_centres": ["mixco"], "models": [{"name": "planner", "version": "1",
            "vms_per_replica": 8, "weight_bytes": 1000000, "replicas": {"mixco": {"minimum": 8, "maximum": 8}}}],
            "accounts": [], "services": [], "ledger_homes": [], "weight_store_bytes_per_second": 1000000000})";
        const auto accepted = [&] {
            const auto response = test::request(*m_base, m_operatorPorts[0], EVHTTP_REQ_POST, "/v1/manifest", manifest);
            return response.status == 200;
        };
        if (!test::waitFor(accepted))
            throw std::runtime_error("the manifest was not accepted in time");
    }

    std::filesystem::path m_folder;
    test::EventBase m_base { event_base_new() };
    std::vector<std::string> m_peerAddresses;
    std::vector<test::Child> m_members;
    std::vector<test::Child> m_servers;
    std::vector<std::uint16_t> m_operatorPorts;
    std::vector<std::string> m_callerAddresses;
};

} // namespace rosemarymill::bench
