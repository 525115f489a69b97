#include "support.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <arpa/inet.h>
#include <functional>
#include <map>
#include <memory>
#include <sys/socket.h>

using namespace rosemarymill::test::program;
using nlohmann::json;

namespace {

const std::string binaries = ROSEMARYMILL_BINARY_DIR;

const char* const manifest = R"({
  "data_centres": ["mixco"],
  "models": [{"name": "planner", "version": "1", "vms_per_replica": 2, "weight_bytes": 1000000,
              "replicas": {"mixco": {"minimum": 1, "maximum": 1}}}],
  "accounts": [{"id": "brand-1", "token_digests": ["2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"]}],
  "services": [], "ledger_homes": [], "weight_store_bytes_per_second": 1000000000
})";

/// Loopback addresses with ports that are currently free, but not reserved.
std::vector<std::string> freeAddresses(std::size_t count)
{
    std::vector<std::string> addresses;
    std::vector<int> sockets;
    for (std::size_t i = 0; i < count; ++i) {
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0
            || getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
            throw std::runtime_error("no free port");
        sockets.push_back(fd);
        addresses.push_back("127.0.0.1:" + std::to_string(ntohs(address.sin_port)));
    }
    for (const int fd : sockets)
        close(fd);
    return addresses;
}

/// Three entry VMs, which are also the acceptors, and three engines in each of two fabric domains.
class DataCentre {
public:
    DataCentre()
    {
        const auto addresses = freeAddresses(3);
        for (int i = 0; i < 3; ++i)
            startEntry(i, addresses);
        const auto path = folder.file("manifest");
        std::ofstream(path) << manifest;
        for (int i = 0; i < 3; ++i)
            REQUIRE(ctl(i, { "apply", path, "--submission-id", "first" }) == 0);
        for (const std::string domain : { "fabric-1", "fabric-2" }) {
            for (int i = 0; i < 3; ++i)
                startEngine(domain + "-" + std::to_string(i), domain);
        }
    }

    /// Member names of the only serving group at an entry VM, or nothing.
    std::vector<std::string> servingMembers(int entry)
    {
        if (ctl(entry, { "status", "--json" }) != 0)
            return {};
        const auto status = json::parse(readFile(output));
        std::vector<std::string> members;
        for (const auto& group : status.at("groups")) {
            if (group.at("phase") == "serving")
                members = group.at("members").get<std::vector<std::string>>();
        }
        return members;
    }

    /// Waits at most 30 s until the serving group at the entry VMs satisfies the condition.
    bool eventually(
        const std::vector<int>& entriesAsked, const std::function<bool(const std::vector<std::string>&)>& condition)
    {
        for (int i = 0; i < 150; ++i) {
            bool all = true;
            for (const int entry : entriesAsked)
                all = all && condition(servingMembers(entry));
            if (all)
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds { 200 });
        }
        return false;
    }

    /// Entry VM that gained the lease last, by the highest number in the logs.
    int leader()
    {
        int found = -1;
        long highest = 0;
        const std::regex pattern("lease under number ([0-9]+)");
        for (int i = 0; i < 3; ++i) {
            const auto text = readFile(logs[static_cast<std::size_t>(i)]);
            for (std::sregex_iterator it(text.begin(), text.end(), pattern); it != std::sregex_iterator(); ++it) {
                const long number = std::stol((*it)[1]);
                if (number > highest) {
                    highest = number;
                    found = i;
                }
            }
        }
        return found;
    }

    TemporaryFolder folder;
    std::string output { folder.file("output") };
    std::vector<std::string> logs;
    std::vector<std::unique_ptr<Child>> entries;
    std::map<std::string, std::unique_ptr<Child>> engines;

private:
    void startEntry(int index, const std::vector<std::string>& addresses)
    {
        const auto name = [](int i) { return "entry-" + std::to_string(i + 1); };
        std::vector<std::string> words { binaries + "/packages/daemon/rosemarymilld", "--vm", name(index),
            "--data-centre", "mixco", "--caller-address", "127.0.0.1:0", "--operator-address", "127.0.0.1:0",
            "--peer-address", addresses[static_cast<std::size_t>(index)] };
        for (int i = 0; i < 3; ++i) {
            words.insert(words.end(), { "--placement-acceptor", name(i) });
            if (i != index)
                words.insert(words.end(), { "--peer", name(i) + "@mixco=" + addresses[static_cast<std::size_t>(i)] });
        }
        logs.push_back(folder.file(name(index)));
        entries.push_back(std::make_unique<Child>(words, logs.back()));
        m_callers.push_back(waitFor(logs.back(), R"(Callers at ([0-9.:]+[0-9]))"));
        m_operators.push_back(waitFor(logs.back(), R"(Operators at ([0-9.:]+[0-9]))"));
    }

    void startEngine(const std::string& name, const std::string& domain)
    {
        std::vector<std::string> words { binaries + "/standin/standin-engine", "--id", name, "--data-centre", "mixco",
            "--fabric-domain", domain, "--load-ms", "100" };
        for (const auto& address : m_callers)
            words.insert(words.end(), { "--announce", address });
        engines[name] = std::make_unique<Child>(words, folder.file(name));
    }

    int ctl(int entry, std::vector<std::string> words)
    {
        words.insert(words.begin(), binaries + "/packages/ctl/rosemarymillctl");
        words.insert(
            words.end(), { "--address", m_operators[static_cast<std::size_t>(entry)], "--timeout-ms", "2000" });
        return Child(words, output).wait();
    }

    std::vector<std::string> m_callers;
    std::vector<std::string> m_operators;
};

bool contains(const std::vector<std::string>& members, const std::string& name)
{
    return std::find(members.begin(), members.end(), name) != members.end();
}

} // namespace

// Guards against faults on the path of reports, orders and group updates between processes.
TEST_CASE("Groups survive a killed engine, a paused leader and a failed fabric domain", "[process]")
{
    DataCentre it;
    REQUIRE(it.eventually({ 0, 1, 2 }, [](const auto& members) { return members.size() == 2; }));

    const auto killed = it.servingMembers(0).at(1);
    it.engines.at(killed)->signal(SIGKILL);
    CHECK(it.eventually(
        { 0, 1, 2 }, [&](const auto& members) { return members.size() == 2 && !contains(members, killed); }));

    const int paused = it.leader();
    REQUIRE(paused >= 0);
    it.entries[static_cast<std::size_t>(paused)]->signal(SIGSTOP);
    for (int i = 0; i < 150 && it.leader() == paused; ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds { 200 });
    CHECK(it.leader() != paused);
    it.entries[static_cast<std::size_t>(paused)]->signal(SIGCONT);
    CHECK_NOTHROW(waitFor(it.logs[static_cast<std::size_t>(paused)], "(Lost the placement lease)"));
    CHECK(it.eventually({ 0, 1, 2 }, [](const auto& members) { return members.size() == 2; }));

    const auto domain = it.servingMembers(0).at(0).substr(0, std::string("fabric-1").size());
    for (auto& [name, engine] : it.engines) {
        if (name.starts_with(domain))
            engine->signal(SIGKILL);
    }
    CHECK(it.eventually(
        { 0, 1, 2 }, [&](const auto& members) { return members.size() == 2 && !members[0].starts_with(domain); }));
}
