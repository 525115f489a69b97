#include <rosemarymill/runtime/proxy/event_buffer.hpp>

#include <algorithm>
#include <charconv>

namespace rosemarymill::runtime::proxy {

namespace {

/// End of the first event including its blank line, or npos.
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

/// Whether an event has a field that makes it more than a comment.
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

bool EventBuffer::take(std::string_view event)
{
    const auto id = idOf(event);
    if (!id) {
        m_withoutId = m_withoutId || (m_idsRequired && hasContent(event));
        return !m_withoutId;
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
    m_rest.append(bytes);
    std::string_view left = m_rest;
    std::size_t n = 0;
    for (auto end = endOfEvent(left); end != std::string_view::npos; end = endOfEvent(left)) {
        const auto event = left.substr(0, end);
        if (!m_withoutId && take(event)) {
            out.append(event);
            n += hasContent(event) ? 1 : 0;
        }
        left.remove_prefix(end);
    }
    m_rest.erase(0, m_rest.size() - left.size());
    return n;
}

} // namespace rosemarymill::runtime::proxy
