#pragma once

#include <rosemarymill/runtime/link/counters.hpp>

#include <iosfwd>

/// Metrics of the process and its links.
namespace rosemarymill::runtime {

/// Writes the CPU time and the resident memory of this process as Prometheus text.
void writeProcessMetrics(std::ostream& out);

/// Writes the messages and bytes of the peer links per frame kind as Prometheus text.
void writeLinkMetrics(std::ostream& out, const LinkCounters& counters);

} // namespace rosemarymill::runtime
