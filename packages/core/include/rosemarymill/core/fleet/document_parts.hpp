#pragma once

#include <rosemarymill/core/fleet/message.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <utility>
#include <vector>

/// Changes of the document are sent in parts, so that they never hold up other messages for long.
namespace rosemarymill::fleet {

/// Most bytes of one part.
inline constexpr std::size_t maxPartBytes = std::size_t { 64 } * 1024;

/// Most bytes of the encoded changes of one push.
inline constexpr std::size_t maxPushBytes = std::size_t { 32 } * 1024 * 1024;

/// Splits the encoded changes between two versions into parts. There is always one.
[[nodiscard]] std::vector<DocumentPart> splitPush(
    std::uint64_t from, std::uint64_t to, std::span<const std::byte> bytes);

/// Puts the parts of one push together.
class PartReassembler {
public:
    enum class State : std::uint8_t {
        /// Further parts are missing.
        Incomplete,
        /// The bytes are complete.
        Complete,
        /// The last part has come, but the parts do not belong together or are too many. They were dropped.
        Broken
    };

    State add(const DocumentPart& part);

    /// Bytes collected, which the reassembler gives up.
    [[nodiscard]] std::vector<std::byte> take() { return std::exchange(m_bytes, {}); }

private:
    std::uint64_t m_from { 0 };
    std::uint64_t m_to { 0 };
    std::uint32_t m_next { 0 };
    bool m_broken { true };
    std::vector<std::byte> m_bytes;
};

} // namespace rosemarymill::fleet
