#pragma once

#include <string_view>

namespace rosemarymill {

/// Whether a text is a valid name of an HTTP field: a token as defined by RFC 9110. Readers disagree on names with
/// blanks or control bytes, so a message with one has no certain length.
[[nodiscard]] bool isFieldName(std::string_view text) noexcept;

/// Whether all names in a linked list of libevent's HTTP fields are valid.
template <typename List> [[nodiscard]] bool haveValidNames(const List& fields) noexcept
{
    for (const auto* it = fields.tqh_first; it; it = it->next.tqe_next) {
        if (!isFieldName(it->key))
            return false;
    }
    return true;
}

/// Lowest status that a response can have.
inline constexpr unsigned lowestStatus = 100;

} // namespace rosemarymill
