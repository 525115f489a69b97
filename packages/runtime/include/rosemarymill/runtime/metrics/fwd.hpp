#pragma once

/// Forward declarations of the metrics types.
namespace rosemarymill::runtime {

class TimeSummary;
class CallMetrics;

} // namespace rosemarymill::runtime
