#pragma once

#include <rosemarymill/wire/json/fault.hpp>

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

/// Strict JSON parsing.
namespace rosemarymill::wire {

/// Deepest nesting that is accepted. It bounds the recursion of the library's serializer.
inline constexpr int maxJsonDepth = 16;

/// Deepest nesting of texts whose unknown members are ignored. Copies and comparisons of values recurse as well.
inline constexpr std::size_t maxLenientJsonDepth = 64;

/// Whether arrays and objects in a JSON text nest deeper than a number of levels.
[[nodiscard]] bool nestsDeeper(std::string_view text, std::size_t levels) noexcept;

/// Parses a JSON text in which members may occur twice. The value is discarded when the text is malformed or nests
/// deeper than maxLenientJsonDepth.
[[nodiscard]] nlohmann::json parseLenientJson(std::string_view text);

/// Parses a JSON text. Malformed text, duplicate object members and nesting beyond maxJsonDepth are faults; then there
/// is no value.
[[nodiscard]] std::optional<nlohmann::json> parseJson(std::string_view text, std::vector<JsonFault>& faults);

} // namespace rosemarymill::wire
