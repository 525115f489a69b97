#pragma once

#include <rosemarymill/core/base/result.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>

/// Compression by Zstandard. Compressed bytes are one frame that notes the length of its content.
namespace rosemarymill::wire {

/// Faults of compressed bytes.
enum class CompressError {
    /// The bytes are no complete frame, or their content does not match its length.
    Malformed = 1,
    /// The content is longer than the caller allows.
    TooLarge,
    /// The library could not get memory.
    OutOfMemory
};

[[nodiscard]] std::error_code make_error_code(CompressError error) noexcept; // NOLINT(readability-identifier-naming)

/// Most bytes that compression adds to a content of this length in bytes that cannot be compressed.
[[nodiscard]] constexpr std::size_t compressOverhead(std::size_t length) noexcept
{
    constexpr std::size_t smallContent = 128 * 1024; // See ZSTD_COMPRESSBOUND in zstd.h.
    return length / 256 + (length < smallContent ? (smallContent - length) / 2048 : 0);
}

/// Compresses a content. The error is CompressError::OutOfMemory.
[[nodiscard]] Result<std::string> compress(std::string_view content);

/// Content of compressed bytes, which must not be longer than `maxBytes`. Memory is taken only once the noted length is
/// within that limit. The errors are those of CompressError.
[[nodiscard]] Result<std::string> decompress(std::string_view compressed, std::size_t maxBytes);

} // namespace rosemarymill::wire

template <> struct std::is_error_code_enum<rosemarymill::wire::CompressError> : std::true_type {
};
