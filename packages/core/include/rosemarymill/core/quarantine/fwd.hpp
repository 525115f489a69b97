#pragma once

/// Forward declarations of the quarantine types.
namespace rosemarymill::quarantine {

enum class ReportKind;
enum class Verdict;
struct CrashReport;
struct State;

} // namespace rosemarymill::quarantine
