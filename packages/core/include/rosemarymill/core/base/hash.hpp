#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

/// XXH3 hashes. They are stable across processes and versions, so that several VMs compute the same choice.
namespace rosemarymill {

/// 128-bit content hash, used as a request fingerprint.
struct Fingerprint {
    std::uint64_t high { 0 };
    std::uint64_t low { 0 };

    friend constexpr auto operator<=>(const Fingerprint&, const Fingerprint&) = default;
    friend constexpr bool operator==(const Fingerprint&, const Fingerprint&) = default;
};

/// Hashes a text with a seed.
[[nodiscard]] std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0) noexcept;

/// Hashes the parts in order, including their boundaries: ("ab", "c") and ("a", "bc") differ.
[[nodiscard]] Fingerprint fingerprint(std::span<const std::string_view> parts);

/// Computes the same fingerprint from parts that need not be contiguous in memory.
class FingerprintBuilder {
public:
    FingerprintBuilder();
    ~FingerprintBuilder();
    FingerprintBuilder(const FingerprintBuilder&) = delete;
    FingerprintBuilder& operator=(const FingerprintBuilder&) = delete;

    /// Adds a whole part.
    void add(std::string_view part);
    /// Begins a part of this size in bytes, whose bytes follow by append().
    void begin(std::uint64_t size);
    void append(std::string_view bytes);

    [[nodiscard]] Fingerprint digest() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// Formats the fingerprint as 32 hexadecimal digits.
[[nodiscard]] std::string formatFingerprint(const Fingerprint& fingerprint);

/// Weight of a candidate for a key in rendezvous hashing; the candidate with the highest weight is chosen.
[[nodiscard]] std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate) noexcept;

} // namespace rosemarymill
