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

/// Whether arrays and objects in a JSON text are nested deeper than `levels`.
[[nodiscard]] bool nestsDeeper(std::string_view text, std::size_t levels) noexcept;

/// Parses a JSON text and accepts duplicate members. Returns a value of type `discarded` if the text is malformed or
/// nested deeper than maxLenientJsonDepth.
[[nodiscard]] nlohmann::json parseLenientJson(std::string_view text);

/// Parses a JSON text. Malformed text, duplicate object members and nesting beyond maxJsonDepth are faults. Returns
/// nothing if there is a fault.
[[nodiscard]] std::optional<nlohmann::json> parseJson(std::string_view text, std::vector<JsonFault>& faults);

} // namespace rosemarymill::wire
