#include "configuration_cluster.hpp"

#include <catch2/catch.hpp>

using rosemarymill::test::ConfigurationCluster;

namespace {

/// Manifest whose contents depend on the number.
std::string manifest(std::uint64_t number)
{
    auto document = nlohmann::json::parse(rosemarymill::test::readSourceFile("deploy/cooperativa.manifest.json"));
    document["weight_store_bytes_per_second"] = 1'000'000 + number;
    return document.dump();
}

bool allReach(ConfigurationCluster& cluster, std::uint64_t revision)
{
    return ConfigurationCluster::eventually([&] {
        for (std::size_t i = 0; i < ConfigurationCluster::size; ++i) {
            if (cluster.revision(i) != revision)
                return false;
        }
        return true;
    });
}

} // namespace

TEST_CASE("Accepted revisions survive killed and paused voters and reach every process", "[process]")
{
    ConfigurationCluster cluster;
    REQUIRE(cluster.applyFirst(manifest(1)));
    CHECK(allReach(cluster, 1));
    CHECK(cluster.readyStatus(ConfigurationCluster::diskless) == 200);

    // Each voter in turn is killed, so the leader is among them. The others accept a change meanwhile.
    std::uint64_t revision = 1;
    for (std::size_t voter = 0; voter < 3; ++voter) {
        cluster.stop(voter, SIGKILL);
        const auto id = "killed-" + std::to_string(voter);
        REQUIRE(ConfigurationCluster::eventually([&] {
            return cluster.apply(ConfigurationCluster::diskless, manifest(10 + voter), id, revision).status == 200;
        }));
        ++revision;
        cluster.start(voter);
        CHECK(allReach(cluster, revision));
    }
    for (std::size_t voter = 0; voter < 3; ++voter) {
        cluster.signal(voter, SIGSTOP);
        const auto id = "paused-" + std::to_string(voter);
        REQUIRE(ConfigurationCluster::eventually([&] {
            return cluster.apply(ConfigurationCluster::diskless, manifest(20 + voter), id, revision).status == 200;
        }));
        ++revision;
        cluster.signal(voter, SIGCONT);
        CHECK(allReach(cluster, revision));
    }
}

TEST_CASE("Of two changes with the same expected revision one is accepted, and a resend gets the original answer",
    "[process]")
{
    ConfigurationCluster cluster;
    REQUIRE(cluster.applyFirst(manifest(1)));
    const auto first = cluster.apply(1, manifest(2), "anna", 1);
    const auto second = cluster.apply(ConfigurationCluster::diskless, manifest(3), "berta", 1);
    CHECK(first.status == 200);
    CHECK(second.status == 409);
    CHECK(second.body.find("'anna' became revision 2") != std::string::npos);
    REQUIRE(cluster.apply(2, manifest(4), "carla", 2).status == 200);
    const auto resend = cluster.apply(2, manifest(2), "anna", 1);
    CHECK(resend.status == 200);
    CHECK(resend.body.find("accepted as revision 2, superseded by 3") != std::string::npos);
    CHECK(allReach(cluster, 3));
}

TEST_CASE("A restart after hundreds of changes reports no lower revision", "[process]")
{
    constexpr std::uint64_t changes = 300;
    ConfigurationCluster cluster;
    REQUIRE(cluster.applyFirst(manifest(1)));
    for (std::uint64_t i = 2; i <= changes; ++i)
        REQUIRE(cluster.apply(i % ConfigurationCluster::size, manifest(i), "change-" + std::to_string(i), i - 1).status
            == 200);
    REQUIRE(allReach(cluster, changes));
    for (std::size_t i = 0; i < ConfigurationCluster::size; ++i)
        cluster.stop(i, SIGKILL);
    for (std::size_t i = 0; i < ConfigurationCluster::size; ++i)
        cluster.start(i);
    for (std::size_t i = 0; i < ConfigurationCluster::size; ++i) {
        // Until a process is ready it may report no revision yet; from then on it must report the last one.
        REQUIRE(ConfigurationCluster::eventually([&] { return cluster.readyStatus(i) == 200; }));
        CHECK(cluster.revision(i) == changes);
    }
    CHECK(cluster.apply(0, manifest(changes + 1), "next", changes).status == 200);
}
