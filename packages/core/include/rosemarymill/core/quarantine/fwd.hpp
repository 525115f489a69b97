#pragma once

/// Forward declarations of the quarantine types.
namespace rosemarymill::quarantine {

enum class ReportKind;
enum class Verdict;
class Coordinator;
class CrashTracker;
struct CrashReport;
struct State;
struct StoredRecord;

} // namespace rosemarymill::quarantine
