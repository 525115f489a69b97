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

TEST_CASE("spares have one model started and hold the weights of another", "[fleet]")
{
    FakeFleet fleet({});
    fleet.lead(1);
    fleet.run(90s);
    std::map<std::string, std::multiset<std::string>> started;
    for (const auto& [id, server] : fleet.servers) {
        if (!server.record.group || !server.record.group->isStandby())
            continue;
        started[server.record.domain.text()].insert(server.lastModel.text());
        CHECK(server.record.staged.front() != server.lastModel);
    }
    const std::multiset<std::string> both { "large", "small" };
    CHECK(started == std::map<std::string, std::multiset<std::string>> { { "domain-0", both }, { "domain-1", both } });
    CHECK(fleet.control.targets().size() == 4);
    CHECK(fleet.violations.empty());
}

TEST_CASE("a group that lost a member serves again within a second and a half of the first stuck request", "[fleet]")
{
    FakeFleet fleet({});
    fleet.lead(1);
    fleet.run(90s);
    for (const auto& head : fleet.openHeads()) {
        const auto model = fleet.servers.at(head).model.text();
        const auto before = fleet.openGroups(model);
        fleet.kill(fleet.servers.at(head).members.back());
        fleet.run(300ms);
        // The last bytes of the group were reported a moment ago.
        fleet.decide(rosemarymill::fleet::event::ProgressReported { fleet.now, head });
        fleet.decide(rosemarymill::fleet::event::StallReported { fleet.now, head });
        fleet.run(1500ms);
        CHECK(fleet.openGroups(model) == before);
    }
    CHECK(fleet.violations.empty());
}

TEST_CASE("a domain whose servers are heard of one by one gets its large group", "[fleet]")
{
    FakeFleet fleet({ .domains = 0 });
    for (int i = 0; i < 11; ++i)
        fleet.addServer("domain-0");
    fleet.lead(1);
    fleet.run(15s);
    // The model with the large groups is served now, so the small one is needed more.
    for (int i = 0; i < 3; ++i)
        fleet.addServer("domain-1");
    fleet.run(1500ms);
    fleet.stepDown();
    fleet.lead(2);
    for (int i = 0; i < 8; ++i) {
        fleet.run(100ms);
        fleet.addServer("domain-1");
    }
    fleet.run(45s);
    CHECK(fleet.openGroups("large") == 2);
    CHECK(fleet.openGroups("small") == 2);
}

TEST_CASE("a new leader does not use servers that may just have left an unreachable group", "[fleet]")
{
    FakeFleet fleet({ .domains = 1 });
    fleet.lead(1);
    fleet.run(90s);
    const auto head = anyOpenHead(fleet);
    auto members = fleet.servers.at(head).members;
    fleet.servers.at(head).cut = true;
    fleet.kill(members.back());
    fleet.run(300ms);
    fleet.decide(rosemarymill::fleet::event::StallReported { fleet.now, head });
    // Until the members have left, but the head still stands and waits for them.
    for (int i = 0; i < 60 && fleet.servers.at(members[1]).record.group; ++i)
        fleet.run(50ms);
    REQUIRE_FALSE(fleet.servers.at(members[1]).record.group);
    fleet.stepDown();
    fleet.run(500ms);
    fleet.lead(2);
    for (int i = 0; i < 40; ++i)
        fleet.addServer("domain-0");
    fleet.run(20s);
    CHECK(fleet.violations.empty());
}

TEST_CASE("groups of a domain that was cut off are closed before their members are used", "[fleet]")
{
    // The second cut outlasts the time after which silent servers are forgotten.
    for (const auto cut : { Duration { 8s }, Duration { 40s } }) {
        FakeFleet fleet({ .domains = 1 });
        fleet.lead(1);
        fleet.run(90s);
        const auto heads = fleet.openHeads();
        for (auto& [id, server] : fleet.servers)
            server.cut = true;
        for (int i = 0; i < 8; ++i) {
            for (const auto& head : heads)
                fleet.decide(rosemarymill::fleet::event::StallReported { fleet.now, head });
            fleet.run(300ms);
        }
        fleet.run(cut);
        for (auto& [id, server] : fleet.servers)
            server.cut = false;
        fleet.run(15s);
        CHECK(fleet.violations.empty());
        CHECK(fleet.openHeads().size() == heads.size());
    }
}

TEST_CASE("a new leader judges a stuck group with an unknown member once all servers had time to call", "[fleet]")
{
    FakeFleet fleet({});
    fleet.lead(1);
    fleet.run(90s);
    const auto head = anyOpenHead(fleet);
    const auto model = fleet.servers.at(head).model.text();
    const auto before = fleet.openGroups(model);
    fleet.stepDown();
    fleet.kill(fleet.servers.at(head).members.back());
    fleet.run(1s);
    fleet.lead(2);
    for (int i = 0; i < 10; ++i) {
        fleet.decide(rosemarymill::fleet::event::StallReported { fleet.now, head });
        fleet.run(200ms);
    }
    fleet.run(800ms);
    CHECK(fleet.openGroups(model) == before);
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
