#include <rosemarymill/runtime/proxy/message.hpp>

#include <rosemarymill/core/base/message_head.hpp>

#include <algorithm>
#include <array>
#include <utility>

#include <http_parser.h>
#include <strings.h>

namespace rosemarymill::runtime::proxy {

namespace {

std::string_view trimmed(std::string_view text) noexcept
{
    constexpr std::string_view blanks = " \t";
    const auto begin = text.find_first_not_of(blanks);
    if (begin == std::string_view::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(blanks) - begin + 1);
}

constexpr std::array<std::string_view, 9> hopByHopNames { "connection", "keep-alive", "proxy-connection",
    "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade" };

} // namespace

bool equalsIgnoreCase(std::string_view a, std::string_view b) noexcept
{
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool listContains(std::string_view list, std::string_view token) noexcept
{
    while (!list.empty()) {
        const auto comma = std::min(list.find(','), list.size());
        if (equalsIgnoreCase(trimmed(list.substr(0, comma)), token))
            return true;
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

std::string_view MessageHead::find(std::string_view name) const noexcept
{
    const auto it
        = std::find_if(headers.begin(), headers.end(), [&](const auto& h) { return equalsIgnoreCase(h.name, name); });
    return it == headers.end() ? std::string_view {} : std::string_view { it->value };
}

bool MessageHead::has(std::string_view name) const noexcept
{
    return std::any_of(headers.begin(), headers.end(), [&](const auto& h) { return equalsIgnoreCase(h.name, name); });
}

std::size_t memoryOf(const MessageHead& head) noexcept
{
    auto bytes = head.target.capacity() + head.reason.capacity() + head.headers.capacity() * sizeof(Header);
    for (const auto& it : head.headers)
        bytes += it.name.capacity() + it.value.capacity();
    return bytes;
}

bool isHopByHop(const MessageHead& head, std::string_view name) noexcept
{
    return std::any_of(hopByHopNames.begin(), hopByHopNames.end(),
               [&](std::string_view it) { return equalsIgnoreCase(it, name); })
        || std::any_of(head.headers.begin(), head.headers.end(),
            [&](const auto& it) { return equalsIgnoreCase(it.name, "connection") && listContains(it.value, name); });
}

struct Parser::Impl {
    http_parser parser {};
    http_parser_settings settings {};
    Side side;
    MessageHead head;
    std::string body;
    std::size_t headBytes { 0 };
    std::uint64_t chunkBytesLeft { 0 };
    bool started { false };
    bool headComplete { false };
    bool complete { false };
    bool failed { false };
    bool withoutBody { false };
    bool valueRead { false };
    /// The head's last byte so far, other than carriage returns.
    char lastByte { 0 };
    bool startLineSeen { false };

    static Impl& of(http_parser* parser) { return *static_cast<Impl*>(parser->data); }

    void initialise()
    {
        http_parser_init(&parser, side == Side::Request ? HTTP_REQUEST : HTTP_RESPONSE);
        parser.data = this;
    }

    void clear()
    {
        head = {};
        body.clear();
        headBytes = 0;
        chunkBytesLeft = 0;
        lastByte = 0;
        startLineSeen = false;
        started = headComplete = complete = valueRead = false;
    }

    /// Whether a line of the head begins with a blank, in these bytes of it and those before. http_parser appends such
    /// a line to the value before it, which other parsers take for a field of its own.
    [[nodiscard]] bool hasContinuation(std::string_view bytes) noexcept
    {
        for (const char it : bytes) {
            if (it == '\r')
                continue;
            if (lastByte == '\n' && (it == ' ' || it == '\t'))
                return true;
            // The empty line ends the head, but http_parser skips empty lines before the start line.
            if (lastByte == '\n' && it == '\n' && startLineSeen)
                return false;
            startLineSeen = startLineSeen || it != '\n';
            lastByte = it;
        }
        return false;
    }

    int onHeadersComplete()
    {
        // http_parser accepts blanks in header names, which other parsers interpret differently (request smuggling).
        if (!std::all_of(head.headers.begin(), head.headers.end(), [](const auto& it) { return isFieldName(it.name); }))
            return -1;
        head.status = parser.status_code;
        if (side == Side::Request)
            head.method = http_method_str(static_cast<http_method>(parser.method));
        head.keepAlive = http_should_keep_alive(&parser) != 0;
        head.chunked = (parser.flags & F_CHUNKED) != 0;
        head.upgrade = parser.upgrade != 0;
        if (parser.flags & F_CONTENTLENGTH)
            head.length = parser.content_length;
        headComplete = true;
        // Returning 1 makes http_parser skip the body.
        return withoutBody ? 1 : 0;
    }

    int onComplete()
    {
        complete = true;
        http_parser_pause(&parser, 1);
        return 0;
    }

    static int onField(http_parser* parser, const char* at, std::size_t n)
    {
        auto& self = of(parser);
        if (self.headComplete)
            return 0;
        if (self.head.headers.empty() || self.valueRead)
            self.head.headers.emplace_back();
        self.valueRead = false;
        self.head.headers.back().name.append(at, n);
        return 0;
    }

    static int onValue(http_parser* parser, const char* at, std::size_t n)
    {
        auto& self = of(parser);
        if (self.headComplete)
            return 0;
        self.valueRead = true;
        self.head.headers.back().value.append(at, n);
        return 0;
    }
};

Parser::Parser(Side side)
    : m_impl(std::make_unique<Impl>())
{
    auto& it = *m_impl;
    it.side = side;
    http_parser_settings_init(&it.settings);
    it.settings.on_message_begin = [](http_parser* parser) {
        Impl::of(parser).started = true;
        return 0;
    };
    it.settings.on_url = [](http_parser* parser, const char* at, std::size_t n) {
        Impl::of(parser).head.target.append(at, n);
        return 0;
    };
    it.settings.on_status = [](http_parser* parser, const char* at, std::size_t n) {
        Impl::of(parser).head.reason.append(at, n);
        return 0;
    };
    it.settings.on_header_field = Impl::onField;
    it.settings.on_header_value = Impl::onValue;
    it.settings.on_headers_complete = [](http_parser* parser) { return Impl::of(parser).onHeadersComplete(); };
    it.settings.on_body = [](http_parser* parser, const char* at, std::size_t n) {
        auto& self = Impl::of(parser);
        self.body.append(at, n);
        self.chunkBytesLeft -= std::min<std::uint64_t>(n, self.chunkBytesLeft);
        return 0;
    };
    it.settings.on_chunk_header = [](http_parser* parser) {
        Impl::of(parser).chunkBytesLeft = parser->content_length;
        return 0;
    };
    it.settings.on_message_complete = [](http_parser* parser) { return Impl::of(parser).onComplete(); };
    it.initialise();
}

Parser::~Parser() = default;

std::size_t Parser::feed(std::string_view bytes)
{
    auto& it = *m_impl;
    if (it.failed || it.complete || bytes.empty())
        return 0;
    const bool headBefore = !it.headComplete;
    if (headBefore && it.hasContinuation(bytes)) {
        it.failed = true;
        return 0;
    }
    const auto n = http_parser_execute(&it.parser, &it.settings, bytes.data(), bytes.size());
    const auto error = HTTP_PARSER_ERRNO(&it.parser);
    if (headBefore)
        it.headBytes += n;
    // http_parser stops after the head of an upgrade request, without an error.
    if (error != HPE_OK && error != HPE_PAUSED)
        it.failed = true;
    return n;
}

bool Parser::finish()
{
    auto& it = *m_impl;
    if (it.complete)
        return true;
    if (it.failed || !it.headComplete)
        return false;
    http_parser_execute(&it.parser, &it.settings, nullptr, 0);
    return it.complete;
}

void Parser::reset(bool withoutBody)
{
    m_impl->clear();
    m_impl->withoutBody = withoutBody;
    m_impl->initialise();
}

const MessageHead& Parser::head() const noexcept { return m_impl->head; }
MessageHead Parser::takeHead() noexcept { return std::move(m_impl->head); }
bool Parser::started() const noexcept { return m_impl->started; }
bool Parser::headComplete() const noexcept { return m_impl->headComplete; }
bool Parser::complete() const noexcept { return m_impl->complete; }
bool Parser::failed() const noexcept { return m_impl->failed; }
std::size_t Parser::headBytes() const noexcept { return m_impl->headBytes; }
std::string& Parser::body() noexcept { return m_impl->body; }

std::uint64_t Parser::chunkBytesLeft() const noexcept { return m_impl->chunkBytesLeft; }

std::size_t Parser::headMemory() const noexcept { return memoryOf(m_impl->head); }

} // namespace rosemarymill::runtime::proxy
