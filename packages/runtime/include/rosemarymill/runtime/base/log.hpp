#pragma once

#include <rosemarymill/core/node/effect.hpp>

#include <initializer_list>
#include <iosfwd>
#include <string>
#include <string_view>
#include <utility>

/// Log of the process, based on Boost.Log.
namespace rosemarymill::runtime {

/// Format of the log lines: plain text, or one JSON object per line for log collectors.
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

/// Limit of decision lines per second. Further ones are dropped, and their number is logged.
inline constexpr unsigned maxDecisionsPerSecond = 400;

/// Writes one line about a decision and its inputs. Fields with an empty value are omitted.
void writeDecision(std::string_view part, std::string_view text, std::initializer_list<LogField> fields);

/// Directs the log to standard output as JSON and makes the output non-blocking: lines that do not fit into its buffer
/// are dropped, and their number is logged.
void setUpStandardOutputLog(node::LogLevel lowest);

} // namespace rosemarymill::runtime
