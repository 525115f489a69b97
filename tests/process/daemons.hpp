#pragma once

#include "support/child.hpp"

#include <platform/names.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>
#include <deque>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <utility>

/// Daemons on the users' platform as real processes, with their settings and data in a temporary folder.
namespace rosemarymill::test {

class Daemons {
public:
    Daemons()
    {
        std::string name = (std::filesystem::temp_directory_path() / "rosemarymill-XXXXXX").string();
        m_folder = mkdtemp(name.data());
    }

    ~Daemons()
    {
        m_processes.clear();
        std::error_code ec;
        std::filesystem::remove_all(m_folder, ec);
    }

    Daemons(const Daemons&) = delete;
    Daemons& operator=(const Daemons&) = delete;

    /// Starts a process with these settings. Its index is the number of processes started before.
    void start(const nlohmann::json& settings)
    {
        write(m_processes.size(), settings);
        m_processes.push_back(run(m_processes.size()));
    }

    void write(std::size_t i, const nlohmann::json& settings) const { std::ofstream(path(i)) << settings.dump(); }

    /// Kills a process and waits for its end.
    void kill(std::size_t i)
    {
        m_processes[i].signal(SIGKILL);
        (void)m_processes[i].wait();
    }

    /// Restarts a process that has ended, with its current settings file.
    void restart(std::size_t i)
    {
        m_outputs += m_processes[i].output();
        std::destroy_at(&m_processes[i]);
        std::construct_at(&m_processes[i], run(i));
    }

    [[nodiscard]] std::size_t size() const noexcept { return m_processes.size(); }
    [[nodiscard]] Child& operator[](std::size_t i) { return m_processes[i]; }
    [[nodiscard]] const Child& operator[](std::size_t i) const { return m_processes[i]; }
    [[nodiscard]] const std::filesystem::path& folder() const noexcept { return m_folder; }

    /// Output of all processes, including that before a restart.
    [[nodiscard]] std::string output() const
    {
        auto all = m_outputs;
        for (const auto& it : m_processes)
            all += it.output();
        return all;
    }

private:
    [[nodiscard]] std::filesystem::path path(std::size_t i) const { return m_folder / (std::to_string(i) + ".json"); }

    [[nodiscard]] Child run(std::size_t i) const
    {
        return { "/usr/bin/env",
            { std::string(platform::settingsVariable) + '=' + path(i).string(),
                std::string(ROSEMARYMILL_BINARY_DIR) + "/packages/daemon/rosemarymilld", "platform" } };
    }

    std::filesystem::path m_folder;
    std::deque<Child> m_processes;
    std::string m_outputs;
};

} // namespace rosemarymill::test
