#include <rosemarymill/runtime/proxy/prompt_parts.hpp>

#include <algorithm>

namespace rosemarymill::runtime::proxy {

std::vector<std::string_view> sharedPromptParts(std::string_view list)
{
    std::vector<std::string_view> ids;
    for (auto comma = list.find(','); comma != std::string_view::npos && ids.size() < maxPromptParts;
         comma = list.find(',')) {
        auto id = list.substr(0, std::min(list.find(':'), comma));
        list.remove_prefix(comma + 1);
        id.remove_prefix(std::min(id.find_first_not_of(" \t"), id.size()));
        id = id.substr(0, id.find_last_not_of(" \t") + 1);
        if (!id.empty() && id.size() <= maxPromptPartBytes)
            ids.push_back(id);
    }
    return ids;
}

std::string formatParts(const std::vector<std::string_view>& ids)
{
    std::string text;
    const auto n = std::min(ids.size(), maxLoggedParts);
    for (std::size_t i = 0; i < n; ++i)
        text.append(i > 0 ? " " : "").append(ids[i]);
    return text;
}

} // namespace rosemarymill::runtime::proxy
