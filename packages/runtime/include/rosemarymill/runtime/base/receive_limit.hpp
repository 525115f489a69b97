#pragma once

#include <cstddef>
#include <limits>

/// Bounds on what the other end of a connection sends before it forms something whole.
namespace rosemarymill::runtime {

/// Largest head of an answer in bytes with the interim answers before it: twice the largest head that documents allow
/// clients.
inline constexpr std::size_t maxResponseHeadBytes = 32 * 1024;

/// Largest answer that is not a stream, in bytes with its chunks' framing. It is collected whole; documents allow
/// clients a body of this size.
inline constexpr std::size_t maxResponseBytes = 4 * 1024 * 1024;

/// Longest event of a stream in bytes, with the comments before it and the framing.
inline constexpr std::size_t maxEventBytes = 256 * 1024;

/// Part of an answer's body in bytes that counts as progress. A server that sends less within the time for which it may
/// be silent is treated as a silent one.
inline constexpr std::size_t bodyProgressBytes = 64 * 1024;

/// Counts the bytes that arrived since the last progress.
class ReceiveLimit {
public:
    /// Begins the count anew, with a bound in bytes.
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
