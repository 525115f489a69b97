#pragma once

/// Forward declarations of the quarantine types.
namespace rosemarymill::quarantine {

enum class ReportKind;
enum class Verdict;
class Coordinator;
class CrashIsolation;
class CrashTracker;
class PartEvidence;
struct CrashReport;
struct Exposure;
struct State;
struct StoredPart;
struct StoredRecord;
struct Traits;

} // namespace rosemarymill::quarantine
