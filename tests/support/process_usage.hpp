#pragma once

#include <arpa/inet.h>
#include <sys/types.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iterator>
#include <limits>
#include <sstream>
#include <string>
#include <utility>

/// Memory and descriptors of another process.
namespace rosemarymill::test {

/// Peaks of a process's memory and open descriptors, from samples and from the kernel's own record.
class ProcessUsage {
public:
    /// `ip` is the address of the process's listeners. Bytes that arrived at it and have not been read count as memory.
    ProcessUsage(pid_t pid, const std::string& ip)
        : m_folder("/proc/" + std::to_string(pid))
    {
        in_addr address {};
        inet_pton(AF_INET, ip.c_str(), &address);
        std::ostringstream text;
        text << std::uppercase << std::hex << std::setw(8) << std::setfill('0') << address.s_addr;
        m_localAddress = text.str() + ':';
    }

    void sample()
    {
        m_bytes = std::max({ m_bytes, statusField("VmHWM:"), statusField("VmRSS:") + unreadBytes() });
        std::error_code ec;
        const std::filesystem::directory_iterator entries(m_folder / "fd", ec);
        if (!ec)
            m_descriptors
                = std::max(m_descriptors, static_cast<std::size_t>(std::distance(begin(entries), end(entries))));
    }

    [[nodiscard]] std::size_t peakBytes() const noexcept { return m_bytes; }
    [[nodiscard]] std::size_t peakDescriptors() const noexcept { return m_descriptors; }

private:
    [[nodiscard]] std::size_t statusField(const std::string& name) const
    {
        constexpr std::size_t kibibyte = 1024;
        std::ifstream file(m_folder / "status");
        std::size_t value = 0;
        for (std::string word; file >> word;) {
            if (word == name && file >> value)
                return value * kibibyte;
        }
        return 0;
    }

    /// Sum of the receive queues of all connections to the process's address.
    [[nodiscard]] std::size_t unreadBytes() const
    {
        constexpr int hexadecimal = 16;
        std::ifstream file("/proc/net/tcp");
        std::size_t sum = 0;
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        while (file >> number >> local >> remote >> state >> queues) {
            if (local.starts_with(m_localAddress) && state != listening)
                sum += std::stoul(queues.substr(queues.find(':') + 1), nullptr, hexadecimal);
            file.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
        }
        return sum;
    }

    /// State of a listening socket, whose queue holds connections rather than bytes.
    static constexpr const char* listening = "0A";

    std::filesystem::path m_folder;
    std::string m_localAddress;
    std::size_t m_bytes { 0 };
    std::size_t m_descriptors { 0 };
};

} // namespace rosemarymill::test
