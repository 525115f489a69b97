#pragma once

#include <sys/types.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

/// Reads the processor time and memory of a process from /proc.
namespace rosemarymill::bench {

/// Processor time in seconds, the sum of user and system time.
inline double processorSeconds(pid_t pid)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::string line;
    std::getline(in, line);
    std::istringstream fields(line.substr(line.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// Value of a field of /proc/PID/status in KiB, e.g. VmRSS or VmHWM; 0 if there is no such field.
inline double memoryKiB(pid_t pid, const std::string& field)
{
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(in, line)) {
        if (line.starts_with(field + ":"))
            return std::stod(line.substr(field.size() + 1));
    }
    return 0;
}

} // namespace rosemarymill::bench
