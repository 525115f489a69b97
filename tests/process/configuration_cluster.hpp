#pragma once

#include "support/file.hpp"
#include "support/http.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <functional>
#include <stdexcept>
#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/// Three voters of the configuration and of a ledger home, and one process without a disk, as real processes on
/// loopback.
namespace rosemarymill::test {

class ConfigurationCluster {
public:
    static constexpr std::size_t size = 4;
    static constexpr std::size_t diskless = 3;

    ConfigurationCluster()
        : m_base(event_base_new())
    {
        std::string name = (std::filesystem::temp_directory_path() / "rosemarymill-XXXXXX").string();
        m_folder = mkdtemp(name.data());
        reservePorts();
        for (std::size_t i = 0; i < size; ++i)
            start(i);
    }

    ~ConfigurationCluster()
    {
        for (std::size_t i = 0; i < size; ++i)
            stop(i, SIGKILL);
        std::error_code ec;
        std::filesystem::remove_all(m_folder, ec);
    }

    ConfigurationCluster(const ConfigurationCluster&) = delete;
    ConfigurationCluster& operator=(const ConfigurationCluster&) = delete;

    void start(std::size_t i)
    {
        const auto folder = m_folder / name(i);
        std::filesystem::create_directories(folder);
        std::vector<std::string> args { std::string(ROSEMARYMILL_BINARY_DIR) + "/packages/daemon/rosemarymilld", "--vm",
            name(i), "--data-centre", "mixco", "--log-level", "error", "--caller-address", address(m_ports[i][0]),
            "--operator-address", address(m_ports[i][1]), "--peer-address", address(m_ports[i][2]) };
        for (std::size_t other = 0; other < size; ++other) {
            if (other != i)
                args.insert(args.end(), { "--peer", name(other) + "@mixco=" + address(m_ports[other][2]) });
            if (other != diskless)
                args.insert(
                    args.end(), { "--configuration-voter", name(other), "--ledger-voter", "mixco=" + name(other) });
        }
        if (i != diskless)
            args.insert(args.end(), { "--data-folder", folder.string() });
        std::vector<char*> argv;
        argv.reserve(args.size() + 1);
        for (auto& it : args)
            argv.push_back(it.data());
        argv.push_back(nullptr);
        m_pids[i] = ::fork();
        if (m_pids[i] == 0) {
            ::execv(argv[0], argv.data());
            ::_exit(127);
        }
    }

    void stop(std::size_t i, int signal)
    {
        if (m_pids[i] <= 0)
            return;
        ::kill(m_pids[i], SIGCONT);
        ::kill(m_pids[i], signal);
        ::waitpid(m_pids[i], nullptr, 0);
        m_pids[i] = 0;
    }

    void signal(std::size_t i, int number) const { ::kill(m_pids[i], number); }

    HttpResponse apply(std::size_t i, const std::string& manifest, const std::string& id, std::uint64_t expected)
    {
        return request(*m_base, m_ports[i][1], EVHTTP_REQ_POST, "/v1/manifest", manifest,
            { { "X-Submission-Id", id }, { "X-Expect-Revision", std::to_string(expected) } });
    }

    /// Revision that a process reports as in force; 0 when it does not answer.
    std::uint64_t revision(std::size_t i)
    {
        const auto response = request(*m_base, m_ports[i][1], EVHTTP_REQ_GET, "/v1/status");
        if (response.status != 200)
            return 0;
        return nlohmann::json::parse(response.body)["configuration"]["revision"];
    }

    /// Address for callers and backend servers.
    [[nodiscard]] std::string callers(std::size_t i) const { return address(m_ports[i][0]); }

    int readyStatus(std::size_t i) { return request(*m_base, m_ports[i][1], EVHTTP_REQ_GET, "/readyz").status; }

    /// Applies the first manifest repeatedly until it is accepted, as the log has no leader at first. Returns false
    /// after 20 s.
    bool applyFirst(const std::string& manifest)
    {
        return eventually([&] { return apply(0, manifest, "first", 0).status == 200; });
    }

    static bool eventually(const std::function<bool()>& condition)
    {
        constexpr auto limit = std::chrono::seconds { 20 };
        for (const auto end = std::chrono::steady_clock::now() + limit; std::chrono::steady_clock::now() < end;) {
            if (condition())
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds { 20 });
        }
        return false;
    }

    static std::string name(std::size_t i) { return "vm-" + std::to_string(i); }

private:
    static std::string address(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

    /// Lets the kernel choose free ports. All sockets stay open until the last port is chosen, so that the ports
    /// differ.
    void reservePorts()
    {
        std::vector<int> sockets;
        for (auto& ports : m_ports) {
            for (auto& port : ports) {
                sockaddr_in any {};
                any.sin_family = AF_INET;
                any.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
                socklen_t length = sizeof(any);
                sockets.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
                auto* generic = reinterpret_cast<sockaddr*>(&any);
                if (::bind(sockets.back(), generic, length) != 0
                    || ::getsockname(sockets.back(), generic, &length) != 0)
                    throw std::runtime_error("no free port");
                port = ntohs(any.sin_port);
            }
        }
        for (const auto it : sockets)
            ::close(it);
    }

    EventBase m_base;
    std::filesystem::path m_folder;
    std::array<std::array<std::uint16_t, 3>, size> m_ports {};
    std::array<pid_t, size> m_pids {};
};

} // namespace rosemarymill::test
