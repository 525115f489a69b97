#include <rosemarymill/runtime/proxy/event_buffer.hpp>

#include <algorithm>
#include <charconv>

namespace rosemarymill::runtime::proxy {

namespace {

/// Offset behind the first event and its blank line, or npos.
std::size_t endOfEvent(std::string_view text) noexcept
{
    for (auto i = text.find('\n'); i != std::string_view::npos; i = text.find('\n', i + 1)) {
        if (text.substr(i + 1).starts_with('\n'))
            return i + 2;
        if (text.substr(i + 1).starts_with("\r\n"))
            return i + 3;
    }
    return std::string_view::npos;
}

/// Whether an event has an id or data field, rather than only comments.
bool hasContent(std::string_view event) noexcept
{
    while (!event.empty()) {
        const auto end = std::min(event.find('\n'), event.size());
        const auto line = event.substr(0, end);
        if (line.starts_with("id:") || line.starts_with("data"))
            return true;
        event.remove_prefix(std::min(end + 1, event.size()));
    }
    return false;
}

std::optional<std::uint64_t> idOf(std::string_view event) noexcept
{
    constexpr std::string_view field = "id:";
    while (!event.empty()) {
        const auto end = std::min(event.find('\n'), event.size());
        const auto line = event.substr(0, end);
        if (line.starts_with(field))
            return parseEventId(line.substr(field.size()));
        event.remove_prefix(std::min(end + 1, event.size()));
    }
    return std::nullopt;
}

} // namespace

std::optional<std::uint64_t> parseEventId(std::string_view text) noexcept
{
    while (text.starts_with(' '))
        text.remove_prefix(1);
    while (text.ends_with(' ') || text.ends_with('\r'))
        text.remove_suffix(1);
    std::uint64_t id = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), id);
    if (ec != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return id;
}

bool EventBuffer::accept(std::string_view event)
{
    const auto id = idOf(event);
    if (!id) {
        m_missingId = m_missingId || (m_idsRequired && hasContent(event));
        return !m_missingId;
    }
    if (m_lastId && *id <= *m_lastId) {
        ++m_repeated;
        return false;
    }
    m_lastId = id;
    return true;
}

std::size_t EventBuffer::feed(std::string_view bytes, std::string& out)
{
    m_partialEvent.append(bytes);
    std::string_view remaining = m_partialEvent;
    std::size_t n = 0;
    for (auto end = endOfEvent(remaining); end != std::string_view::npos; end = endOfEvent(remaining)) {
        const auto event = remaining.substr(0, end);
        if (!m_missingId && accept(event)) {
            out.append(event);
            n += hasContent(event) ? 1 : 0;
        }
        remaining.remove_prefix(end);
    }
    m_partialEvent.erase(0, m_partialEvent.size() - remaining.size());
    return n;
}

} // namespace rosemarymill::runtime::proxy
