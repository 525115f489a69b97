#pragma once

#include <rosemarymill/wire/json/fault.hpp>

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

/// Strict JSON parsing.
namespace rosemarymill::wire {

/// Maximum nesting depth that parseJson() accepts. It bounds the recursion of the library's serializer.
inline constexpr int maxJsonDepth = 16;

/// Maximum nesting depth that parseLenientJson() accepts. Its callers ignore unknown members. The limit also bounds the
/// recursion of copies and comparisons of values.
inline constexpr std::size_t maxLenientJsonDepth = 64;

/// Maximum number of values that parseLenientJson() accepts: a value of two bytes takes up to 100 bytes of memory, so
/// the largest document of small values would take 200 MB. A document of 4 MiB exceeds it only with fewer than 16 bytes
/// for each value.
inline constexpr std::size_t maxLenientJsonValues = std::size_t { 256 } * 1024;

/// Whether arrays and objects in a JSON text are nested deeper than `levels`.
[[nodiscard]] bool nestsDeeper(std::string_view text, std::size_t levels) noexcept;

/// Whether a JSON text has more than `n` values, counting each array, object, element and member.
[[nodiscard]] bool hasMoreValues(std::string_view text, std::size_t n) noexcept;

/// Parses a JSON text and accepts duplicate members. Returns a value of type `discarded` if the text is malformed,
/// nested deeper than maxLenientJsonDepth or has more than maxLenientJsonValues values.
[[nodiscard]] nlohmann::json parseLenientJson(std::string_view text);

/// Parses a JSON text. Malformed text, duplicate object members and nesting beyond maxJsonDepth are faults. Returns
/// nothing if there is a fault.
[[nodiscard]] std::optional<nlohmann::json> parseJson(std::string_view text, std::vector<JsonFault>& faults);

} // namespace rosemarymill::wire
