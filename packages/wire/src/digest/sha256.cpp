#include <rosemarymill/wire/digest/sha256.hpp>

#include <array>

#include <openssl/sha.h>

namespace rosemarymill::wire {

std::string sha256Hex(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    std::string hex;
    hex.reserve(2 * digest.size());
    for (const auto byte : digest) {
        hex += digits[byte >> 4];
        hex += digits[byte & 0xf];
    }
    return hex;
}

} // namespace rosemarymill::wire
