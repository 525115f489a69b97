#include <rosemarymill/daemon/settings.hpp>

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace rosemarymill;

namespace {

using CommandLine = std::vector<const char*>;

daemon::ParsedSettings parse(const CommandLine& additional)
{
    CommandLine words { "rosemarymilld", "--vm", "entry-1", "--data-centre", "mixco", "--caller-address",
        "127.0.0.1:7000", "--operator-address", "127.0.0.1:7001" };
    words.insert(words.end(), additional.begin(), additional.end());
    return daemon::parseSettings(static_cast<int>(words.size()), words.data());
}

const CommandLine peers { "--peer-address", "127.0.0.1:7002", "--peer", "entry-2@mixco=127.0.0.1:7012", "--peer",
    "entry-3@antigua=127.0.0.1:7022" };

daemon::ParsedSettings parseWithPeers(const CommandLine& additional)
{
    auto words = peers;
    words.insert(words.end(), additional.begin(), additional.end());
    return parse(words);
}

} // namespace

TEST_CASE("All settings are passed to the core", "[settings]")
{
    const auto parsed = parseWithPeers({ "--configuration-voter", "entry-1,entry-2,entry-3", "--ledger-voter",
        "mixco=entry-1,mixco=entry-2,mixco=entry-3", "--placement-acceptor", "entry-1", "--placement-acceptor",
        "entry-2", "--placement-acceptor", "entry-3", "--data-folder", "/tmp", "--log-format", "json", "--log-level",
        "debug", "--seed", "42" });
    REQUIRE(parsed.errors.empty());
    CHECK(parsed.settings.logFormat == runtime::LogFormat::Json);
    CHECK(parsed.settings.logLevel == node::LogLevel::Debug);
    const auto node = daemon::nodeSettings(parsed.settings);
    CHECK(node.seed == 42);
    CHECK(node.peers.at(1).vm == VmId { "entry-3" });
    CHECK(node.peers.at(1).dataCentre == DataCentreId { "antigua" });
    CHECK(node.peers.at(1).address == "127.0.0.1:7022");
    CHECK(node.configurationVoters.size() == 3);
    CHECK(node.ledgerVoters.at(DataCentreId { "mixco" }).size() == 3);
    CHECK(node.placementAcceptors.size() == 3);
    CHECK(node.hasDisk);
    CHECK(node.bootId != daemon::nodeSettings(parsed.settings).bootId);
}

TEST_CASE("Each invalid setting is reported in one error line", "[settings]")
{
    const auto check = [](const CommandLine& additional, const std::string& line) {
        const auto parsed = parseWithPeers(additional);
        CAPTURE(line);
        CHECK(parsed.errors == std::vector<std::string> { line });
    };
    check({ "--peer", "entry-4" }, "--peer: 'entry-4' is not VM@DATA_CENTRE=IP:PORT");
    check(
        { "--peer", "entry-4@mixco=localhost:1" }, "--peer: 'entry-4@mixco=localhost:1' is not VM@DATA_CENTRE=IP:PORT");
    check({ "--peer", "entry-1@mixco=127.0.0.1:1" },
        "--peer: 'entry-1@mixco=127.0.0.1:1' names this VM or a peer a second time");
    check({ "--peer", "entry-4@mixco=127.0.0.1:7012" },
        "--peer: 'entry-4@mixco=127.0.0.1:7012' has the address of another peer");
    check({ "--configuration-voter", "entry-2,entry-3" },
        "--configuration-voter: 2 are named, must be an odd number up to 7");
    check({ "--configuration-voter", "entry-9" }, "--configuration-voter: 'entry-9' is neither this VM nor a peer");
    check({ "--configuration-voter", "entry-1" }, "--data-folder: a value is required on a voter");
    check({ "--ledger-voter", "entry-2" }, "--ledger-voter: 'entry-2' is not DATA_CENTRE=VM");
    check({ "--placement-acceptor", "entry-2,entry-2,entry-3" }, "--placement-acceptor: 'entry-2' occurs twice");
    check({ "--data-folder", "/nonexistent" }, "--data-folder: '/nonexistent' is not an existing folder");
    check({ "--log-format", "xml" }, "--log-format: 'xml' must be text or json");
    check({ "--log-level", "loud" }, "--log-level: 'loud' must be debug, info, warning or error");
    CHECK(parse({ "--peer-address", "127.0.0.1:0" }).errors
        == std::vector<std::string> { "--peer-address: '127.0.0.1:0' has no port that peers could connect to" });
    check({ "--seed", "-1" }, "--seed: '-1' must be an integer from 0 to 18446744073709551615");
    check({ "--vms" }, "'--vms' is not a setting");
}

TEST_CASE("All faults are reported in one pass", "[settings]")
{
    const CommandLine words { "rosemarymilld", "--vm", "entry 1", "--caller-address", "127.0.0.1", "--operator-address",
        "127.0.0.1:7001", "--peer", "entry-2@mixco=127.0.0.1:7012" };
    CHECK(daemon::parseSettings(static_cast<int>(words.size()), words.data()).errors
        == std::vector<std::string> { "--vm: 'entry 1' must have 1 to 128 letters, digits, '.', '_' or '-'",
            "--data-centre: a value is required", "--caller-address: '127.0.0.1' is not ip:port",
            "--peer-address: a value is required" });
    CHECK(parse({ "--peer-address", "127.0.0.1:7000" }).errors
        == std::vector<std::string> { "--peer-address: '127.0.0.1:7000' is already the address of another listener" });
}

TEST_CASE("A flag takes precedence over its variable", "[settings]")
{
    setenv("ROSEMARYMILL_SEED", "7", 1);
    setenv("ROSEMARYMILL_PEER_ADDRESS", "127.0.0.1:7002", 1);
    setenv("ROSEMARYMILL_PEER", "a@x=127.0.0.1:1,b@x=127.0.0.1:2", 1);
    CHECK(parse({}).settings.seed == 7);
    CHECK(parse({}).settings.peers.size() == 2);
    CHECK(parse({ "--seed", "8" }).settings.seed == 8);
    unsetenv("ROSEMARYMILL_SEED");
    unsetenv("ROSEMARYMILL_PEER_ADDRESS");
    unsetenv("ROSEMARYMILL_PEER");
}
