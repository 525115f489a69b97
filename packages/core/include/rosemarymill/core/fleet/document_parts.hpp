#pragma once

#include <rosemarymill/core/fleet/message.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <utility>
#include <vector>

/// Splits changes of the document into parts, so that a large push does not delay other messages on the connection.
namespace rosemarymill::fleet {

/// Maximum size of one part in bytes.
inline constexpr std::size_t maxPartBytes = std::size_t { 64 } * 1024;

/// Maximum size of the encoded changes of one push in bytes.
inline constexpr std::size_t maxPushBytes = std::size_t { 32 } * 1024 * 1024;

/// Splits the encoded changes between two versions into parts. Returns at least one part.
[[nodiscard]] std::vector<DocumentPart> splitPush(
    std::uint64_t from, std::uint64_t to, std::span<const std::byte> bytes);

/// Reassembles the parts of one push.
class PartReassembler {
public:
    enum class State : std::uint8_t {
        /// More parts are expected.
        Incomplete,
        /// The last part arrived and all bytes are available.
        Complete,
        /// The last part arrived, but a part was missing, belonged to another push or exceeded the size limit. All
        /// parts were dropped.
        Broken
    };

    State add(const DocumentPart& part);

    /// Moves the collected bytes out of the reassembler.
    [[nodiscard]] std::vector<std::byte> take() { return std::exchange(m_bytes, {}); }

private:
    std::uint64_t m_from { 0 };
    std::uint64_t m_to { 0 };
    std::uint32_t m_next { 0 };
    bool m_broken { true };
    std::vector<std::byte> m_bytes;
};

} // namespace rosemarymill::fleet
