#pragma once

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <functional>
#include <iterator>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// Processes started by tests and benchmarks.
namespace rosemarymill::test {

/// Longest wait for a condition. A wait ends as soon as the condition holds; the limit only ends tests that have
/// failed, so it is far above what a busy machine needs.
inline constexpr std::chrono::seconds waitLimit { 60 };

/// Polls until the condition holds. Returns false when the wait limit has passed.
inline bool waitFor(const std::function<bool()>& condition)
{
    const auto end = std::chrono::steady_clock::now() + waitLimit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds { 20 });
    }
    return true;
}

/// Child process with its output in a temporary file. It is killed and reaped at the latest in the destructor.
class Child {
public:
    Child(const std::string& program, const std::vector<std::string>& arguments)
    {
        std::string path = "/tmp/rosemarymill-test-XXXXXX";
        const int file = mkstemp(path.data());
        if (file < 0)
            throw std::runtime_error("no temporary file for the output of " + program);
        m_output = path;
        std::vector<char*> argv { const_cast<char*>(program.c_str()) };
        for (const auto& it : arguments)
            argv.push_back(const_cast<char*>(it.c_str()));
        argv.push_back(nullptr);
        m_pid = fork();
        if (m_pid == 0) {
            dup2(file, STDOUT_FILENO);
            dup2(file, STDERR_FILENO);
            execv(program.c_str(), argv.data());
            _exit(127);
        }
        close(file);
    }

    Child(Child&& other) noexcept
        : m_pid(std::exchange(other.m_pid, -1))
        , m_output(std::exchange(other.m_output, {}))
    {
    }
    Child& operator=(Child&&) = delete;

    ~Child()
    {
        if (m_pid > 0) {
            kill(m_pid, SIGKILL);
            waitpid(m_pid, nullptr, 0);
        }
        if (!m_output.empty())
            unlink(m_output.c_str());
    }

    [[nodiscard]] pid_t pid() const noexcept { return m_pid; }

    [[nodiscard]] std::string output() const
    {
        std::ifstream in(m_output);
        return { std::istreambuf_iterator<char>(in), {} };
    }

    /// Waits for a word after the given text in the output and returns it without a final full stop.
    [[nodiscard]] std::string waitForWordAfter(const std::string& text) const
    {
        std::string word;
        const bool found = waitFor([&] {
            const auto all = output();
            const auto pos = all.find(text);
            const auto end = pos == std::string::npos ? pos : all.find('\n', pos);
            if (end == std::string::npos)
                return false;
            word = all.substr(pos + text.size(), end - pos - text.size());
            return true;
        });
        if (!found)
            throw std::runtime_error("no '" + text + "' in the output: " + output());
        return word.ends_with('.') ? word.substr(0, word.size() - 1) : word;
    }

    void signal(int number) const { kill(m_pid, number); }

    /// Waits for the end of the process. Returns its exit code, or -1 when it was killed or did not end.
    int wait()
    {
        int status = 0;
        const bool ended = waitFor([&] { return waitpid(m_pid, &status, WNOHANG) == m_pid; });
        if (!ended)
            return -1;
        m_pid = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }

private:
    pid_t m_pid { -1 };
    std::string m_output;
};

} // namespace rosemarymill::test
