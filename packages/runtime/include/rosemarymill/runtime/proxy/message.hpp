#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// HTTP/1.1 messages and their parser.
namespace rosemarymill::runtime::proxy {

struct Header {
    std::string name;
    std::string value;
};

/// Compares header names and tokens without regard to ASCII case.
[[nodiscard]] bool equalsIgnoreCase(std::string_view a, std::string_view b) noexcept;

/// Whether a comma-separated list contains a token.
[[nodiscard]] bool listContains(std::string_view list, std::string_view token) noexcept;

/// Start line and headers.
struct MessageHead {
    std::string method;
    /// Request target as sent.
    std::string target;
    unsigned status { 0 };
    std::string reason;
    std::vector<Header> headers;
    /// Whether the connection can be reused for another message.
    bool keepAlive { false };
    std::optional<std::uint64_t> length;
    bool chunked { false };
    /// The peer asks for a protocol upgrade.
    bool upgrade { false };

    /// Value of the first header with this name, or an empty string.
    [[nodiscard]] std::string_view find(std::string_view name) const noexcept;
    [[nodiscard]] bool has(std::string_view name) const noexcept;
};

/// Memory in bytes that a head takes.
[[nodiscard]] std::size_t memoryOf(const MessageHead& head) noexcept;

/// Whether a header applies to one connection only and is not forwarded.
[[nodiscard]] bool isHopByHop(const MessageHead& head, std::string_view name) noexcept;

/// Strict incremental parser for the messages on one connection, based on http_parser: evhttp and libevhtp neither
/// stream bodies in both directions nor expose bytes that follow a response.
class Parser {
public:
    enum class Side { Request, Response };

    explicit Parser(Side side);
    ~Parser();
    Parser(const Parser&) = delete;
    Parser& operator=(const Parser&) = delete;

    /// Parses bytes up to the end of the current message and returns how many were consumed.
    std::size_t feed(std::string_view bytes);

    /// Handles the end of the connection. Returns whether that completes the message.
    bool finish();

    /// Prepares for the next message. `withoutBody` marks the response to a HEAD request, which has no body.
    void reset(bool withoutBody = false);

    [[nodiscard]] const MessageHead& head() const noexcept;
    [[nodiscard]] MessageHead takeHead() noexcept;
    [[nodiscard]] bool started() const noexcept;
    [[nodiscard]] bool headComplete() const noexcept;
    [[nodiscard]] bool complete() const noexcept;
    [[nodiscard]] bool failed() const noexcept;
    /// Bytes of start line and headers so far.
    [[nodiscard]] std::size_t headBytes() const noexcept;
    /// Body bytes that were parsed and not yet removed by the caller.
    [[nodiscard]] std::string& body() noexcept;
    /// Bytes of the current chunk that have not been parsed yet.
    [[nodiscard]] std::uint64_t chunkBytesLeft() const noexcept;
    /// Memory in bytes that start line and headers take.
    [[nodiscard]] std::size_t headMemory() const noexcept;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace rosemarymill::runtime::proxy
