#include <rosemarymill/wire/json/object_reader.hpp>

#include <algorithm>
#include <utility>

namespace rosemarymill::wire {

using nlohmann::json;

namespace {

constexpr std::size_t maxExcerptLength = 80;
constexpr std::size_t maxNameLength = 128;

bool isNameCharacter(char c) noexcept
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_'
        || c == '-';
}

std::string formatNumber(double value) { return json(value).dump(); }

} // namespace

std::string childPath(std::string_view path, std::string_view child)
{
    std::string text(path);
    text += '/';
    for (const char c : child) {
        if (c == '~')
            text += "~0";
        else if (c == '/')
            text += "~1";
        else
            text += c;
    }
    return text;
}

std::string excerpt(const json& value)
{
    auto text = value.dump(-1, ' ', true, json::error_handler_t::replace);
    if (text.size() > maxExcerptLength)
        text = text.substr(0, maxExcerptLength - 3) + "...";
    return text;
}

bool isName(std::string_view text, std::string_view extraCharacters) noexcept
{
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), [&](char c) {
        return isNameCharacter(c) || extraCharacters.find(c) != std::string_view::npos;
    });
}

ObjectReader::ObjectReader(const json& value, std::string path, std::vector<JsonFault>& faults)
    : m_path(std::move(path))
    , m_faults(faults)
{
    if (value.is_object())
        m_value = &value;
    else
        m_faults.push_back({ m_path, excerpt(value), "must be an object" });
}

bool ObjectReader::has(const std::string& key) const { return m_value && m_value->contains(key); }

const json* ObjectReader::find(const std::string& key, bool required)
{
    m_readKeys.insert(key);
    if (!m_value)
        return nullptr;
    const auto it = m_value->find(key);
    if (it != m_value->end())
        return &*it;
    if (required)
        m_faults.push_back({ childPath(m_path, key), {}, "the member is required" });
    return nullptr;
}

const json* ObjectReader::member(const std::string& key) { return find(key, false); }

void ObjectReader::fault(const std::string& key, std::string rule)
{
    const bool present = has(key);
    m_faults.push_back(
        { childPath(m_path, key), present ? excerpt((*m_value)[key]) : std::string {}, std::move(rule) });
}

std::string ObjectReader::text(const std::string& key, const std::function<bool(std::string_view)>& accepts,
    const std::string& rule, const std::optional<std::string>& fallback)
{
    const auto* value = find(key, !fallback);
    if (!value)
        return fallback.value_or(std::string {});
    if (value->is_string() && accepts(value->get_ref<const std::string&>()))
        return value->get<std::string>();
    fault(key, "must be " + rule);
    return fallback.value_or(std::string {});
}

std::string ObjectReader::name(const std::string& key, std::string_view extraCharacters)
{
    auto rule = std::string("a name of 1 to 128 letters, digits, '.', '_' or '-'");
    if (!extraCharacters.empty())
        rule += " or '" + std::string(extraCharacters) + "'";
    return text(
        key, [&](std::string_view it) { return isName(it, extraCharacters); }, rule);
}

std::uint64_t ObjectReader::integer(
    const std::string& key, std::uint64_t minimum, std::uint64_t maximum, std::optional<std::uint64_t> fallback)
{
    const auto* value = find(key, !fallback);
    if (!value)
        return fallback.value_or(minimum);
    if (value->is_number_unsigned()) {
        const auto n = value->get<std::uint64_t>();
        if (n >= minimum && n <= maximum)
            return n;
    }
    fault(key, "must be an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return fallback.value_or(minimum);
}

double ObjectReader::number(const std::string& key, double minimum, double maximum, double fallback)
{
    const auto* value = find(key, false);
    if (!value)
        return fallback;
    if (value->is_number()) {
        const auto n = value->get<double>();
        if (n >= minimum && n <= maximum)
            return n;
    }
    fault(key, "must be a number from " + formatNumber(minimum) + " to " + formatNumber(maximum));
    return fallback;
}

bool ObjectReader::boolean(const std::string& key, std::optional<bool> fallback)
{
    const auto* value = find(key, !fallback);
    if (value && value->is_boolean())
        return value->get<bool>();
    if (value)
        fault(key, "must be true or false");
    return fallback.value_or(false);
}

void ObjectReader::each(
    const std::string& key, bool required, const std::function<void(const json&, const std::string&)>& visit)
{
    const auto* value = find(key, required);
    if (!value)
        return;
    if (!value->is_array()) {
        fault(key, "must be an array");
        return;
    }
    for (std::size_t i = 0; i < value->size(); ++i)
        visit((*value)[i], childPath(childPath(m_path, key), std::to_string(i)));
}

void ObjectReader::eachMember(const std::string& key, bool required,
    const std::function<void(const std::string&, const json&, const std::string&)>& visit)
{
    const auto* value = find(key, required);
    if (!value)
        return;
    if (!value->is_object()) {
        fault(key, "must be an object");
        return;
    }
    for (const auto& [name, it] : value->items())
        visit(name, it, childPath(childPath(m_path, key), name));
}

void ObjectReader::finish()
{
    if (!m_value)
        return;
    for (const auto& [key, value] : m_value->items()) {
        if (!m_readKeys.contains(key))
            m_faults.push_back({ childPath(m_path, key), excerpt(value), "unknown member" });
    }
}

void UniqueValues::add(const std::string& value, const std::string& path, const std::string& what)
{
    if (!value.empty() && !m_seen.insert(value).second)
        m_faults.push_back({ path, excerpt(value), what + " occurs twice" });
}

} // namespace rosemarymill::wire
