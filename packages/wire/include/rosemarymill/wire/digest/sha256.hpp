#pragma once

#include <string>
#include <string_view>

/// SHA-256 digests by OpenSSL, for manifests and bearer tokens.
namespace rosemarymill::wire {

/// SHA-256 digest as 64 lower-case hexadecimal digits.
[[nodiscard]] std::string sha256Hex(std::string_view text);

} // namespace rosemarymill::wire
