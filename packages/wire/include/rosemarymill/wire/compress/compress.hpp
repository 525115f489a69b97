#pragma once

#include <rosemarymill/core/base/result.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>

/// Zstandard compression. Compressed data is a single frame with the content size in its header.
namespace rosemarymill::wire {

/// Errors of compression and decompression.
enum class CompressError {
    /// The data is not a single complete frame, or its content does not match the content size in the header.
    Malformed = 1,
    /// The content is longer than the caller's limit.
    TooLarge,
    /// The library failed to allocate memory.
    OutOfMemory
};

[[nodiscard]] std::error_code make_error_code(CompressError error) noexcept; // NOLINT(readability-identifier-naming)

/// Maximum number of bytes that compression adds to incompressible content of the given length in bytes.
[[nodiscard]] constexpr std::size_t compressOverhead(std::size_t length) noexcept
{
    constexpr std::size_t smallContent = 128 * 1024; // See ZSTD_COMPRESSBOUND in zstd.h.
    return length / 256 + (length < smallContent ? (smallContent - length) / 2048 : 0);
}

/// Compresses content. The error is CompressError::OutOfMemory.
[[nodiscard]] Result<std::string> compress(std::string_view content);

/// Decompresses content of at most `maxBytes`. Memory is allocated only after the content size in the header has been
/// checked against that limit. The errors are those of CompressError.
[[nodiscard]] Result<std::string> decompress(std::string_view compressed, std::size_t maxBytes);

} // namespace rosemarymill::wire

template <> struct std::is_error_code_enum<rosemarymill::wire::CompressError> : std::true_type {
};
