#include <rosemarymill/daemon/settings.hpp>

#include <rosemarymill/runtime/base/address.hpp>

#include <boost/program_options.hpp>

#include <algorithm>
#include <cctype>
#include <sstream>
#include <string_view>

namespace rosemarymill::daemon {

namespace {

namespace options = boost::program_options;

constexpr std::string_view environmentPrefix = "ROSEMARYMILL_";

options::options_description describe(Settings& settings)
{
    options::options_description description("rosemarymilld settings");
    auto add = description.add_options();
    add("help", options::bool_switch(&settings.help), "print this text");
    add("check-settings", options::bool_switch(&settings.checkOnly), "check the settings and exit");
    add("vm", options::value(&settings.vm), "name of this VM");
    add("data-centre", options::value(&settings.dataCentre), "data centre of this VM");
    add("caller-address", options::value(&settings.callerAddress), "ip:port for callers and backend servers");
    add("operator-address", options::value(&settings.operatorAddress), "ip:port for operators");
    add("stream-high-water-bytes", options::value(&settings.streamHighWaterBytes),
        "bytes of a stream at which reading from its server stops");
    add("stream-low-water-bytes", options::value(&settings.streamLowWaterBytes),
        "bytes of a stream at which reading from its server restarts");
    add("stream-budget-bytes", options::value(&settings.streamBudgetBytes), "bytes of all streams of the process");
    add("stream-stall-ms", options::value(&settings.streamStallMs),
        "time without progress after which a stream is parked");
    return description;
}

std::string flagOfVariable(const options::options_description& description, const std::string& variable)
{
    if (!variable.starts_with(environmentPrefix))
        return {};
    std::string flag = variable.substr(environmentPrefix.size());
    std::transform(flag.begin(), flag.end(), flag.begin(),
        [](unsigned char c) { return c == '_' ? '-' : static_cast<char>(std::tolower(c)); });
    return description.find_nothrow(flag, false) ? flag : std::string {};
}

void requireValue(const std::string& value, const char* flag, std::vector<std::string>& errors)
{
    if (value.empty())
        errors.push_back(std::string("--") + flag + ": a value is required");
}

void requireAddress(const std::string& value, const char* flag, std::vector<std::string>& errors)
{
    requireValue(value, flag, errors);
    if (!value.empty() && !runtime::parseAddress(value))
        errors.push_back(std::string("--") + flag + ": '" + value + "' is not ip:port");
}

} // namespace

ParsedSettings parseSettings(int argc, const char* const* argv)
{
    ParsedSettings parsed;
    const auto description = describe(parsed.settings);
    std::ostringstream usage;
    usage << description;
    parsed.usage = usage.str();
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::store(options::parse_environment(
                           description, [&](const std::string& it) { return flagOfVariable(description, it); }),
            values);
        options::notify(values);
    } catch (const options::error& error) {
        parsed.errors.emplace_back(error.what());
        return parsed;
    }
    requireValue(parsed.settings.vm, "vm", parsed.errors);
    requireValue(parsed.settings.dataCentre, "data-centre", parsed.errors);
    requireAddress(parsed.settings.callerAddress, "caller-address", parsed.errors);
    requireAddress(parsed.settings.operatorAddress, "operator-address", parsed.errors);
    if (parsed.settings.streamLowWaterBytes >= parsed.settings.streamHighWaterBytes)
        parsed.errors.emplace_back("--stream-low-water-bytes: must be below --stream-high-water-bytes");
    if (parsed.settings.streamHighWaterBytes > parsed.settings.streamBudgetBytes)
        parsed.errors.emplace_back("--stream-high-water-bytes: must not be above --stream-budget-bytes");
    return parsed;
}

} // namespace rosemarymill::daemon
