#include <rosemarymill/wire/trace/trace.hpp>

#include "fields.hpp"

#include <rosemarymill/wire/json/object_reader.hpp>
#include <rosemarymill/wire/json/parse.hpp>

#include <boost/type_index.hpp>

#include <algorithm>
#include <exception>
#include <utility>

namespace rosemarymill::wire::trace {

namespace {

using nlohmann::json;

/// Unqualified name of a struct.
template <typename T> std::string nameOf()
{
    const auto name = boost::typeindex::type_id<T>().pretty_name();
    return name.substr(name.rfind(':') + 1);
}

template <typename Variant> json tagged(const char* tag, const Variant& value)
{
    return std::visit(
        [&](const auto& it) {
            auto object = Writer::toJson(it);
            object[tag] = nameOf<std::decay_t<decltype(it)>>();
            return object;
        },
        value);
}

template <std::size_t Index = 0> rosemarymill::node::Event readEvent(const std::string& name, const json& object)
{
    if constexpr (Index < std::variant_size_v<rosemarymill::node::Event>) {
        using Alternative = std::variant_alternative_t<Index, rosemarymill::node::Event>;
        if (name != nameOf<Alternative>())
            return readEvent<Index + 1>(name, object);
        Alternative event;
        Reader::fromJson(object, event);
        return event;
    } else {
        throw std::invalid_argument("unknown event '" + name + "'");
    }
}

Line readLine(json document)
{
    if (document.contains("settings")) {
        rosemarymill::node::Settings settings;
        Reader::fromJson(document["settings"], settings);
        return settings;
    }
    if (document.contains("expect"))
        return Expectation { document["expect"].get<std::vector<json>>() };
    const auto name = document.at("event").get<std::string>();
    document.erase("event");
    return readEvent(name, document);
}

std::string textOf(const json& document) { return document.dump(-1, ' ', true, json::error_handler_t::replace); }

} // namespace

std::string formatSettings(const rosemarymill::node::Settings& settings)
{
    return textOf({ { "settings", Writer::toJson(settings) } });
}

std::string formatEvent(const rosemarymill::node::Event& event) { return textOf(tagged("event", event)); }

json effectJson(const rosemarymill::node::Effect& effect) { return tagged("effect", effect); }

std::string formatEffects(const rosemarymill::node::Effects& effects)
{
    auto array = json::array();
    for (const auto& effect : effects)
        array.push_back(effectJson(effect));
    return textOf({ { "expect", std::move(array) } });
}

std::optional<Line> parseLine(std::string_view text, std::vector<JsonFault>& faults)
{
    auto document = parseJson(text, faults);
    if (!document)
        return std::nullopt;
    try {
        return readLine(std::move(*document));
    } catch (const std::exception& error) {
        faults.push_back({ {}, excerpt(text), error.what() });
        return std::nullopt;
    }
}

std::vector<std::string> differences(const Expectation& expected, const rosemarymill::node::Effects& effects)
{
    std::vector<std::string> found;
    if (expected.effects.size() != effects.size())
        found.push_back(std::to_string(expected.effects.size()) + " effects are expected, "
            + std::to_string(effects.size()) + " occurred");
    const auto n = std::min(expected.effects.size(), effects.size());
    for (std::size_t i = 0; i < n; ++i) {
        const auto actual = effectJson(effects[i]);
        for (const auto& [key, value] : expected.effects[i].items()) {
            const auto it = actual.find(key);
            if (it == actual.end() || *it != value)
                found.push_back("effect " + std::to_string(i) + ": " + key + " is expected to be " + excerpt(value)
                    + ", occurred " + (it == actual.end() ? "nothing" : excerpt(*it)));
        }
    }
    return found;
}

} // namespace rosemarymill::wire::trace
