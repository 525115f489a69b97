#include <rosemarymill/runtime/link/send_queue.hpp>

#include <utility>

namespace rosemarymill::runtime {

bool isSoft(wire::FrameKind kind) noexcept
{
    switch (kind) {
    case wire::FrameKind::Configuration:
    case wire::FrameKind::Membership:
    case wire::FrameKind::Placement:
    case wire::FrameKind::Admission:
    case wire::FrameKind::Quarantine:
        return true;
    case wire::FrameKind::Hello:
    case wire::FrameKind::Agreement:
    case wire::FrameKind::Ledger:
    case wire::FrameKind::Forward:
    case wire::FrameKind::Fleet:
        break;
    }
    return false;
}

void SendQueue::countDropped(const Frame& frame)
{
    m_counters.dropped[LinkCounters::slot(frame.kind)].add(frame.bytes.size());
}

void SendQueue::dropOldestSoft(std::size_t needed)
{
    for (auto it = m_frames.begin(); it != m_frames.end() && m_bytes + needed > maxQueuedBytes;) {
        if (!isSoft(it->kind)) {
            ++it;
            continue;
        }
        m_bytes -= it->bytes.size();
        countDropped(*it);
        it = m_frames.erase(it);
    }
}

bool SendQueue::push(Frame&& frame)
{
    if (m_bytes + frame.bytes.size() > maxQueuedBytes)
        dropOldestSoft(frame.bytes.size());
    if (m_bytes + frame.bytes.size() > maxQueuedBytes) {
        countDropped(frame);
        return false;
    }
    m_bytes += frame.bytes.size();
    m_frames.push_back(std::move(frame));
    return true;
}

SendQueue::Frame SendQueue::pop()
{
    auto frame = std::move(m_frames.front());
    m_frames.pop_front();
    m_bytes -= frame.bytes.size();
    return frame;
}

void SendQueue::clear()
{
    for (const auto& frame : m_frames)
        countDropped(frame);
    m_frames.clear();
    m_bytes = 0;
}

} // namespace rosemarymill::runtime
