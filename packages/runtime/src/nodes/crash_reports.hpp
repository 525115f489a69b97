#pragma once

#include <rosemarymill/core/base/hash.hpp>
#include <rosemarymill/core/fleet/message.hpp>
#include <rosemarymill/core/quarantine/quarantine.hpp>
#include <rosemarymill/runtime/base/log.hpp>

#include <algorithm>
#include <cstddef>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace rosemarymill::runtime::nodes {

/// Maximum of fingerprints, and of parts of prompts, in one log line.
inline constexpr std::size_t maxLoggedFingerprints = 8;

/// Formats the parts for a log line, each once.
inline std::string formatExposures(std::span<const quarantine::Exposure> parts)
{
    std::set<Fingerprint> ids;
    for (const auto& it : parts)
        ids.insert(it.part);
    std::string text;
    std::size_t n = 0;
    for (const auto& it : ids) {
        if (n++ == maxLoggedFingerprints)
            return text + "... (" + std::to_string(ids.size()) + ')';
        text += formatFingerprint(it) + ' ';
    }
    return text;
}

/// Logs a crash report with its server, the server's boot id, the fingerprints of the requests, and the parts of their
/// prompts.
inline void logCrashReport(std::string_view decision, const quarantine::CrashReport& report)
{
    std::string fingerprints;
    const auto n = std::min(report.fingerprints.size(), maxLoggedFingerprints);
    for (std::size_t i = 0; i < n; ++i)
        fingerprints += formatFingerprint(report.fingerprints[i]) + ' ';
    writeDecision("quarantine", decision,
        { { "kind", std::string(nameOf(report.kind)) }, { "server", report.crash.server.text() },
            { "boot", report.crash.bootId.text() }, { "requests", std::to_string(report.fingerprints.size()) },
            { "fingerprints", fingerprints }, { "parts", formatExposures(report.parts) } });
}

/// Maximum of reports in one message, and of parts of prompts in all of them unless one report has more, so that the
/// message fits into a frame.
inline constexpr std::size_t maxReportsPerMessage = 64;
inline constexpr std::size_t maxPartsPerMessage = 4096;

/// Calls `send(CrashReports)` for batches of reports.
template <typename Send> void sendInParts(std::span<const quarantine::CrashReport> reports, Send&& send)
{
    while (!reports.empty()) {
        std::size_t n = 0;
        std::size_t parts = 0;
        do
            parts += reports[n++].parts.size();
        while (n < std::min(reports.size(), maxReportsPerMessage)
            && parts + reports[n].parts.size() <= maxPartsPerMessage);
        send(fleet::CrashReports { { reports.begin(), reports.begin() + static_cast<std::ptrdiff_t>(n) } });
        reports = reports.subspan(n);
    }
}

} // namespace rosemarymill::runtime::nodes
