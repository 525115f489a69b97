#pragma once

#include <rosemarymill/core/base/result.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <system_error>
#include <vector>

/// Length-prefixed frames between the system's processes. The header holds the payload's length, the protocol version,
/// the message kind and an XXH3-64 checksum of the payload, all in little-endian order.
namespace rosemarymill::wire {

/// Module whose message a frame contains.
enum class FrameKind : std::uint16_t {
    Hello = 1,
    Agreement = 2,
    Configuration = 3,
    Membership = 4,
    Placement = 5,
    Admission = 6,
    Ledger = 7,
    Quarantine = 8,
    Forward = 9,
    /// Messages between entry VMs and control VMs.
    Fleet = 10
};

/// Size of a frame header in bytes.
inline constexpr std::size_t frameHeaderBytes = 16;

/// Maximum payload in bytes. A link that receives a longer frame is closed.
inline constexpr std::size_t maxFramePayloadBytes = 1408 * 1024;

/// Errors of a received frame. The link is closed on each of them.
enum class FrameError { PayloadTooLarge = 1, VersionMismatch, UnknownKind, ChecksumMismatch };

[[nodiscard]] std::error_code make_error_code(FrameError error) noexcept; // NOLINT(readability-identifier-naming)

/// View of a frame in a receive buffer.
struct FrameView {
    FrameKind kind { FrameKind::Hello };
    std::span<const std::byte> payload;
    /// Size of the frame in bytes, header included.
    std::size_t size { 0 };
};

/// Appends a frame to a buffer. The payload must not be longer than maxFramePayloadBytes.
void appendFrame(FrameKind kind, std::span<const std::byte> payload, std::vector<std::byte>& buf);

/// Validates a frame header of frameHeaderBytes and returns the size of the whole frame in bytes, or a FrameError.
[[nodiscard]] Result<std::size_t> frameSize(std::span<const std::byte> header);

/// Reads the first frame of a buffer. Returns no frame if it is incomplete, or a FrameError.
[[nodiscard]] Result<std::optional<FrameView>> readFrame(std::span<const std::byte> buf);

} // namespace rosemarymill::wire

template <> struct std::is_error_code_enum<rosemarymill::wire::FrameError> : std::true_type {
};
