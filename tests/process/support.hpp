#pragma once

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <regex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ; // NOLINT(readability-redundant-declaration)

/// Programs of the build as child processes of a test.
namespace rosemarymill::test::program {

/// Temporary folder that is removed at the end.
class TemporaryFolder {
public:
    TemporaryFolder()
    {
        if (!mkdtemp(m_path.data()))
            throw std::runtime_error("no temporary folder");
    }
    ~TemporaryFolder()
    {
        for (const auto& file : m_files)
            unlink(file.c_str());
        rmdir(m_path.c_str());
    }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    /// Path of a file that is removed with the folder.
    std::string file(const std::string& name)
    {
        m_files.push_back(m_path + "/" + name);
        return m_files.back();
    }

private:
    std::string m_path { "/tmp/rosemarymill-test-XXXXXX" };
    std::vector<std::string> m_files;
};

inline std::string readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    return { std::istreambuf_iterator<char>(file), {} };
}

/// Child process whose output goes to a file. It is killed at the end when it is still running.
class Child {
public:
    Child(std::vector<std::string> words, const std::string& output)
    {
        std::vector<char*> arguments;
        arguments.reserve(words.size() + 1);
        for (auto& word : words)
            arguments.push_back(word.data());
        arguments.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        const int error = posix_spawn(&m_pid, arguments[0], &actions, nullptr, arguments.data(), environ);
        posix_spawn_file_actions_destroy(&actions);
        if (error != 0)
            throw std::runtime_error(words[0] + " cannot be started");
    }
    ~Child()
    {
        if (m_pid > 0) {
            kill(m_pid, SIGKILL);
            wait();
        }
    }
    Child(const Child&) = delete;
    Child& operator=(const Child&) = delete;

    void terminate() const { kill(m_pid, SIGTERM); }

    /// Exit code, or -1 after a signal.
    int wait()
    {
        int status = 0;
        waitpid(m_pid, &status, 0);
        m_pid = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }

private:
    pid_t m_pid { 0 };
};

/// First group of the expression in a growing file, waited for at most 20 s.
inline std::string waitFor(const std::string& path, const std::string& expression)
{
    const std::regex pattern(expression);
    for (int i = 0; i < 400; ++i) {
        const auto text = readFile(path);
        std::smatch found;
        if (std::regex_search(text, found, pattern))
            return found[1];
        std::this_thread::sleep_for(std::chrono::milliseconds { 50 });
    }
    throw std::runtime_error("'" + expression + "' not found in:\n" + readFile(path));
}

} // namespace rosemarymill::test::program
