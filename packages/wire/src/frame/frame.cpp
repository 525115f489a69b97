#include <rosemarymill/core/config/config.hpp>
#include <rosemarymill/wire/frame/frame.hpp>

#include <array>
#include <concepts>
#include <string>

#include <xxhash.h>

namespace rosemarymill::wire {

namespace {

constexpr std::size_t lengthOffset = 0;
constexpr std::size_t versionOffset = 4;
constexpr std::size_t kindOffset = 6;
constexpr std::size_t checksumOffset = 8;

class FrameCategory final : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "frame"; }
    [[nodiscard]] std::string message(int value) const override
    {
        switch (static_cast<FrameError>(value)) {
        case FrameError::PayloadTooLarge:
            return "frame payload is longer than the limit";
        case FrameError::VersionMismatch:
            return "frame has a different protocol version";
        case FrameError::UnknownKind:
            return "frame has an unknown message kind";
        case FrameError::ChecksumMismatch:
            return "frame checksum does not match";
        }
        return "unknown frame error";
    }
};

template <std::unsigned_integral T> void store(std::span<std::byte> buf, std::size_t offset, T value) noexcept
{
    for (std::size_t i = 0; i < sizeof(T); ++i)
        buf[offset + i] = static_cast<std::byte>(value >> (8 * i));
}

template <std::unsigned_integral T> T load(std::span<const std::byte> buf, std::size_t offset) noexcept
{
    T value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i)
        value = static_cast<T>(value | (static_cast<T>(buf[offset + i]) << (8 * i)));
    return value;
}

bool isKnownKind(std::uint16_t kind) noexcept
{
    return kind >= static_cast<std::uint16_t>(FrameKind::Hello) && kind <= static_cast<std::uint16_t>(FrameKind::Fleet);
}

} // namespace

std::error_code make_error_code(FrameError error) noexcept // NOLINT(readability-identifier-naming)
{
    static const FrameCategory category;
    return { static_cast<int>(error), category };
}

void appendFrame(FrameKind kind, std::span<const std::byte> payload, std::vector<std::byte>& buf)
{
    std::array<std::byte, frameHeaderBytes> header {};
    store(std::span<std::byte>(header), lengthOffset, static_cast<std::uint32_t>(payload.size()));
    store(std::span<std::byte>(header), versionOffset, config::protocolVersion);
    store(std::span<std::byte>(header), kindOffset, static_cast<std::uint16_t>(kind));
    store(std::span<std::byte>(header), checksumOffset, std::uint64_t { XXH3_64bits(payload.data(), payload.size()) });
    buf.insert(buf.end(), header.begin(), header.end());
    buf.insert(buf.end(), payload.begin(), payload.end());
}

Result<std::size_t> frameSize(std::span<const std::byte> header)
{
    const auto length = load<std::uint32_t>(header, lengthOffset);
    if (length > maxFramePayloadBytes)
        return FrameError::PayloadTooLarge;
    if (load<std::uint16_t>(header, versionOffset) != config::protocolVersion)
        return FrameError::VersionMismatch;
    if (!isKnownKind(load<std::uint16_t>(header, kindOffset)))
        return FrameError::UnknownKind;
    return frameHeaderBytes + length;
}

Result<std::optional<FrameView>> readFrame(std::span<const std::byte> buf)
{
    if (buf.size() < frameHeaderBytes)
        return std::optional<FrameView> {};
    const auto size = frameSize(buf);
    if (!size)
        return size.error();
    if (buf.size() < size.value())
        return std::optional<FrameView> {};
    const auto payload = buf.subspan(frameHeaderBytes, size.value() - frameHeaderBytes);
    if (XXH3_64bits(payload.data(), payload.size()) != load<std::uint64_t>(buf, checksumOffset))
        return FrameError::ChecksumMismatch;
    const auto kind = static_cast<FrameKind>(load<std::uint16_t>(buf, kindOffset));
    return std::optional<FrameView>({ kind, payload, size.value() });
}

} // namespace rosemarymill::wire
