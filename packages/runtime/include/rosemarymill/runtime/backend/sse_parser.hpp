#pragma once

#include <rosemarymill/runtime/base/receive_limit.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

/// Parser of server-sent events that reads only the `id:` and `data:` fields.
namespace rosemarymill::runtime::backend {

using runtime::maxEventBytes;

/// One event of a stream. The bytes include the empty line that ends the event.
struct SseEvent {
    std::string_view bytes;
    /// Value of the `id:` field when it is a number.
    std::optional<std::uint64_t> id;
    /// `data: [DONE]` without an `id:`.
    bool done { false };
    /// The event has no `data:` field, like comments that keep a connection open.
    bool empty { true };
};

/// Splits a byte stream into events. An event that is passed in one piece is not copied.
class SseParser {
public:
    /// Returns false to stop parsing.
    using Handler = std::function<bool(const SseEvent&)>;

    /// Parses the next bytes. Returns false when an incomplete event is longer than maxEventBytes or the handler
    /// returned false.
    bool feed(std::string_view bytes, const Handler& handler);

private:
    std::string m_partial;
};

} // namespace rosemarymill::runtime::backend
