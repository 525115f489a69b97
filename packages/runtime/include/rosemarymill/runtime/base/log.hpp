#pragma once

#include <rosemarymill/core/node/effect.hpp>

#include <iosfwd>
#include <string_view>

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

} // namespace rosemarymill::runtime
