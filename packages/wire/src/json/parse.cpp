#include <rosemarymill/wire/json/parse.hpp>

#include <rosemarymill/wire/json/object_reader.hpp>

#include <concepts>
#include <functional>
#include <set>
#include <string>
#include <utility>

namespace rosemarymill::wire {

namespace {

using nlohmann::json;

/// Parser callback that reports duplicate members and nesting beyond maxJsonDepth.
class StructureChecker {
public:
    explicit StructureChecker(std::vector<JsonFault>& faults)
        : m_faults(faults)
    {
    }

    bool operator()(int depth, json::parse_event_t event, json& parsed)
    {
        using Event = json::parse_event_t;
        switch (event) {
        case Event::object_start:
        case Event::array_start:
            enter(event == Event::array_start, depth);
            break;
        case Event::object_end:
        case Event::array_end:
            m_levels.pop_back();
            finishValue();
            break;
        case Event::key:
            addKey(parsed.get<std::string>());
            break;
        case Event::value:
            finishValue();
            break;
        }
        return !m_tooDeep;
    }

private:
    struct Level {
        bool array { false };
        std::size_t index { 0 };
        std::string key;
        std::set<std::string> keys;
    };

    [[nodiscard]] std::string path() const
    {
        std::string text;
        for (const auto& level : m_levels)
            text = childPath(text, level.array ? std::to_string(level.index) : level.key);
        return text;
    }

    void enter(bool array, int depth)
    {
        if (depth >= maxJsonDepth && !m_tooDeep) {
            m_tooDeep = true;
            m_faults.push_back({ path(), {}, "nesting is limited to " + std::to_string(maxJsonDepth) + " levels" });
        }
        m_levels.push_back({ array, 0, {}, {} });
    }

    void addKey(std::string key)
    {
        auto& level = m_levels.back();
        level.key = key;
        if (!level.keys.insert(std::move(key)).second)
            m_faults.push_back({ path(), {}, "the member occurs twice" });
    }

    void finishValue()
    {
        if (!m_levels.empty() && m_levels.back().array)
            ++m_levels.back().index;
    }

    std::vector<JsonFault>& m_faults;
    std::vector<Level> m_levels;
    bool m_tooDeep { false };
};

} // namespace

std::string describe(const JsonFault& fault)
{
    const auto where = fault.path.empty() ? std::string("(document)") : fault.path;
    return where + ": " + (fault.value.empty() ? std::string {} : fault.value + ": ") + fault.rule;
}

std::string describe(const std::vector<JsonFault>& faults)
{
    std::string text;
    for (const auto& fault : faults)
        text += (text.empty() ? "" : "\n") + describe(fault);
    return text;
}

namespace {

/// Calls a function with each byte of a JSON text that is not in a string, until it returns false. Returns whether the
/// text was scanned to its end.
template <std::predicate<char> Function> bool scanOutsideStrings(std::string_view text, Function function)
{
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '"') {
            for (++i; i < text.size() && text[i] != '"'; ++i)
                i += text[i] == '\\' ? 1 : 0;
        } else if (!function(text[i])) {
            return false;
        }
    }
    return true;
}

} // namespace

bool nestsDeeper(std::string_view text, std::size_t levels) noexcept
{
    std::size_t depth = 0;
    return !scanOutsideStrings(text, [&](char it) {
        if (it == '{' || it == '[')
            ++depth;
        else if (it == '}' || it == ']')
            depth -= depth > 0 ? 1 : 0;
        return depth <= levels;
    });
}

bool hasMoreValues(std::string_view text, std::size_t n) noexcept
{
    std::size_t values = 0;
    return !scanOutsideStrings(text, [&](char it) {
        values += it == '{' || it == '[' || it == ',' ? 1 : 0;
        return values <= n;
    });
}

json parseLenientJson(std::string_view text)
{
    if (nestsDeeper(text, maxLenientJsonDepth) || hasMoreValues(text, maxLenientJsonValues))
        return json::value_t::discarded;
    return json::parse(text, nullptr, false);
}

std::optional<json> parseJson(std::string_view text, std::vector<JsonFault>& faults)
{
    const auto faultCount = faults.size();
    StructureChecker checker(faults);
    try {
        auto value = json::parse(text.begin(), text.end(), std::ref(checker));
        if (faults.size() > faultCount)
            return std::nullopt;
        return value;
    } catch (const json::exception& error) {
        faults.push_back({ {}, {}, std::string("malformed JSON: ") + error.what() });
        return std::nullopt;
    }
}

} // namespace rosemarymill::wire
