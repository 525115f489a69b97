#include <rosemarymill/wire/compress/compress.hpp>

#include <zstd.h>
#include <zstd_errors.h>

namespace rosemarymill::wire {

namespace {

/// Fastest of the regular compression levels of Zstandard.
constexpr int compressionLevel = 1;

class CompressCategory final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "compress"; }
    [[nodiscard]] std::string message(int value) const override
    {
        switch (static_cast<CompressError>(value)) {
        case CompressError::Malformed:
            return "compressed data is malformed";
        case CompressError::TooLarge:
            return "compressed content is longer than the limit";
        case CompressError::OutOfMemory:
            return "out of memory during compression or decompression";
        }
        return "unknown compression error";
    }
};

CompressError errorOf(std::size_t code) noexcept
{
    return ZSTD_getErrorCode(code) == ZSTD_error_memory_allocation ? CompressError::OutOfMemory
                                                                   : CompressError::Malformed;
}

} // namespace

std::error_code make_error_code(CompressError error) noexcept // NOLINT(readability-identifier-naming)
{
    static const CompressCategory category;
    return { static_cast<int>(error), category };
}

Result<std::string> compress(std::string_view content)
{
    std::string compressed(content.size() + compressOverhead(content.size()), '\0');
    const auto n
        = ZSTD_compress(compressed.data(), compressed.size(), content.data(), content.size(), compressionLevel);
    if (ZSTD_isError(n))
        return errorOf(n);
    compressed.resize(n);
    compressed.shrink_to_fit();
    return compressed;
}

Result<std::string> decompress(std::string_view compressed, std::size_t maxBytes)
{
    const auto length = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    if (length == ZSTD_CONTENTSIZE_ERROR || length == ZSTD_CONTENTSIZE_UNKNOWN)
        return CompressError::Malformed;
    if (length > maxBytes)
        return CompressError::TooLarge;
    std::string content(length, '\0');
    const auto n = ZSTD_decompress(content.data(), content.size(), compressed.data(), compressed.size());
    if (ZSTD_isError(n))
        return errorOf(n);
    if (n != length)
        return CompressError::Malformed;
    return content;
}

} // namespace rosemarymill::wire
