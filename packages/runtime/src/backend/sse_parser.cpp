#include <rosemarymill/runtime/backend/sse_parser.hpp>

#include <charconv>

namespace rosemarymill::runtime::backend {

namespace {

/// Length of the first event with its empty line, or npos. Lines end with LF or CRLF.
std::size_t eventLength(std::string_view bytes) noexcept
{
    std::size_t pos = 0;
    while ((pos = bytes.find('\n', pos)) != std::string_view::npos) {
        if (pos + 1 < bytes.size() && bytes[pos + 1] == '\n')
            return pos + 2;
        if (pos + 2 < bytes.size() && bytes[pos + 1] == '\r' && bytes[pos + 2] == '\n')
            return pos + 3;
        ++pos;
    }
    return std::string_view::npos;
}

std::string_view fieldValue(std::string_view line, std::size_t nameLength) noexcept
{
    line.remove_prefix(nameLength);
    if (line.starts_with(' '))
        line.remove_prefix(1);
    return line;
}

SseEvent parseEvent(std::string_view bytes) noexcept
{
    SseEvent event { bytes, std::nullopt, false, true };
    bool isEndMarker = false;
    for (std::size_t pos = 0; pos < bytes.size();) {
        const auto end = bytes.find('\n', pos);
        auto line = bytes.substr(pos, end - pos);
        pos = end + 1;
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (line.starts_with("data:")) {
            event.empty = false;
            isEndMarker = fieldValue(line, 5) == "[DONE]";
        } else if (line.starts_with("id:")) {
            const auto value = fieldValue(line, 3);
            std::uint64_t id = 0;
            const auto [last, error] = std::from_chars(value.data(), value.data() + value.size(), id);
            if (error == std::errc {} && last == value.data() + value.size())
                event.id = id;
        }
    }
    event.done = isEndMarker && !event.id;
    return event;
}

} // namespace

bool SseParser::feed(std::string_view bytes, const Handler& handler)
{
    if (!m_partial.empty()) {
        m_partial += bytes;
        const auto joined = std::move(m_partial);
        m_partial.clear();
        return feed(joined, handler);
    }
    std::size_t length = 0;
    while ((length = eventLength(bytes)) != std::string_view::npos) {
        if (!handler(parseEvent(bytes.substr(0, length))))
            return false;
        bytes.remove_prefix(length);
    }
    m_partial = bytes;
    return m_partial.size() <= maxEventBytes;
}

} // namespace rosemarymill::runtime::backend
