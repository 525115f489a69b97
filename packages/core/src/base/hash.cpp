#include <rosemarymill/core/base/hash.hpp>

#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

namespace rosemarymill {

std::uint64_t hash64(std::string_view text, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

Fingerprint fingerprint(std::span<const std::string_view> parts) noexcept
{
    XXH3_state_t state;
    XXH3_128bits_reset(&state);
    for (const auto part : parts) {
        const std::uint64_t size = part.size();
        XXH3_128bits_update(&state, &size, sizeof(size));
        XXH3_128bits_update(&state, part.data(), part.size());
    }
    const auto digest = XXH3_128bits_digest(&state);
    return { digest.high64, digest.low64 };
}

std::string formatFingerprint(const Fingerprint& fingerprint)
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned bitsPerDigit = 4;
    std::string text;
    for (const auto part : { fingerprint.high, fingerprint.low }) {
        for (unsigned shift = 64; shift > 0; shift -= bitsPerDigit)
            text += digits[(part >> (shift - bitsPerDigit)) & 0xFU];
    }
    return text;
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate) noexcept
{
    return hash64(candidate, hash64(key));
}

} // namespace rosemarymill
