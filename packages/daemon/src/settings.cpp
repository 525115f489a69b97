#include <rosemarymill/daemon/settings.hpp>

#include <rosemarymill/runtime/base/address.hpp>
#include <rosemarymill/wire/json/object_reader.hpp>

#include <boost/program_options.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <filesystem>
#include <set>
#include <sstream>
#include <string_view>
#include <utility>

namespace rosemarymill::daemon {

namespace {

namespace options = boost::program_options;

constexpr std::string_view environmentPrefix = "ROSEMARYMILL_";
constexpr unsigned usageWidth = 110;
constexpr std::size_t maxVoters = 7;

/// Values before validation. They are validated after all of them are read, so that every fault is reported.
struct RawSettings {
    std::string logFormat { "text" };
    std::string logLevel { "info" };
    std::string seed;
    std::vector<std::string> peers;
    std::vector<std::string> configurationVoters;
    std::vector<std::string> ledgerVoters;
    std::vector<std::string> placementAcceptors;
};

options::options_description describe(Settings& settings, RawSettings& raw)
{
    options::options_description description("Settings of rosemarymilld", usageWidth);
    auto add = description.add_options();
    const auto text = [](std::string& target, const char* name) { return options::value(&target)->value_name(name); };
    const auto list = [](auto& target, const char* name) { return options::value(&target)->value_name(name); };
    add("help", options::bool_switch(&settings.help), "print this text");
    add("check-settings", options::bool_switch(&settings.checkOnly), "check the settings and exit");
    add("vm", text(settings.vm, "NAME"), "name of this VM; required");
    add("data-centre", text(settings.dataCentre, "NAME"), "data centre of this VM; required");
    add("caller-address", text(settings.callerAddress, "IP:PORT"),
        "listener for callers and backend servers; required. Port 0 takes a free port");
    add("operator-address", text(settings.operatorAddress, "IP:PORT"), "listener for operators; required");
    add("peer-address", text(settings.peerAddress, "IP:PORT"), "listener for other entry VMs; required with --peer");
    add("peer", list(raw.peers, "VM@DATA_CENTRE=IP:PORT"), "another entry VM and its peer listener");
    add("configuration-voter", list(raw.configurationVoters, "VM"),
        "voter of the configuration log; 1, 3, 5 or 7 of this VM and its peers");
    add("ledger-voter", list(raw.ledgerVoters, "DATA_CENTRE=VM"),
        "voter of the ledger of a home data centre; an odd number for each home");
    add("placement-acceptor", list(raw.placementAcceptors, "VM"),
        "acceptor of this data centre's placement lease; an odd number");
    add("data-folder", text(settings.dataFolder, "FOLDER"),
        "existing folder of the write-ahead log and the snapshots; required on a voter");
    add("log-format", text(raw.logFormat, "FORMAT")->default_value(raw.logFormat), "text or json");
    add("log-level", text(raw.logLevel, "LEVEL")->default_value(raw.logLevel), "debug, info, warning or error");
    add("trace-file", text(settings.traceFile, "FILE"), "record all events to this file, one JSON line each");
    add("span-file", text(settings.spanFile, "FILE"), "append spans to this file, one OTLP/JSON line each");
    add("seed", text(raw.seed, "N"), "seed of all random choices; drawn at each start when not set");
    add("stream-high-water-bytes", options::value(&settings.streamHighWaterBytes),
        "bytes of a stream at which reading from its server stops");
    add("stream-low-water-bytes", options::value(&settings.streamLowWaterBytes),
        "bytes of a stream at which reading from its server restarts");
    add("stream-budget-bytes", options::value(&settings.streamBudgetBytes), "bytes of all streams of the process");
    add("connection-bytes", options::value(&settings.connectionBytes), "bytes held for all callers of the process");
    add("max-connections", options::value(&settings.maxConnections), "connections of callers to the process");
    add("stream-stall-ms", options::value(&settings.streamStallMs),
        "time without progress after which a stream is parked");
    return description;
}

std::string usageText(const options::options_description& description)
{
    std::ostringstream text;
    text << "Usage: rosemarymilld [SETTINGS]\n\n"
         << description
         << "\nEach setting that takes a value can also be set as a variable, e.g. ROSEMARYMILL_CALLER_ADDRESS; a flag"
            " takes\nprecedence. Settings that name several things are given several times or as a comma-separated"
            " list.\n\nExit codes: 0 after a graceful shutdown, 1 when a listener or folder cannot be opened, 2 for"
            " faulty settings.\n";
    return text.str();
}

std::string flagOfVariable(const options::options_description& description, const std::string& variable)
{
    if (!variable.starts_with(environmentPrefix))
        return {};
    std::string flag = variable.substr(environmentPrefix.size());
    std::transform(flag.begin(), flag.end(), flag.begin(),
        [](unsigned char c) { return c == '_' ? '-' : static_cast<char>(std::tolower(c)); });
    const auto* option = description.find_nothrow(flag, false);
    return option && option->semantic()->max_tokens() > 0 ? flag : std::string {};
}

std::vector<std::string> splitList(const std::vector<std::string>& values)
{
    std::vector<std::string> items;
    for (const auto& value : values) {
        std::istringstream list(value);
        for (std::string item; std::getline(list, item, ',');)
            items.push_back(item);
    }
    return items;
}

/// Validates the values and collects one line per fault.
class Checker {
public:
    Checker(Settings& settings, std::vector<std::string>& errors)
        : m_settings(settings)
        , m_errors(errors)
    {
    }

    void check(const RawSettings& raw)
    {
        checkName("vm", m_settings.vm);
        checkName("data-centre", m_settings.dataCentre);
        checkListener("caller-address", m_settings.callerAddress, true);
        checkListener("operator-address", m_settings.operatorAddress, true);
        readPeers(raw.peers);
        checkListener("peer-address", m_settings.peerAddress, !m_settings.peers.empty());
        const auto own = runtime::parseAddress(m_settings.peerAddress);
        if (own.has_value() && runtime::portOf(own.value()) == 0)
            fault("peer-address", m_settings.peerAddress, "has no port that peers could connect to");
        m_settings.configurationVoters
            = checkVoters("configuration-voter", splitList(raw.configurationVoters), maxVoters);
        m_settings.placementAcceptors = checkVoters("placement-acceptor", splitList(raw.placementAcceptors), maxVoters);
        readLedgerVoters(raw.ledgerVoters);
        checkDataFolder();
        readChoices(raw);
    }

private:
    void fault(const char* flag, const std::string& value, const std::string& rule)
    {
        m_errors.push_back(std::string("--") + flag + ": " + (value.empty() ? "" : "'" + value + "' ") + rule);
    }

    void checkName(const char* flag, const std::string& value)
    {
        if (value.empty())
            fault(flag, {}, "a value is required");
        else if (!wire::isName(value))
            fault(flag, value, "must have 1 to 128 letters, digits, '.', '_' or '-'");
    }

    void checkListener(const char* flag, const std::string& value, bool required)
    {
        if (value.empty()) {
            if (required)
                fault(flag, {}, "a value is required");
            return;
        }
        const auto address = runtime::parseAddress(value);
        if (!address.has_value())
            fault(flag, value, "is not ip:port");
        else if (runtime::portOf(address.value()) != 0 && !m_listenerAddresses.insert(value).second)
            fault(flag, value, "is already the address of another listener");
    }

    void readPeers(const std::vector<std::string>& values)
    {
        m_vmNames.insert(m_settings.vm);
        for (const auto& value : splitList(values)) {
            const auto at = value.find('@');
            const auto equals = value.find('=', at == std::string::npos ? 0 : at);
            if (at == std::string::npos || equals == std::string::npos) {
                fault("peer", value, "is not VM@DATA_CENTRE=IP:PORT");
                continue;
            }
            const node::PeerSetting peer { VmId { value.substr(0, at) },
                DataCentreId { value.substr(at + 1, equals - at - 1) }, value.substr(equals + 1) };
            const auto address = runtime::parseAddress(peer.address);
            if (!wire::isName(peer.vm.text()) || !wire::isName(peer.dataCentre.text()) || !address.has_value()
                || runtime::portOf(address.value()) == 0)
                fault("peer", value, "is not VM@DATA_CENTRE=IP:PORT");
            else if (!m_vmNames.insert(peer.vm.text()).second)
                fault("peer", value, "names this VM or a peer a second time");
            else if (!m_peerAddresses.insert(peer.address).second)
                fault("peer", value, "has the address of another peer");
            else
                m_settings.peers.push_back(peer);
        }
    }

    std::vector<std::string> checkVoters(const char* flag, const std::vector<std::string>& names, std::size_t limit)
    {
        std::set<std::string> seen;
        for (const auto& it : names) {
            if (!seen.insert(it).second)
                fault(flag, it, "occurs twice");
            else if (!m_vmNames.contains(it))
                fault(flag, it, "is neither this VM nor a peer");
        }
        if (!names.empty() && (names.size() % 2 == 0 || names.size() > limit))
            fault(flag, {},
                std::to_string(names.size()) + " are named, must be an odd number up to " + std::to_string(limit));
        return names;
    }

    void readLedgerVoters(const std::vector<std::string>& values)
    {
        for (const auto& value : splitList(values)) {
            const auto equals = value.find('=');
            if (equals == std::string::npos || !wire::isName(value.substr(0, equals)))
                fault("ledger-voter", value, "is not DATA_CENTRE=VM");
            else
                m_settings.ledgerVoters[value.substr(0, equals)].push_back(value.substr(equals + 1));
        }
        for (const auto& [home, names] : m_settings.ledgerVoters)
            (void)checkVoters("ledger-voter", names, maxVoters);
    }

    [[nodiscard]] bool isVoter() const
    {
        const auto contains = [&](const std::vector<std::string>& names) {
            return std::find(names.begin(), names.end(), m_settings.vm) != names.end();
        };
        return contains(m_settings.configurationVoters)
            || std::any_of(m_settings.ledgerVoters.begin(), m_settings.ledgerVoters.end(),
                [&](const auto& entry) { return contains(entry.second); });
    }

    void checkDataFolder()
    {
        std::error_code ec;
        if (m_settings.dataFolder.empty()) {
            if (isVoter())
                fault("data-folder", {}, "a value is required on a voter");
        } else if (!std::filesystem::is_directory(m_settings.dataFolder, ec)) {
            fault("data-folder", m_settings.dataFolder, "is not an existing folder");
        }
    }

    void readChoices(const RawSettings& raw)
    {
        if (raw.logFormat != "text" && raw.logFormat != "json")
            fault("log-format", raw.logFormat, "must be text or json");
        m_settings.logFormat = raw.logFormat == "json" ? runtime::LogFormat::Json : runtime::LogFormat::Text;
        static const std::map<std::string, node::LogLevel> levels { { "debug", node::LogLevel::Debug },
            { "info", node::LogLevel::Info }, { "warning", node::LogLevel::Warning },
            { "error", node::LogLevel::Error } };
        if (const auto it = levels.find(raw.logLevel); it != levels.end())
            m_settings.logLevel = it->second;
        else
            fault("log-level", raw.logLevel, "must be debug, info, warning or error");
        if (raw.seed.empty())
            return;
        std::uint64_t seed = 0;
        const auto* end = raw.seed.data() + raw.seed.size();
        const auto parsed = std::from_chars(raw.seed.data(), end, seed);
        if (parsed.ec != std::errc {} || parsed.ptr != end)
            fault("seed", raw.seed, "must be an integer from 0 to 18446744073709551615");
        else
            m_settings.seed = seed;
    }

    Settings& m_settings;
    std::vector<std::string>& m_errors;
    std::set<std::string> m_listenerAddresses;
    std::set<std::string> m_peerAddresses;
    /// Names of this VM and its peers.
    std::set<std::string> m_vmNames;
};

} // namespace

ParsedSettings parseSettings(int argc, const char* const* argv)
{
    ParsedSettings parsed;
    RawSettings raw;
    const auto description = describe(parsed.settings, raw);
    parsed.usage = usageText(description);
    try {
        options::variables_map values;
        const auto flags = options::command_line_parser(argc, argv).options(description).allow_unregistered().run();
        for (const auto& it : options::collect_unrecognized(flags.options, options::include_positional))
            parsed.errors.push_back("'" + it + "' is not a setting");
        options::store(flags, values);
        options::store(options::parse_environment(
                           description, [&](const std::string& it) { return flagOfVariable(description, it); }),
            values);
        options::notify(values);
    } catch (const options::error& error) {
        parsed.errors.emplace_back(error.what());
        return parsed;
    }
    if (!parsed.settings.help)
        Checker(parsed.settings, parsed.errors).check(raw);
    if (parsed.settings.streamLowWaterBytes >= parsed.settings.streamHighWaterBytes)
        parsed.errors.emplace_back("--stream-low-water-bytes: must be below --stream-high-water-bytes");
    if (parsed.settings.connectionBytes == 0)
        parsed.errors.emplace_back("--connection-bytes: must be above 0");
    if (parsed.settings.maxConnections == 0)
        parsed.errors.emplace_back("--max-connections: must be above 0");
    if (parsed.settings.streamHighWaterBytes > parsed.settings.streamBudgetBytes)
        parsed.errors.emplace_back("--stream-high-water-bytes: must not be above --stream-budget-bytes");
    return parsed;
}

} // namespace rosemarymill::daemon
