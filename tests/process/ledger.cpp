#include "configuration_cluster.hpp"

#include <support/child.hpp>
#include <support/deployment.hpp>

#include <catch2/catch.hpp>

#include <memory>

using namespace rosemarymill::test;

namespace {

const std::string manifest = R"({"data_centres": ["mixco"], "models": [],
    "accounts": [{"id": "brand-1", "token_digests": [")"
    + rosemarymill::wire::sha256Hex(callerToken) + R"("]}],
    "services": [{"name": "kit-desk", "routes": [{"method": "POST", "path_prefix": "/orders", "idempotent": false}]}],
    "ledger_homes": ["mixco"], "weight_store_bytes_per_second": 1000000})";

/// Three ledger voters, a process without a disk, and a stand-in service that keeps running when they are restarted.
class LedgerFixture {
public:
    LedgerFixture()
    {
        REQUIRE(cluster.applyFirst(manifest));
        std::vector<std::string> arguments { "--id", "desk-1", "--data-centre", "mixco", "--service", "kit-desk" };
        for (std::size_t i = 0; i < ConfigurationCluster::size; ++i)
            arguments.insert(arguments.end(), { "--announce", cluster.callers(i) });
        m_service = std::make_unique<Child>(binaryDir + "/standin/standin-service", arguments);
        m_address = m_service->waitForWordAfter("listening ");
    }

    /// Sends an order to a process until it is answered with 200. Returns the body of the answer.
    std::string order(std::size_t i, const std::string& key)
    {
        std::string answer;
        const bool answered = waitFor([&] {
            answer = exchange(cluster.callers(i), "POST", "/v1/services/kit-desk/orders", "{\"kit\": 7}",
                "Idempotency-Key: " + key + "\r\n");
            return answer.starts_with("HTTP/1.1 200");
        });
        INFO("last answer " << answer);
        REQUIRE(answered);
        return bodyOf(answer);
    }

    [[nodiscard]] std::uint64_t executions() const
    {
        return jsonOf(exchange(m_address, "GET", "/executions", {})).at("total");
    }

    ConfigurationCluster cluster;

private:
    std::unique_ptr<Child> m_service;
    std::string m_address;
};

} // namespace

// I7: an order that is sent again to another entry VM, after a voter or all processes were killed, must not run again.
TEST_CASE("An order runs once despite resends, a killed voter and a restart of all processes", "[process]")
{
    LedgerFixture fixture;
    const auto first = fixture.order(0, "order-1");
    CHECK(fixture.order(ConfigurationCluster::diskless, "order-1") == first);
    CHECK(fixture.executions() == 1);

    for (std::size_t voter = 0; voter < 3; ++voter) {
        fixture.cluster.stop(voter, SIGKILL);
        const auto key = "killed-" + std::to_string(voter);
        const auto answer = fixture.order(ConfigurationCluster::diskless, key);
        CHECK(fixture.order((voter + 1) % 3, key) == answer);
        fixture.cluster.start(voter);
        CHECK(fixture.executions() == 2 + voter);
    }

    for (std::size_t i = 0; i < ConfigurationCluster::size; ++i)
        fixture.cluster.stop(i, SIGKILL);
    for (std::size_t i = 0; i < ConfigurationCluster::size; ++i)
        fixture.cluster.start(i);
    REQUIRE(waitFor([&] { return fixture.cluster.readyStatus(1) == 200; }));
    CHECK(fixture.order(1, "order-1") == first);
    CHECK(fixture.executions() == 4);
}
