#pragma once

#include <rosemarymill/core/node/effect.hpp>

#include <string_view>

/// Log of the process by Boost.Log.
namespace rosemarymill::runtime {

/// Directs the log to standard error, one line per record: time, level, part and text.
void setUpLog(node::LogLevel lowest);

/// Writes one line. The part is the fixed prefix.
void writeLog(node::LogLevel level, std::string_view part, std::string_view text);

} // namespace rosemarymill::runtime
