#include "support.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace rosemarymill::test::program;
using nlohmann::json;

namespace {

const std::string binaries = ROSEMARYMILL_BINARY_DIR "/packages/";
const std::string sources = ROSEMARYMILL_SOURCE_DIR;

/// One entry VM and commands to it.
struct Fixture {
    Fixture()
        : daemon(
            { binaries + "daemon/rosemarymilld", "--vm", "entry-1", "--data-centre", "mixco", "--caller-address",
                "127.0.0.1:0", "--operator-address", "127.0.0.1:0", "--log-format", "json", "--trace-file", trace },
            log)
        , address(waitFor(log, R"(Operators at ([0-9.:]+[0-9]))"))
    {
    }

    int ctl(std::vector<std::string> words)
    {
        words.insert(words.begin(), binaries + "ctl/rosemarymillctl");
        words.insert(words.end(), { "--address", address });
        return Child(words, output).wait();
    }

    TemporaryFolder folder;
    std::string trace { folder.file("trace") };
    std::string log { folder.file("log") };
    std::string output { folder.file("output") };
    Child daemon;
    std::string address;
};

} // namespace

TEST_CASE("An operator's commands reach a running daemon", "[process]")
{
    Fixture it;
    const auto sample = sources + "/deploy/cooperativa.manifest.json";
    const auto other = sources + "/deploy/grabbelton.manifest.json";
    CHECK(it.ctl({ "status", "--json" }) == 0);
    CHECK_FALSE(json::parse(readFile(it.output)).at("ready").get<bool>());
    REQUIRE(it.ctl({ "apply", sample, "--expect-revision", "0", "--json" }) == 0);
    CHECK(json::parse(readFile(it.output)).at("result") == "accepted");
    REQUIRE(it.ctl({ "apply", sample, "--expect-revision", "0", "--json" }) == 0);
    CHECK(json::parse(readFile(it.output)).at("result") == "already_accepted");
    CHECK(it.ctl({ "apply", other, "--expect-revision", "0" }) == 4);
    CHECK(it.ctl({ "status", "--json" }) == 0);
    CHECK(json::parse(readFile(it.output)).at("configuration").at("revision") == 1);
    CHECK(it.ctl({ "revisions" }) == 0);
    CHECK(readFile(it.output).starts_with("1 "));
    it.daemon.terminate();
    CHECK(it.daemon.wait() == 0);
    CHECK(it.ctl({ "status", "--timeout-ms", "2000" }) == 6);
    // A replay of the recorded trace must produce the recorded effects.
    const auto replayed = Child({ ROSEMARYMILL_BINARY_DIR "/bench/bench-replay", it.trace }, it.output).wait();
    CAPTURE(readFile(it.output));
    CHECK(replayed == 0);
}

TEST_CASE("A daemon with faulty settings prints them and does not start", "[process]")
{
    TemporaryFolder folder;
    const auto output = folder.file("output");
    Child daemon({ binaries + "daemon/rosemarymilld", "--vm", "entry 1", "--check-settings" }, output);
    CHECK(daemon.wait() == 2);
    CHECK(readFile(output).find("--vm: 'entry 1' must have") != std::string::npos);
}
