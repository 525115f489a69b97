#pragma once

#include <string>
#include <string_view>

/// Cryptographic digests by OpenSSL.
namespace rosemarymill::runtime {

/// SHA-256 digest in lower-case hexadecimal.
[[nodiscard]] std::string sha256Hex(std::string_view text);

} // namespace rosemarymill::runtime
