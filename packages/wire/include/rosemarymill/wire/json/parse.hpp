#pragma once

#include <rosemarymill/wire/json/fault.hpp>

#include <optional>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

/// Strict JSON parsing.
namespace rosemarymill::wire {

/// Deepest nesting that is accepted. It bounds the recursion of the library's serializer.
inline constexpr int maxJsonDepth = 16;

/// Parses a JSON text. Malformed text, duplicate object members and nesting beyond maxJsonDepth are faults; then there
/// is no value.
[[nodiscard]] std::optional<nlohmann::json> parseJson(std::string_view text, std::vector<JsonFault>& faults);

} // namespace rosemarymill::wire
