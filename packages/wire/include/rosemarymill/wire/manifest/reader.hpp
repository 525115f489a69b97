#pragma once

#include <rosemarymill/core/configuration/manifest.hpp>

#include <optional>
#include <string_view>

/// Minimal reader of the manifest's JSON form for the thin path.
namespace rosemarymill::wire {

/// Reads a manifest. Returns nothing when the text is no JSON or a required member is missing or of the wrong type.
[[nodiscard]] std::optional<configuration::Manifest> readManifest(std::string_view text);

} // namespace rosemarymill::wire
