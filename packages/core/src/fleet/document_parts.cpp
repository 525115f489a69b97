#include <rosemarymill/core/fleet/document_parts.hpp>

#include <algorithm>

namespace rosemarymill::fleet {

std::vector<DocumentPart> splitPush(std::uint64_t from, std::uint64_t to, std::span<const std::byte> bytes)
{
    const auto count = std::max<std::size_t>(1, (bytes.size() + maxPartBytes - 1) / maxPartBytes);
    std::vector<DocumentPart> parts;
    parts.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        const auto begin = i * maxPartBytes;
        const auto part = bytes.subspan(begin, std::min(maxPartBytes, bytes.size() - begin));
        parts.push_back({ from, to, static_cast<std::uint32_t>(i), static_cast<std::uint32_t>(count),
            { part.begin(), part.end() } });
    }
    return parts;
}

PartReassembler::State PartReassembler::add(const DocumentPart& part)
{
    if (part.part == 0) {
        m_from = part.from;
        m_to = part.to;
        m_next = 0;
        m_broken = false;
        m_bytes.clear();
    }
    m_broken = m_broken || part.from != m_from || part.to != m_to || part.part != m_next || part.part >= part.parts
        || m_bytes.size() + part.bytes.size() > maxPushBytes;
    const bool last = part.part + 1 >= part.parts;
    if (m_broken) {
        m_bytes = {};
        return last ? State::Broken : State::Incomplete;
    }
    ++m_next;
    m_bytes.insert(m_bytes.end(), part.bytes.begin(), part.bytes.end());
    // The next push begins with its first part.
    m_broken = last;
    return last ? State::Complete : State::Incomplete;
}

} // namespace rosemarymill::fleet
