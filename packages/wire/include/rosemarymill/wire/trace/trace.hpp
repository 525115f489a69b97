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

/// Recorded event traces as JSON lines. The first line contains the settings of the process, each other line one event,
/// or the effects expected from the preceding event.
namespace rosemarymill::wire::trace {

/// Effects expected from the preceding event. Each entry contains the name of the effect and any of its members;
/// members that an entry omits are not compared.
struct Expectation {
    std::vector<nlohmann::json> effects;
};

/// Line of a trace.
using Line = std::variant<rosemarymill::node::Settings, rosemarymill::node::Event, Expectation>;

/// Formats a line without the line break. Peer messages without a codec are written as empty messages.
[[nodiscard]] std::string formatSettings(const rosemarymill::node::Settings& settings);
[[nodiscard]] std::string formatEvent(const rosemarymill::node::Event& event);

/// Formats a line that expects these effects with all their members.
[[nodiscard]] std::string formatEffects(const rosemarymill::node::Effects& effects);

/// Converts one effect to a JSON object.
[[nodiscard]] nlohmann::json effectJson(const rosemarymill::node::Effect& effect);

/// Parses a line. Returns nothing if there is a fault.
[[nodiscard]] std::optional<Line> parseLine(std::string_view text, std::vector<JsonFault>& faults);

/// Compares effects with an expectation. Returns one message per difference.
[[nodiscard]] std::vector<std::string> differences(
    const Expectation& expected, const rosemarymill::node::Effects& effects);

} // namespace rosemarymill::wire::trace
