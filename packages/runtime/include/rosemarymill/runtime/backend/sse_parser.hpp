#pragma once

#include <rosemarymill/runtime/base/receive_limit.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

/// Parser of server-sent events that reads no more than the `id:` and `data:` fields.
namespace rosemarymill::runtime::backend {

using runtime::maxEventBytes;

/// One event of a stream. The bytes include the empty line that ends the event.
struct SseEvent {
    std::string_view bytes;
    /// Value of the `id:` field when it is a number.
    std::optional<std::uint64_t> id;
    /// `data: [DONE]` without an `id:`.
    bool done { false };
    /// The event carries no data, as comments that keep a connection open.
    bool empty { true };
};

/// Splits a byte stream into events. An event that arrives in one piece is not copied.
class SseParser {
public:
    /// Returns false to stop the parsing.
    using Handler = std::function<bool(const SseEvent&)>;

    /// Parses the next bytes. Returns false when an event is longer than maxEventBytes or the handler stopped.
    bool feed(std::string_view bytes, const Handler& handler);

private:
    std::string m_partial;
};

} // namespace rosemarymill::runtime::backend
