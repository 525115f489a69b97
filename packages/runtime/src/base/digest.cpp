#include <rosemarymill/runtime/base/digest.hpp>

#include <openssl/evp.h>

#include <array>
#include <stdexcept>

namespace rosemarymill::runtime {

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    if (EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1)
        throw std::runtime_error("SHA-256 is not available");
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(size * 2);
    for (unsigned int i = 0; i < size; ++i) {
        hex.push_back(digits[digest[i] >> 4U]);
        hex.push_back(digits[digest[i] & 0xfU]);
    }
    return hex;
}

} // namespace rosemarymill::runtime
