#include <rosemarymill/core/base/hash.hpp>

#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

namespace rosemarymill {

std::uint64_t hash64(std::string_view text, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

struct FingerprintBuilder::State {
    XXH3_state_t hash;
};

FingerprintBuilder::FingerprintBuilder()
    : m_state(std::make_unique<State>())
{
    XXH3_128bits_reset(&m_state->hash);
}

FingerprintBuilder::~FingerprintBuilder() = default;

void FingerprintBuilder::add(std::string_view part)
{
    begin(part.size());
    append(part);
}

void FingerprintBuilder::begin(std::uint64_t size) { XXH3_128bits_update(&m_state->hash, &size, sizeof(size)); }

void FingerprintBuilder::append(std::string_view bytes)
{
    XXH3_128bits_update(&m_state->hash, bytes.data(), bytes.size());
}

Fingerprint FingerprintBuilder::digest() const
{
    const auto digest = XXH3_128bits_digest(&m_state->hash);
    return { digest.high64, digest.low64 };
}

Fingerprint fingerprint(std::span<const std::string_view> parts)
{
    FingerprintBuilder builder;
    for (const auto part : parts)
        builder.add(part);
    return builder.digest();
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
