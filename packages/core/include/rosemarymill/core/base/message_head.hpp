#pragma once

#include <string_view>

/// Rules for the heads of HTTP messages that all readers of messages share.
namespace rosemarymill {

/// Whether a text is a valid name of an HTTP field: a token as defined by RFC 9110. Readers disagree on names with
/// blanks or control bytes, so a message with one has no certain length.
[[nodiscard]] bool isFieldName(std::string_view text) noexcept;

/// Lowest status code of a response as defined by RFC 9110. libevent reports 0 for a response that it cannot read.
inline constexpr unsigned lowestStatus = 100;

/// Whether a response with this status and this linked list of libevent's HTTP fields can be used.
template <typename List> [[nodiscard]] bool isResponseHead(int status, const List& fields) noexcept
{
    if (status < static_cast<int>(lowestStatus))
        return false;
    for (const auto* it = fields.tqh_first; it; it = it->next.tqe_next) {
        if (!isFieldName(it->key))
            return false;
    }
    return true;
}

} // namespace rosemarymill
