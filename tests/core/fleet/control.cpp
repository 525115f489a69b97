#include "fake_fleet.hpp"

#include <catch2/catch.hpp>

using namespace rosemarymill;
using tests::FakeFleet;
using tests::FleetOptions;

namespace {

ServerId anyOpenHead(const FakeFleet& fleet) { return fleet.openHeads().front(); }

/// A day of losses, cuts, late orders and changes of the leader.
std::vector<std::string> playDay(FleetOptions options, bool cutHeads)
{
    std::minstd_rand random(static_cast<std::minstd_rand::result_type>(options.seed * 7919));
    FakeFleet fleet(options);
    std::uint64_t term = 1;
    fleet.lead(term);
    fleet.run(20s);
    for (int i = 0; i < 25; ++i) {
        const auto heads = fleet.openHeads();
        const auto pick = std::uniform_int_distribution<int>(0, 9)(random);
        if (pick < 4) {
            auto it = fleet.servers.begin();
            std::advance(it, std::uniform_int_distribution<std::size_t>(0, fleet.servers.size() - 1)(random));
            it->second.alive = false;
            fleet.addServer(it->second.record.domain.text());
        } else if (pick < 7 && cutHeads && !heads.empty()) {
            auto& head = fleet.servers.at(heads[static_cast<std::size_t>(i) % heads.size()]);
            head.cut = true;
            // A member is lost while the head cannot be reached.
            fleet.servers.at(head.members.back()).alive = false;
            fleet.addServer(head.record.domain.text());
        } else if (pick < 8) {
            fleet.stepDown();
            fleet.run(1s);
            fleet.lead(++term);
        } else {
            for (auto& [id, server] : fleet.servers)
                server.cut = false;
        }
        fleet.run(3s);
    }
    return fleet.violations;
}

} // namespace

TEST_CASE("each domain gets a large and a small group and keeps spares", "[fleet]")
{
    FakeFleet fleet({});
    fleet.lead(1);
    fleet.run(40s);
    CHECK(fleet.openGroups("large") == 2);
    CHECK(fleet.openGroups("small") == 2);
    CHECK(fleet.violations.empty());
    CHECK(fleet.control.targets().size() == 4);
}

TEST_CASE("a group that lost a member serves again soon with a spare that holds the model", "[fleet]")
{
    FakeFleet fleet({});
    fleet.lead(1);
    fleet.run(60s);
    REQUIRE(fleet.openGroups("large") == 2);
    const auto head = anyOpenHead(fleet);
    const auto model = fleet.servers.at(head).model.text();
    const auto before = fleet.openGroups(model);
    const auto member = fleet.servers.at(head).members.back();
    fleet.kill(member);
    // An entry VM sees its streams stand still.
    fleet.run(300ms);
    fleet.decide(rosemarymill::fleet::event::StallReported { fleet.now, head });
    fleet.run(4s);
    CHECK(fleet.openGroups(model) == before);
    CHECK(fleet.violations.empty());
}

TEST_CASE("entry VMs hear at once of a head whose member is lost, and not of one that drains", "[fleet]")
{
    FakeFleet fleet({});
    fleet.lead(1);
    fleet.run(60s);
    const auto head = anyOpenHead(fleet);
    fleet.kill(fleet.servers.at(head).members.back());
    fleet.published.clear();
    fleet.run(4s);
    REQUIRE_FALSE(fleet.published.empty());
    CHECK(fleet.published.front().lost == std::vector<ServerId> { head });

    const auto other = anyOpenHead(fleet);
    fleet.published.clear();
    fleet.servers.at(fleet.servers.at(other).members.back()).record.draining = true;
    fleet.run(2s);
    REQUIRE_FALSE(fleet.published.empty());
    CHECK(fleet.published.front().withdrawn == std::vector<ServerId> { other });
}

TEST_CASE("a group whose streams move is whole, though a member is cut from the control VM", "[fleet]")
{
    FakeFleet fleet({});
    fleet.lead(1);
    fleet.run(60s);
    const auto head = anyOpenHead(fleet);
    fleet.servers.at(fleet.servers.at(head).members.back()).cut = true;
    for (int i = 0; i < 40; ++i) {
        fleet.decide(rosemarymill::fleet::event::ProgressReported { fleet.now, head });
        fleet.run(200ms);
    }
    CHECK(fleet.control.targets().contains(head));
}

TEST_CASE("a new leader keeps the groups that serve", "[fleet]")
{
    FakeFleet fleet({});
    fleet.lead(1);
    fleet.run(60s);
    const auto heads = fleet.openHeads();
    fleet.stepDown();
    fleet.run(1s);
    fleet.lead(2);
    fleet.run(10s);
    CHECK(fleet.openHeads() == heads);
    CHECK(fleet.control.targets().size() == heads.size());
}

TEST_CASE("a new leader opens a group that was about to open", "[fleet]")
{
    FakeFleet fleet({});
    fleet.lead(1);
    fleet.run(60s);
    const auto head = anyOpenHead(fleet);
    const auto model = fleet.servers.at(head).model.text();
    const auto before = fleet.openGroups(model);
    fleet.kill(fleet.servers.at(head).members.back());
    fleet.run(300ms);
    fleet.decide(rosemarymill::fleet::event::StallReported { fleet.now, head });
    // The members of the new group have joined, but its head has no order to open yet.
    fleet.run(1500ms);
    fleet.stepDown();
    fleet.run(1s);
    fleet.lead(2);
    fleet.run(4s);
    CHECK(fleet.openGroups(model) == before);
    CHECK(fleet.violations.empty());
}

TEST_CASE("members of a released group join others", "[fleet]")
{
    FakeFleet fleet({});
    fleet.lead(1);
    fleet.run(60s);
    for (int i = 0; i < 4; ++i) {
        fleet.kill(fleet.servers.at(anyOpenHead(fleet)).members.back());
        fleet.run(25s);
    }
    // Eighteen servers are left in two domains: nobody may stay bound to a group that is gone.
    CHECK(fleet.openGroups("large") + fleet.openGroups("small") >= 3);
    CHECK(fleet.violations.empty());
}

TEST_CASE("loads stay within the weight store's limit once there is traffic", "[fleet]")
{
    FakeFleet fleet({ .domains = 6 });
    fleet.decide(rosemarymill::fleet::event::TrafficStarted { fleet.now });
    fleet.lead(1);
    std::vector<Instant> starts;
    std::size_t known = 0;
    for (int i = 0; i < 800; ++i) {
        fleet.run(50ms);
        std::size_t loading = 0;
        for (const auto& [id, server] : fleet.servers)
            loading += server.record.group ? 1 : 0;
        for (; known < loading; ++known)
            starts.push_back(fleet.now);
    }
    for (const auto first : starts) {
        const auto n
            = std::count_if(starts.begin(), starts.end(), [&](auto it) { return it >= first && it < first + 5s; });
        CHECK(n <= 5.5 * 5 * 1.1 + 3);
    }
}

TEST_CASE("no group serves incomplete and no server has two groups, whatever is lost", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        CAPTURE(seed);
        FleetOptions options;
        options.seed = seed;
        options.lostAnswers = 0.1;
        options.lateOrders = 0.1;
        const auto violations = playDay(options, true);
        CAPTURE(violations);
        CHECK(violations.empty());
    }
}

TEST_CASE("the checks notice a leader that does not wait for unreachable heads", "[fleet]")
{
    std::size_t noticed = 0;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        FleetOptions options;
        options.seed = seed;
        options.settings.stallTime = {};
        options.settings.stallMargin = {};
        noticed += playDay(options, true).size();
    }
    CHECK(noticed > 0);
}

TEST_CASE("the checks notice servers that serve before all members are ready", "[fleet]")
{
    FleetOptions options;
    options.reportsTooEarly = true;
    FakeFleet fleet(options);
    fleet.lead(1);
    fleet.run(20s);
    CHECK_FALSE(fleet.violations.empty());
}
