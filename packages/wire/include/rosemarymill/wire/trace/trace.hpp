#pragma once

#include <rosemarymill/core/node/effect.hpp>
#include <rosemarymill/core/node/event.hpp>
#include <rosemarymill/core/node/state.hpp>
#include <rosemarymill/wire/json/fault.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

/// Recorded event traces as JSON lines. The first line holds the settings of the process, the others one event each, or
/// the effects expected from the event before.
namespace rosemarymill::wire::trace {

/// Effects stated for the last event. Each entry names the effect and any of its members; further members may differ.
struct Expectation {
    std::vector<nlohmann::json> effects;
};

/// Line of a trace.
using Line = std::variant<rosemarymill::node::Settings, rosemarymill::node::Event, Expectation>;

/// Line without the line break. Peer messages without a codec are written as empty messages.
[[nodiscard]] std::string formatSettings(const rosemarymill::node::Settings& settings);
[[nodiscard]] std::string formatEvent(const rosemarymill::node::Event& event);

/// Line that states these effects with all their members.
[[nodiscard]] std::string formatEffects(const rosemarymill::node::Effects& effects);

/// One effect as a JSON object.
[[nodiscard]] nlohmann::json effectJson(const rosemarymill::node::Effect& effect);

/// Reads a line. On a fault there is no line.
[[nodiscard]] std::optional<Line> parseLine(std::string_view text, std::vector<JsonFault>& faults);

/// Compares effects with an expectation. Returns one line per difference.
[[nodiscard]] std::vector<std::string> differences(
    const Expectation& expected, const rosemarymill::node::Effects& effects);

} // namespace rosemarymill::wire::trace
