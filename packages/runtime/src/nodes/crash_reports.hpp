#pragma once

#include <rosemarymill/core/base/hash.hpp>
#include <rosemarymill/core/fleet/message.hpp>
#include <rosemarymill/core/quarantine/quarantine.hpp>
#include <rosemarymill/runtime/base/log.hpp>

#include <algorithm>
#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace rosemarymill::runtime::nodes {

/// Maximum of fingerprints in one log line.
inline constexpr std::size_t maxLoggedFingerprints = 8;

/// Logs a crash report with its server, the server's boot id and the fingerprints of the requests.
inline void logCrashReport(std::string_view decision, const quarantine::CrashReport& report)
{
    std::string fingerprints;
    const auto n = std::min(report.fingerprints.size(), maxLoggedFingerprints);
    for (std::size_t i = 0; i < n; ++i)
        fingerprints += formatFingerprint(report.fingerprints[i]) + ' ';
    writeDecision("quarantine", decision,
        { { "kind", std::string(nameOf(report.kind)) }, { "server", report.crash.server.text() },
            { "boot", report.crash.bootId.text() }, { "requests", std::to_string(report.fingerprints.size()) },
            { "fingerprints", fingerprints } });
}

/// Maximum of reports in one message, so that it fits into a frame.
inline constexpr std::size_t maxReportsPerMessage = 64;

/// Calls `send(CrashReports)` for batches of at most `maxReportsPerMessage` reports.
template <typename Send> void sendInParts(std::span<const quarantine::CrashReport> reports, Send&& send)
{
    while (!reports.empty()) {
        const auto n = std::min(reports.size(), maxReportsPerMessage);
        send(fleet::CrashReports { { reports.begin(), reports.begin() + static_cast<std::ptrdiff_t>(n) } });
        reports = reports.subspan(n);
    }
}

} // namespace rosemarymill::runtime::nodes
