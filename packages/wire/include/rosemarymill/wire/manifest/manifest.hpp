#pragma once

#include <rosemarymill/core/configuration/manifest.hpp>
#include <rosemarymill/wire/json/fault.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The manifest as JSON text. The schema is published in docs/manifest.schema.json.
namespace rosemarymill::wire {

/// Maximum length of a manifest text in bytes. A submission, with its envelope, has to fit into one frame of 1.375 MiB.
inline constexpr std::size_t maxManifestBytes = 512 * 1024;

/// Result of parsing a manifest. The manifest is present if there are no faults.
struct ParsedManifest {
    std::optional<configuration::Manifest> manifest;
    std::vector<JsonFault> faults;
};

/// Parses and validates a manifest. All faults are reported at once.
[[nodiscard]] ParsedManifest parseManifest(std::string_view text);

/// Formats a manifest as JSON text, indented by the given number of spaces, or on one line if `indent` is negative.
/// Parsing the text yields an equal manifest.
[[nodiscard]] std::string formatManifest(const configuration::Manifest& manifest, int indent = -1);

} // namespace rosemarymill::wire
