#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

/// Parts of a prompt that a client states in a request header.
namespace rosemarymill::runtime::proxy {

/// Maximum number of shared parts that are read from one request; further ones are ignored.
inline constexpr std::size_t maxPromptParts = 64;

/// Maximum length of a part's id in bytes; longer ones are ignored.
inline constexpr std::size_t maxPromptPartBytes = 64;

/// Ids of the parts that a request shares with others, from a list of `id:tokens` entries separated by commas. The last
/// entry belongs to the request itself or to its session and is left out.
[[nodiscard]] std::vector<std::string_view> sharedPromptParts(std::string_view list);

/// Formats ids for a log line, the first `maxLoggedParts` of them.
[[nodiscard]] std::string formatParts(const std::vector<std::string_view>& ids);

/// Maximum number of parts in a log line.
inline constexpr std::size_t maxLoggedParts = 8;

} // namespace rosemarymill::runtime::proxy
