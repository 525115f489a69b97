#pragma once

#include <cstddef>
#include <limits>

/// Limits on the bytes that a peer may send before they form a complete part of a message.
namespace rosemarymill::runtime {

/// Largest head of a response in bytes, including the interim (1xx) responses before it: twice the largest request head
/// that the configuration documents allow.
inline constexpr std::size_t maxResponseHeadBytes = 32 * 1024;

/// Largest response that is not a stream, in bytes including chunk framing. It is buffered completely; the
/// configuration documents allow request bodies of the same size.
inline constexpr std::size_t maxResponseBytes = 4 * 1024 * 1024;

/// Longest event of a stream in bytes, including the comments before it and chunk framing.
inline constexpr std::size_t maxEventBytes = 256 * 1024;

/// Bytes of a response body that count as progress. A server that sends fewer within the progress timeout is treated as
/// one that sends nothing.
inline constexpr std::size_t bodyProgressBytes = 64 * 1024;

/// Counts the bytes received since the last progress.
class ReceiveLimit {
public:
    /// Restarts the count with a limit in bytes.
    void rearm(std::size_t limit) noexcept
    {
        m_limit = limit;
        m_received = 0;
    }

    void add(std::size_t n) noexcept { m_received += n; }

    [[nodiscard]] std::size_t received() const noexcept { return m_received; }
    [[nodiscard]] bool exceeded() const noexcept { return m_received > m_limit; }

private:
    std::size_t m_limit { std::numeric_limits<std::size_t>::max() };
    std::size_t m_received { 0 };
};

} // namespace rosemarymill::runtime
