#pragma once

#include <rosemarymill/core/node/effect.hpp>

#include <initializer_list>
#include <iosfwd>
#include <string>
#include <string_view>
#include <utility>

/// Log of the process by Boost.Log.
namespace rosemarymill::runtime {

/// Format of the log lines: words for people, or one JSON object per line for log collectors.
enum class LogFormat { Text, Json };

/// Directs the log to standard error, one line per record: time, level, part and text. A second call replaces the
/// first.
void setUpLog(node::LogLevel lowest, LogFormat format = LogFormat::Text);

/// Directs the log to a stream.
void setUpLog(std::ostream& out, node::LogLevel lowest, LogFormat format);

/// Writes one line. The part is the fixed prefix.
void writeLog(node::LogLevel level, std::string_view part, std::string_view text);

/// Name and value of an input of a decision.
using LogField = std::pair<std::string_view, std::string>;

/// Lines with decisions that are written in one second. Further ones are counted and the count is logged.
inline constexpr unsigned maxDecisionsPerSecond = 400;

/// Writes one line about a decision with its inputs. Empty values are left out.
void writeDecision(std::string_view part, std::string_view text, std::initializer_list<LogField> fields);

/// Directs the log to standard output without ever blocking: lines that do not fit into the output's buffer are
/// dropped and counted.
void setUpStandardOutputLog(node::LogLevel lowest);

} // namespace rosemarymill::runtime
