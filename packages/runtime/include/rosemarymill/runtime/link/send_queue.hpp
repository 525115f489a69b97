#pragma once

#include <rosemarymill/runtime/link/counters.hpp>
#include <rosemarymill/wire/frame/frame.hpp>

#include <cstddef>
#include <deque>
#include <vector>

/// Queue of frames to be sent over a link.
namespace rosemarymill::runtime {

/// Limit of the bytes queued for one link: room for one frame of maximum size and further small ones.
inline constexpr std::size_t maxQueuedBytes = 2 * wire::maxFramePayloadBytes;

/// Whether messages of this kind are soft state: the sender repeats or supersedes them, so that old ones may be
/// dropped.
[[nodiscard]] bool isSoft(wire::FrameKind kind) noexcept;

/// Bounded queue that makes room by dropping the oldest soft frames.
class SendQueue {
public:
    struct Frame {
        wire::FrameKind kind { wire::FrameKind::Hello };
        std::vector<std::byte> bytes;
    };

    explicit SendQueue(LinkCounters& counters)
        : m_counters(counters)
    {
    }

    /// Adds a frame. Returns false, and counts the frame as dropped, when there is no room for it.
    bool push(Frame&& frame);

    /// Removes and returns the oldest frame. The queue must not be empty.
    [[nodiscard]] Frame pop();

    /// Drops all frames and counts them.
    void clear();

    [[nodiscard]] bool empty() const noexcept { return m_frames.empty(); }
    [[nodiscard]] std::size_t bytes() const noexcept { return m_bytes; }

private:
    void countDropped(const Frame& frame);
    void dropOldestSoft(std::size_t needed);

    LinkCounters& m_counters;
    std::deque<Frame> m_frames;
    std::size_t m_bytes { 0 };
};

} // namespace rosemarymill::runtime
