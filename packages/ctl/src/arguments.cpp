#include <rosemarymill/ctl/arguments.hpp>

#include <rosemarymill/ctl/exit_code.hpp>

#include <boost/program_options.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <sstream>
#include <string_view>
#include <utility>

namespace rosemarymill::ctl {

namespace {

namespace options = boost::program_options;

constexpr std::string_view environmentPrefix = "ROSEMARYMILL_";
constexpr std::int64_t maxTimeoutMs = 600'000;
constexpr unsigned usageWidth = 110;

constexpr std::array<std::pair<std::string_view, Command>, 6> commands { {
    { "check", Command::Check },
    { "apply", Command::Apply },
    { "take-out", Command::TakeOut },
    { "bring-back", Command::BringBack },
    { "status", Command::Status },
    { "revisions", Command::Revisions },
} };

constexpr const char* commandsText = R"(Usage: rosemarymillctl COMMAND [OPTIONS]

Commands:
  check FILE                        validate a manifest without sending it
  apply FILE                        submit a manifest
  take-out data-centre|vm NAME      take a data centre or VM out of service
  bring-back data-centre|vm NAME    bring it back
  status                            show configuration, groups, servers and calls of one entry VM
  revisions                         show the accepted revisions, newest first

)";

/// Values before validation.
struct RawArguments {
    std::vector<std::string> words;
    std::vector<std::string> addresses;
    std::int64_t timeoutMs { defaultTimeout.count() };
};

options::options_description describeOptions(Arguments& arguments, RawArguments& raw)
{
    options::options_description description("Options", usageWidth);
    auto add = description.add_options();
    add("help", options::bool_switch(&arguments.help), "print this text");
    add("address", options::value(&raw.addresses)->value_name("IP:PORT"),
        "operator listener of an entry VM; may be given several times or as a comma-separated list. The next one is "
        "tried with the same submission id when one does not answer or does not accept");
    add("expect-revision", options::value<std::uint64_t>()->value_name("N"), "apply only if this revision is in force");
    add("submission-id", options::value(&arguments.submissionId)->value_name("ID"),
        "identifies a command over resends; default for apply: SHA-256 digest of the file, otherwise random");
    add("timeout-ms", options::value(&raw.timeoutMs)->value_name("MS")->default_value(raw.timeoutMs),
        "time to wait for one entry VM");
    add("json", options::bool_switch(&arguments.json), "print the result as JSON");
    add("watch", options::bool_switch(&arguments.watch), "status: print again every second until interrupted");
    return description;
}

std::string usageText(const options::options_description& description)
{
    std::ostringstream text;
    text << commandsText << description
         << "\nEach option that takes a value can also be set as a variable, e.g. ROSEMARYMILL_ADDRESS.\n\nExit "
            "codes:\n";
    for (const auto code : { ExitCode::Success, ExitCode::Usage, ExitCode::Invalid, ExitCode::Conflict,
             ExitCode::NotAccepted, ExitCode::Unreachable })
        text << "  " << static_cast<int>(code) << "  " << describe(code) << '\n';
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

std::vector<std::string> splitAddresses(const std::vector<std::string>& values)
{
    std::vector<std::string> addresses;
    for (const auto& value : values) {
        std::istringstream list(value);
        for (std::string address; std::getline(list, address, ',');) {
            if (!address.empty())
                addresses.push_back(address);
        }
    }
    return addresses;
}

void readOperands(const RawArguments& raw, ParsedArguments& parsed)
{
    const auto& words = raw.words;
    auto& it = parsed.arguments;
    if (words.empty()) {
        parsed.errors.emplace_back("a command is required");
        return;
    }
    const auto foundCommand
        = std::find_if(commands.begin(), commands.end(), [&](const auto& entry) { return entry.first == words[0]; });
    if (foundCommand == commands.end()) {
        parsed.errors.push_back("unknown command '" + words[0] + "'");
        return;
    }
    it.command = foundCommand->second;
    const bool takesFile = it.command == Command::Check || it.command == Command::Apply;
    const bool takesUnit = it.command == Command::TakeOut || it.command == Command::BringBack;
    const std::size_t expected = takesFile ? 2 : takesUnit ? 3 : 1;
    if (words.size() != expected) {
        parsed.errors.push_back(words[0] + ": " + std::to_string(expected - 1) + " operands are required, "
            + std::to_string(words.size() - 1) + " are given");
        return;
    }
    if (takesFile)
        it.file = words[1];
    if (takesUnit) {
        it.unitKind = words[1];
        it.unitName = words[2];
        if (it.unitKind != "data-centre" && it.unitKind != "vm")
            parsed.errors.push_back(words[0] + ": '" + it.unitKind + "' must be data-centre or vm");
    }
}

void checkOptions(const RawArguments& raw, const options::variables_map& values, ParsedArguments& parsed)
{
    auto& it = parsed.arguments;
    it.addresses = splitAddresses(raw.addresses);
    if (it.addresses.empty() && it.command != Command::Check)
        parsed.errors.emplace_back("--address: a value is required");
    if (raw.timeoutMs < 1 || raw.timeoutMs > maxTimeoutMs)
        parsed.errors.push_back(
            "--timeout-ms: " + std::to_string(raw.timeoutMs) + ": must be from 1 to " + std::to_string(maxTimeoutMs));
    it.timeout = std::chrono::milliseconds { raw.timeoutMs };
    if (values.contains("expect-revision")) {
        it.expectRevision = values["expect-revision"].as<std::uint64_t>();
        if (it.command != Command::Apply)
            parsed.errors.emplace_back("--expect-revision: only for apply");
    }
    if (it.watch && it.command != Command::Status)
        parsed.errors.emplace_back("--watch: only for status");
}

} // namespace

ParsedArguments parseArguments(int argc, const char* const* argv)
{
    ParsedArguments parsed;
    RawArguments raw;
    const auto description = describeOptions(parsed.arguments, raw);
    parsed.usage = usageText(description);
    options::options_description all;
    all.add(description).add_options()("word", options::value(&raw.words));
    options::positional_options_description words;
    words.add("word", -1);
    try {
        options::variables_map values;
        options::store(options::command_line_parser(argc, argv).options(all).positional(words).run(), values);
        options::store(options::parse_environment(
                           description, [&](const std::string& it) { return flagOfVariable(description, it); }),
            values);
        options::notify(values);
        if (parsed.arguments.help)
            return parsed;
        readOperands(raw, parsed);
        checkOptions(raw, values, parsed);
    } catch (const options::error& error) {
        parsed.errors.emplace_back(error.what());
    }
    return parsed;
}

} // namespace rosemarymill::ctl
