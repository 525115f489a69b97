#include <rosemarymill/runtime/metrics/process.hpp>

#include <array>
#include <fstream>
#include <ostream>
#include <utility>

#include <sys/resource.h>
#include <unistd.h>

namespace rosemarymill::runtime {

namespace {

constexpr std::array<const char*, frameKinds> kindNames { "", "hello", "agreement", "configuration", "membership",
    "placement", "admission", "ledger", "quarantine", "forward", "fleet" };

double secondsOf(const timeval& it) { return static_cast<double>(it.tv_sec) + static_cast<double>(it.tv_usec) / 1e6; }

void writeCounter(std::ostream& out, const LinkCounters& counters, const char* name, std::uint64_t FrameCount::*member)
{
    const std::array<std::pair<const char*, const std::array<FrameCount, frameKinds>*>, 3> directions { {
        { "sent", &counters.sent },
        { "received", &counters.received },
        { "dropped", &counters.dropped },
    } };
    out << "# TYPE " << name << " counter\n";
    for (const auto& [direction, counts] : directions) {
        for (std::size_t i = 1; i < frameKinds; ++i)
            out << name << "{kind=\"" << kindNames[i] << "\",direction=\"" << direction << "\"} "
                << (*counts)[i].*member << '\n';
    }
}

} // namespace

void writeProcessMetrics(std::ostream& out)
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    out << "# TYPE rosemarymill_process_cpu_seconds_total counter\nrosemarymill_process_cpu_seconds_total "
        << secondsOf(usage.ru_utime) + secondsOf(usage.ru_stime) << '\n';
    std::ifstream statm("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    if (statm >> total >> resident)
        out << "# TYPE rosemarymill_process_resident_bytes gauge\nrosemarymill_process_resident_bytes "
            << resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE)) << '\n';
}

void writeLinkMetrics(std::ostream& out, const LinkCounters& counters)
{
    writeCounter(out, counters, "rosemarymill_link_messages_total", &FrameCount::messages);
    writeCounter(out, counters, "rosemarymill_link_bytes_total", &FrameCount::bytes);
    out << "# TYPE rosemarymill_link_faults_total counter\nrosemarymill_link_faults_total " << counters.faults
        << "\n# TYPE rosemarymill_link_connects_total counter\nrosemarymill_link_connects_total " << counters.connects
        << "\n# TYPE rosemarymill_link_connect_failures_total counter\nrosemarymill_link_connect_failures_total "
        << counters.connectFailures << '\n';
}

} // namespace rosemarymill::runtime
