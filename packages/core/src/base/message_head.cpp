#include <rosemarymill/core/base/message_head.hpp>

#include <algorithm>

namespace rosemarymill {

bool isFieldName(std::string_view text) noexcept
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    const auto isTokenByte = [&](char it) {
        return (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') || (it >= '0' && it <= '9')
            || symbols.find(it) != std::string_view::npos;
    };
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenByte);
}

} // namespace rosemarymill
