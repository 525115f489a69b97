#pragma once

#include <rosemarymill/wire/frame/frame.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

/// Counters of the peer links.
namespace rosemarymill::runtime {

/// Frame kinds, including the unused kind 0.
inline constexpr std::size_t frameKinds = static_cast<std::size_t>(wire::FrameKind::Fleet) + 1;

/// Frames of one kind in one direction. The bytes include the frame headers.
struct FrameCount {
    std::uint64_t messages { 0 };
    std::uint64_t bytes { 0 };

    void add(std::size_t n) noexcept
    {
        ++messages;
        bytes += n;
    }
};

/// Totals of all links since the process started.
struct LinkCounters {
    std::array<FrameCount, frameKinds> sent;
    std::array<FrameCount, frameKinds> received;
    /// Frames that were not sent: the link was down, its queue was full, or the target address or payload was invalid.
    std::array<FrameCount, frameKinds> dropped;
    /// Links closed because of a protocol violation by the peer: malformed frame, unsupported version, frame timeout.
    std::uint64_t faults { 0 };
    std::uint64_t connects { 0 };
    std::uint64_t connectFailures { 0 };

    static std::size_t slot(wire::FrameKind kind) noexcept { return static_cast<std::size_t>(kind); }
};

} // namespace rosemarymill::runtime
