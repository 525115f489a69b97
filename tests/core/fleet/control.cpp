#include "fake_fleet.hpp"

#include <rosemarymill/core/dispatch/balancer.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using tests::FakeFleet;
using tests::FleetOptions;

namespace {

ServerId anyOpenHead(const FakeFleet& fleet) { return fleet.openHeads().front(); }

/// Kills the last member of a group, and an entry VM reports that its streams are stalled.
void loseMember(FakeFleet& fleet, const ServerId& head)
{
    fleet.kill(fleet.servers.at(head).members.back());
    fleet.run(300ms);
    fleet.decide(rosemarymill::fleet::event::StallReported { fleet.now, head });
}

/// Runs a random sequence of server losses, network partitions and leader changes. Returns the violations. With
/// `partitionHeads`, heads are partitioned from the control VM while a member of their group is lost.
std::vector<std::string> runFailureSequence(FleetOptions options, bool partitionHeads)
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
        } else if (pick < 7 && partitionHeads && !heads.empty()) {
            auto& head = fleet.servers.at(heads[static_cast<std::size_t>(i) % heads.size()]);
            head.partitioned = true;
            // A member is lost while the head is unreachable.
            fleet.servers.at(head.members.back()).alive = false;
            fleet.addServer(head.record.domain.text());
        } else if (pick < 8) {
            fleet.stepDown();
            fleet.run(1s);
            fleet.lead(++term);
        } else {
            for (auto& [id, server] : fleet.servers)
                server.partitioned = false;
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

// Guards against leaders that end with a signal because of a document with a model whose groups have no member.
TEST_CASE("a model with a group size of 0 gets no group and does not keep others from theirs", "[fleet]")
{
    FakeFleet fleet({});
    fleet.lead(1);
    fleet.decide(rosemarymill::fleet::event::DocumentChanged {
        fleet.now, FakeFleet::table({ { ModelName { "empty" }, 0, 1.0, 1.0, 1s, 1s } }) });
    fleet.run(40s);
    CHECK(fleet.openGroups("large") == 2);
    CHECK(fleet.openGroups("small") == 2);
    CHECK(fleet.violations.empty());
}

TEST_CASE("a group that lost a member is replaced within 4 s by means of a spare that holds the model", "[fleet]")
{
    FakeFleet fleet({});
    fleet.lead(1);
    fleet.run(60s);
    REQUIRE(fleet.openGroups("large") == 2);
    const auto head = anyOpenHead(fleet);
    const auto model = fleet.servers.at(head).model.text();
    const auto before = fleet.openGroups(model);
    loseMember(fleet, head);
    fleet.run(4s);
    CHECK(fleet.openGroups(model) == before);
    CHECK(fleet.violations.empty());
}

TEST_CASE("a head is published as lost if a member failed, and as withdrawn if a member drains", "[fleet]")
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

TEST_CASE("a group whose streams progress stays open although a member is partitioned from the control VM", "[fleet]")
{
    FakeFleet fleet({});
    fleet.lead(1);
    fleet.run(60s);
    const auto head = anyOpenHead(fleet);
    fleet.servers.at(fleet.servers.at(head).members.back()).partitioned = true;
    for (int i = 0; i < 40; ++i) {
        fleet.decide(rosemarymill::fleet::event::ProgressReported { fleet.now, head });
        fleet.run(200ms);
    }
    CHECK(fleet.control.targets().contains(head));
}

TEST_CASE("a new leader keeps the open groups", "[fleet]")
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

// Guards against a new leader that takes the head of an open group into another one because of an old heartbeat.
TEST_CASE("a late heartbeat from before a group was formed does not free its head at a new leader", "[fleet]")
{
    FakeFleet fleet({ .domains = 1, .serversPerDomain = 5 });
    fleet.lead(1);
    fleet.run(30s);
    REQUIRE(fleet.openHeads().size() == 1);
    const auto head = anyOpenHead(fleet);
    for (const std::uint64_t sequence : { 1, 2, 3 }) {
        CAPTURE(sequence);
        auto late = fleet.servers.at(head).record;
        late.sequence = sequence;
        late.group.reset();
        late.loaded.clear();
        fleet.stepDown();
        fleet.run(300ms);
        fleet.lead(1 + sequence);
        fleet.decide(rosemarymill::fleet::event::HeartbeatReceived { fleet.now, late });
        fleet.servers.at(head).nextHeartbeat = fleet.now + 4s;
        for (int i = 0; i < 50; ++i) {
            fleet.decide(rosemarymill::fleet::event::ProgressReported { fleet.now, head });
            fleet.run(100ms);
        }
        CHECK(fleet.violations.empty());
        CHECK(fleet.openHeads() == std::vector<ServerId> { head });
        fleet.run(5s);
    }
}

// Guards against a new leader that uses a server whose departure its predecessor had acknowledged.
TEST_CASE("a late heartbeat does not bring back a server whose departure was acknowledged", "[fleet]")
{
    for (const bool drains : { false, true }) {
        CAPTURE(drains);
        FakeFleet fleet({ .domains = 0, .plainServers = 3 });
        fleet.lead(1);
        fleet.run(5s);
        REQUIRE(fleet.control.targets().size() == 3);
        const auto leaving = fleet.servers.begin()->first;
        const auto late = fleet.servers.at(leaving).record;
        if (drains)
            fleet.drain(leaving);
        fleet.leave(leaving);
        fleet.run(100ms);
        fleet.stepDown();
        fleet.run(1s);
        fleet.lead(2);
        fleet.decide(rosemarymill::fleet::event::HeartbeatReceived { fleet.now, late });
        fleet.run(5s);
        CHECK(fleet.control.targets().size() == 2);
        CHECK(fleet.violations.empty());

        fleet.restart(leaving);
        fleet.run(200ms);
        CHECK(fleet.control.targets().contains(leaving));
    }
}

// Guards against leaders that never use a server again that was unreachable for longer than `removeAfter`.
TEST_CASE("a server that returns from a long partition in the same incarnation is used again", "[fleet]")
{
    FakeFleet fleet({ .domains = 0, .plainServers = 3 });
    fleet.lead(1);
    fleet.run(5s);
    for (auto& [id, server] : fleet.servers)
        server.partitioned = true;
    fleet.run(35s);
    CHECK(fleet.control.registry().servers().empty());
    for (auto& [id, server] : fleet.servers)
        server.partitioned = false;
    fleet.run(2s);
    CHECK(fleet.control.targets().size() == 3);
}

TEST_CASE("a server that leaves before a new leader has heard of it is not used by later leaders", "[fleet]")
{
    FakeFleet fleet({ .domains = 0, .plainServers = 3 });
    fleet.lead(1);
    fleet.run(5s);
    const auto leaving = fleet.servers.begin()->first;
    const auto late = fleet.servers.at(leaving).record;
    fleet.stepDown();
    fleet.lead(2);
    fleet.leave(leaving);
    fleet.run(100ms);
    fleet.stepDown();
    fleet.lead(3);
    fleet.decide(rosemarymill::fleet::event::HeartbeatReceived { fleet.now, late });
    fleet.run(3s);
    CHECK(fleet.violations.empty());
    CHECK_FALSE(fleet.control.targets().contains(leaving));
}

TEST_CASE("a new leader releases a group whose head has restarted, and uses the head again", "[fleet]")
{
    FakeFleet fleet({ .domains = 1, .serversPerDomain = 3 });
    fleet.lead(1);
    fleet.run(30s);
    REQUIRE(fleet.openHeads().size() == 1);
    const auto head = anyOpenHead(fleet);
    fleet.stepDown();
    fleet.restart(head);
    fleet.run(300ms);
    fleet.lead(2);
    fleet.run(8s);
    CHECK(fleet.violations.empty());
    REQUIRE(fleet.openHeads().size() == 1);
    CHECK(fleet.control.targets().contains(anyOpenHead(fleet)));
}

TEST_CASE("no server is ordered to join or open a group that is not in the control log", "[fleet]")
{
    FakeFleet fleet({});
    using namespace rosemarymill::fleet;
    fleet.lead(1);
    std::size_t orders = 0;
    for (int i = 0; i < 600; ++i) {
        fleet.run(50ms);
        for (const auto& [id, server] : fleet.servers) {
            const auto& group = server.record.group;
            if (!group || group->isStandby())
                continue;
            ++orders;
            const auto& stored = fleet.machine.state().groups;
            const auto it
                = std::find_if(stored.begin(), stored.end(), [&](const auto& g) { return g.name == group->group; });
            REQUIRE(it != stored.end());
            REQUIRE(it->find(id));
            REQUIRE((group->state != MemberState::Open || it->mayBeOpen));
        }
    }
    CHECK(orders > 0);
}

TEST_CASE("a new leader opens a group that its predecessor was forming", "[fleet]")
{
    FakeFleet fleet({});
    fleet.lead(1);
    fleet.run(60s);
    const auto head = anyOpenHead(fleet);
    const auto model = fleet.servers.at(head).model.text();
    const auto before = fleet.openGroups(model);
    loseMember(fleet, head);
    // The members of the new group were ordered to join, but the first leader steps down before it orders the head to
    // open.
    const auto forming = [&] {
        const auto& groups = fleet.control.groups();
        return std::any_of(groups.begin(), groups.end(), [](const auto& it) {
            return it.second.phase == rosemarymill::fleet::GroupPhase::Joining && it.second.stored;
        });
    };
    for (int i = 0; i < 60 && !forming(); ++i)
        fleet.run(50ms);
    REQUIRE(forming());
    REQUIRE(fleet.openGroups(model) < before);
    fleet.stepDown();
    fleet.run(1s);
    fleet.lead(2);
    fleet.run(4s);
    CHECK(fleet.openGroups(model) == before);
    CHECK(fleet.violations.empty());
}

TEST_CASE("members of a released group join other groups", "[fleet]")
{
    FakeFleet fleet({});
    fleet.lead(1);
    fleet.run(60s);
    for (int i = 0; i < 4; ++i) {
        fleet.kill(fleet.servers.at(anyOpenHead(fleet)).members.back());
        fleet.run(25s);
    }
    // Eighteen servers are left in two domains. None of them may stay assigned to a group that no longer exists.
    CHECK(fleet.openGroups("large") + fleet.openGroups("small") >= 3);
    CHECK(fleet.violations.empty());
}

TEST_CASE("spares have one model started and the weights of another staged", "[fleet]")
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

TEST_CASE("a group that lost a member is replaced within 1.5 s of the first report of stalled requests", "[fleet]")
{
    FakeFleet fleet({});
    fleet.lead(1);
    fleet.run(90s);
    for (const auto& head : fleet.openHeads()) {
        const auto model = fleet.servers.at(head).model.text();
        const auto before = fleet.openGroups(model);
        fleet.kill(fleet.servers.at(head).members.back());
        fleet.run(300ms);
        // Progress of the group was reported just before the stall.
        fleet.decide(rosemarymill::fleet::event::ProgressReported { fleet.now, head });
        fleet.decide(rosemarymill::fleet::event::StallReported { fleet.now, head });
        fleet.run(1500ms);
        CHECK(fleet.openGroups(model) == before);
    }
    CHECK(fleet.violations.empty());
}

TEST_CASE("a domain whose servers register one by one gets its large group", "[fleet]")
{
    FakeFleet fleet({ .domains = 0 });
    for (int i = 0; i < 11; ++i)
        fleet.addServer("domain-0");
    fleet.lead(1);
    fleet.run(15s);
    // The model with the large groups is served by one group now, so the need for the small one is higher.
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

TEST_CASE("a new leader does not reuse servers that may just have left a group with an unreachable head", "[fleet]")
{
    FakeFleet fleet({ .domains = 1 });
    fleet.lead(1);
    fleet.run(90s);
    const auto head = anyOpenHead(fleet);
    auto members = fleet.servers.at(head).members;
    fleet.servers.at(head).partitioned = true;
    loseMember(fleet, head);
    // Wait until the members have left, while the head still runs and waits for them.
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

TEST_CASE("groups of a partitioned domain are closed before their members are reused", "[fleet]")
{
    // The second partition lasts longer than the time after which unreachable servers are removed.
    for (const auto outage : { Duration { 8s }, Duration { 40s } }) {
        FakeFleet fleet({ .domains = 1 });
        fleet.lead(1);
        fleet.run(90s);
        const auto heads = fleet.openHeads();
        for (auto& [id, server] : fleet.servers)
            server.partitioned = true;
        for (int i = 0; i < 8; ++i) {
            for (const auto& head : heads)
                fleet.decide(rosemarymill::fleet::event::StallReported { fleet.now, head });
            fleet.run(300ms);
        }
        fleet.run(outage);
        for (auto& [id, server] : fleet.servers)
            server.partitioned = false;
        fleet.run(15s);
        CHECK(fleet.violations.empty());
        CHECK(fleet.openHeads().size() == heads.size());
    }
}

TEST_CASE("a second leader during startup forms groups within 15 s", "[fleet]")
{
    FakeFleet fleet({});
    fleet.lead(1);
    fleet.stepDown();
    fleet.run(5s);
    fleet.lead(2);
    // Time for the servers' heartbeats, a load of 12 s, and the opening.
    fleet.run(15s);
    CHECK(fleet.openGroups("large") == 2);
}

TEST_CASE(
    "a new leader waits for heartbeats that a paused leader received before it closes groups as incomplete", "[fleet]")
{
    FakeFleet fleet({});
    fleet.lead(1);
    fleet.run(90s);
    const auto heads = fleet.openHeads();
    const auto late = fleet.servers.at(heads.front()).members.back();
    fleet.stepDown();
    fleet.lead(2);
    // This heartbeat is sent to the paused leader, an interval after the previous one, and times out there after a
    // second.
    fleet.servers.at(late).nextHeartbeat = fleet.now + 2300ms;
    for (int i = 0; i < 15; ++i) {
        for (const auto& head : heads)
            fleet.decide(rosemarymill::fleet::event::StallReported { fleet.now, head });
        fleet.run(200ms);
    }
    CHECK(fleet.openHeads() == heads);
    CHECK(fleet.violations.empty());
}

TEST_CASE(
    "a new leader closes no group with progressing streams because of members that have not found it yet", "[fleet]")
{
    FakeFleet fleet({});
    fleet.lead(1);
    fleet.run(90s);
    const auto heads = fleet.openHeads();
    REQUIRE(heads.size() > 1);
    fleet.stepDown();
    fleet.lead(2);
    // The lists of control VMs contain the lost leader for three seconds, so these servers keep sending to it.
    fleet.servers.at(heads.front()).nextHeartbeat = fleet.now + 4s;
    fleet.servers.at(fleet.servers.at(heads.back()).members.back()).nextHeartbeat = fleet.now + 4s;
    for (int i = 0; i < 50; ++i) {
        for (const auto& head : heads)
            fleet.decide(rosemarymill::fleet::event::ProgressReported { fleet.now, head });
        fleet.run(100ms);
    }
    CHECK(fleet.openHeads() == heads);
    CHECK(fleet.violations.empty());
}

TEST_CASE(
    "a new leader waits for the head's heartbeat before it orders members of a draining group to leave", "[fleet]")
{
    FakeFleet fleet({});
    fleet.lead(1);
    fleet.run(90s);
    const auto head = anyOpenHead(fleet);
    const auto members = fleet.servers.at(head).members;
    fleet.stepDown();
    fleet.lead(2);
    for (const auto& it : members)
        fleet.servers.at(it).nextHeartbeat = fleet.now + 100ms;
    fleet.servers.at(head).nextHeartbeat = fleet.now + 1100ms;
    fleet.servers.at(members.back()).record.draining = true;
    fleet.run(1s);
    for (const auto& it : members)
        CHECK(fleet.servers.at(it).record.group);
    CHECK(fleet.servers.at(head).record.group->state == rosemarymill::fleet::MemberState::Open);
}

TEST_CASE("a new leader replaces a group whose member was lost before its election", "[fleet]")
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
    fleet.run(5s);
    CHECK(fleet.openGroups(model) == before);
    CHECK(fleet.violations.empty());
}

TEST_CASE("loads stay within the weight store's limit once clients send requests", "[fleet]")
{
    FleetOptions options;
    options.domains = 6;
    FakeFleet fleet(options);
    fleet.decide(rosemarymill::fleet::event::TrafficStarted { fleet.now });
    fleet.lead(1);
    std::vector<Instant> starts;
    std::size_t recorded = 0;
    for (int i = 0; i < 800; ++i) {
        fleet.run(50ms);
        std::size_t loading = 0;
        for (const auto& [id, server] : fleet.servers)
            loading += server.record.group ? 1 : 0;
        for (; recorded < loading; ++recorded)
            starts.push_back(fleet.now);
    }
    for (const auto first : starts) {
        const auto n
            = std::count_if(starts.begin(), starts.end(), [&](auto it) { return it >= first && it < first + 5s; });
        CHECK(n <= 5.5 * 5 * 1.1 + 3);
    }
}

// Guards against groups that are released while their head may still execute an order to open that it has not answered.
TEST_CASE("a group is not released while its head may still open, whatever it answers to later orders", "[fleet]")
{
    using rosemarymill::fleet::Order;
    using rosemarymill::fleet::OrderKind;
    struct Variant {
        Duration openDelay;
        Duration drainAfter;
    };
    const auto variant = GENERATE(Variant { 5s, 200ms }, Variant { 2s, 400ms }, Variant { 9s, 200ms },
        Variant { 12s, 550ms }, Variant { 1s, 100ms }, Variant { 5s, 700ms });
    CAPTURE(variant.openDelay / 1ms, variant.drainAfter / 1ms);
    FakeFleet fleet({ .domains = 1, .serversPerDomain = 3, .checksFencing = false, .lateHeartbeats = 0 });
    std::optional<Order> late;
    fleet.orderDelay = [&](const ServerId&, const Order& order) -> std::optional<Duration> {
        if (order.kind != OrderKind::Open || late)
            return std::nullopt;
        late = order;
        return variant.openDelay;
    };
    fleet.lead(1);
    for (int i = 0; i < 600 && !late; ++i)
        fleet.run(50ms);
    REQUIRE(late);
    fleet.run(variant.drainAfter);
    const auto& forming = fleet.control.groups().at(late->group);
    fleet.drain(forming.members.back());
    fleet.run(8s);
    fleet.addServer("domain-0");
    fleet.run(20s);
    CHECK(fleet.violations.empty());
    CHECK(fleet.openHeads().size() == 1);
}

// The same for a head that has accepted the order and is still opening.
TEST_CASE("a head that is closed while it opens leaves its group before its members are reused", "[fleet]")
{
    FakeFleet fleet({ .domains = 1, .serversPerDomain = 3, .checksFencing = false, .lateHeartbeats = 0 });
    fleet.lead(1);
    const auto opening = [&]() -> const rosemarymill::fleet::Group* {
        for (const auto& [name, group] : fleet.control.groups()) {
            if (group.phase == rosemarymill::fleet::GroupPhase::Opening)
                return &group;
        }
        return nullptr;
    };
    for (int i = 0; i < 600 && !opening(); ++i)
        fleet.run(50ms);
    REQUIRE(opening());
    fleet.run(50ms);
    fleet.drain(opening()->members.back());
    fleet.addServer("domain-0");
    fleet.run(20s);
    CHECK(fleet.violations.empty());
    CHECK(fleet.openHeads().size() == 1);
}

// Guards against late orders that a server takes for the newest ones, since all orders of a leader had one number.
TEST_CASE("each order to a server has a higher fencing number than those before, also after an election", "[fleet]")
{
    FakeFleet fleet({ .lostAnswers = 0.2 });
    std::uint64_t last = 0;
    std::size_t orders = 0;
    fleet.orderDelay = [&](const ServerId&, const rosemarymill::fleet::Order& order) -> std::optional<Duration> {
        CHECK(order.fencing.value > last);
        last = order.fencing.value;
        ++orders;
        return std::nullopt;
    };
    fleet.lead(1);
    fleet.run(40s);
    const auto ofFirstTerm = orders;
    fleet.stepDown();
    fleet.lead(7);
    loseMember(fleet, anyOpenHead(fleet));
    fleet.run(20s);
    CHECK(ofFirstTerm > 22);
    CHECK(orders > ofFirstTerm);
    CHECK(fleet.violations.empty());
    CHECK(last < std::uint64_t { 1 } << 53U);
}

// Guards against reuse of servers that report a state which contradicts the release of their group.
TEST_CASE("servers of a released group whose head reports that it serves are not used until it has left", "[fleet]")
{
    const auto state = GENERATE(rosemarymill::fleet::MemberState::Open, rosemarymill::fleet::MemberState::Closing);
    FakeFleet fleet({ .domains = 1, .serversPerDomain = 3, .checksFencing = false, .lateHeartbeats = 0 });
    fleet.lead(1);
    fleet.run(30s);
    REQUIRE(fleet.openHeads().size() == 1);
    const auto head = anyOpenHead(fleet);
    const auto membership = *fleet.servers.at(head).record.group;
    fleet.drain(fleet.servers.at(head).members.back());
    fleet.run(3s);
    REQUIRE(fleet.control.groups().empty());
    auto& server = fleet.servers.at(head);
    server.record.group = membership;
    server.record.group->state = state;
    server.nextHeartbeat = fleet.now;
    unsigned leaves = 0;
    fleet.orderDelay = [&](const ServerId& id, const rosemarymill::fleet::Order& order) -> std::optional<Duration> {
        leaves += id == head && order.kind == rosemarymill::fleet::OrderKind::Leave ? 1 : 0;
        // The first order to leave is lost for some seconds.
        return leaves == 1 && order.kind == rosemarymill::fleet::OrderKind::Leave ? std::optional { Duration { 4s } }
                                                                                  : std::nullopt;
    };
    fleet.run(100ms);
    fleet.addServer("domain-0");
    fleet.run(25s);
    CHECK(leaves >= 2);
    CHECK(fleet.violations.empty());
    CHECK(fleet.openHeads().size() == 1);
}

// Guards against leaders that remember each group which they have ever formed.
TEST_CASE("released groups are forgotten once no server reports them", "[fleet]")
{
    FakeFleet fleet({ .domains = 1 });
    fleet.lead(1);
    fleet.run(30s);
    for (int i = 0; i < 20; ++i) {
        fleet.restart(anyOpenHead(fleet));
        fleet.run(12s);
    }
    CHECK(fleet.control.releasedGroups() < 12);
    fleet.run(70s);
    CHECK(fleet.control.releasedGroups() <= 2);
    CHECK(fleet.violations.empty());
}

// A server reports its group again after the leader has forgotten that the group was released.
TEST_CASE("a member that returns with a forgotten group leaves it before it is used", "[fleet]")
{
    FakeFleet fleet({ .domains = 1, .serversPerDomain = 4, .lateHeartbeats = 0 });
    fleet.lead(1);
    fleet.run(30s);
    REQUIRE(fleet.openHeads().size() == 1);
    const auto head = anyOpenHead(fleet);
    const auto member = fleet.servers.at(head).members.back();
    fleet.servers.at(member).partitioned = true;
    fleet.run(90s);
    CHECK(fleet.control.releasedGroups() == 0);
    fleet.servers.at(member).partitioned = false;
    fleet.drain(fleet.servers.at(anyOpenHead(fleet)).members.back());
    fleet.run(20s);
    CHECK(fleet.violations.empty());
    CHECK(fleet.openHeads().size() == 1);
}

TEST_CASE("no incomplete group is opened and no server is in two groups during failures", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        CAPTURE(seed);
        FleetOptions options;
        options.seed = seed;
        options.lostAnswers = 0.1;
        options.lateOrders = 0.1;
        options.maxOrderDelay = 12s;
        options.checksFencing = seed % 2 == 0;
        const auto violations = runFailureSequence(options, true);
        CAPTURE(violations);
        CHECK(violations.empty());
    }
}

namespace {

/// Runs a random sequence in which servers drain, data centres are taken out of service and brought back, servers are
/// lost and leaders change. Returns the violations.
std::vector<std::string> runDrainSequence(FleetOptions options)
{
    std::minstd_rand random(static_cast<std::minstd_rand::result_type>(options.seed * 104729));
    FakeFleet fleet(options);
    std::uint64_t term = 1;
    fleet.lead(term);
    fleet.run(60s);
    const auto any = [&] {
        auto it = fleet.servers.begin();
        std::advance(it, std::uniform_int_distribution<std::size_t>(0, fleet.servers.size() - 1)(random));
        return it->first;
    };
    for (int i = 0; i < 30; ++i) {
        switch (std::uniform_int_distribution<int>(0, 5)(random)) {
        case 0:
        case 1:
            fleet.drain(any());
            fleet.addServer("domain-" + std::to_string(i % 2));
            break;
        case 2:
            fleet.setOutOfService({ DataCentreId { "centre-of-domain-" + std::to_string(i % 2) } });
            break;
        case 3:
            fleet.setOutOfService({});
            break;
        case 4:
            fleet.kill(any());
            break;
        default:
            fleet.stepDown();
            fleet.run(700ms);
            fleet.lead(++term);
        }
        fleet.run(1500ms);
    }
    return fleet.violations;
}

} // namespace

TEST_CASE("no server that drains or is out of service is a target during failures", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        FleetOptions options;
        options.seed = seed;
        options.lostAnswers = 0.1;
        options.lateOrders = 0.1;
        const auto violations = runDrainSequence(options);
        CAPTURE(violations);
        CHECK(violations.empty());
    }
}

namespace {

/// Runs a random sequence in which leaders change and are lost in series, servers drain, leave, restart under their
/// ids, are lost and are partitioned, and a third of the heartbeats arrives late or twice. Returns the violations, and
/// the servers that are not used at the end although they could be.
std::vector<std::string> runReorderedSequence(FleetOptions options)
{
    options.lateHeartbeats = 0.3;
    options.maxHeartbeatDelay = 12s;
    options.repeatedHeartbeats = 0.1;
    options.lostAnswers = 0.1;
    options.lateOrders = 0.1;
    options.domains = 2;
    options.serversPerDomain = 7;
    options.plainServers = 4;
    std::minstd_rand random(static_cast<std::minstd_rand::result_type>(options.seed * 15485863));
    FakeFleet fleet(options);
    std::uint64_t term = 1;
    fleet.lead(term);
    fleet.run(20s);
    const auto any = [&] {
        auto it = fleet.servers.begin();
        std::advance(it, std::uniform_int_distribution<std::size_t>(0, fleet.servers.size() - 1)(random));
        return it->first;
    };
    for (int i = 0; i < 40; ++i) {
        const auto pick = std::uniform_int_distribution<int>(0, 11)(random);
        if (pick == 10) {
            fleet.drain(any());
        } else if (pick == 11) {
            fleet.leave(any());
        } else if (pick < 3) {
            fleet.restart(any());
        } else if (pick < 4) {
            fleet.kill(any());
            fleet.addServer("domain-" + std::to_string(i % 2));
        } else if (pick < 5) {
            fleet.servers.at(any()).partitioned = true;
        } else if (pick < 6) {
            for (auto& [id, server] : fleet.servers)
                server.partitioned = false;
        } else {
            fleet.stepDown();
            fleet.run(Duration { std::uniform_int_distribution<Duration::rep>(0, Duration { 2s }.count())(random) });
            fleet.lead(++term);
        }
        fleet.run(Duration { std::uniform_int_distribution<Duration::rep>(0, Duration { 6s }.count())(random) });
    }
    for (auto& [id, server] : fleet.servers)
        server.partitioned = false;
    fleet.run(15s);
    for (const auto& [id, server] : fleet.servers) {
        if (server.record.service == ServiceName { "desk" } && fleet.stays(id) && !fleet.control.targets().contains(id))
            fleet.violations.push_back(id.text() + " is not used");
    }
    return fleet.violations;
}

} // namespace

// Guards against leaders that order messages by the time at which they arrive.
TEST_CASE(
    "no order of heartbeats, notices, orders and elections has two groups serve or a drained server used", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        CAPTURE(seed);
        FleetOptions options;
        options.seed = seed;
        const auto violations = runReorderedSequence(options);
        CAPTURE(violations);
        CHECK(violations.empty());
    }
}

TEST_CASE("the checks detect leaders that do not know the groups or departures of earlier leaders", "[fleet]")
{
    for (const bool departures : { false, true }) {
        CAPTURE(departures);
        std::size_t violationCount = 0;
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            FleetOptions options;
            options.seed = seed;
            (departures ? options.losesDepartures : options.losesGroups) = true;
            violationCount += runReorderedSequence(options).size();
        }
        CHECK(violationCount > 0);
    }
}

TEST_CASE("the checks detect a leader that is not notified of drains", "[fleet]")
{
    std::size_t violationCount = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        FleetOptions options;
        options.seed = seed;
        options.hidesDrains = true;
        violationCount += runDrainSequence(options).size();
    }
    CHECK(violationCount > 0);
}

TEST_CASE("the checks detect a leader that does not wait for unreachable heads", "[fleet]")
{
    std::size_t violationCount = 0;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        FleetOptions options;
        options.seed = seed;
        options.settings.stallTime = {};
        options.settings.stallMargin = {};
        violationCount += runFailureSequence(options, true).size();
    }
    CHECK(violationCount > 0);
}

TEST_CASE("the checks detect a group that opens before all members are ready", "[fleet]")
{
    FleetOptions options;
    options.reportsTooEarly = true;
    FakeFleet fleet(options);
    fleet.lead(1);
    fleet.run(20s);
    CHECK_FALSE(fleet.violations.empty());
}

TEST_CASE("a leader whose own connection is congested closes no open group", "[fleet]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        FleetOptions options;
        options.seed = seed;
        options.domains = 6;
        FakeFleet fleet(options);
        fleet.lead(1);
        fleet.run(90s);
        const auto heads = fleet.openHeads();
        fleet.lostProbes = 0.65;
        // Requests are reported as stalled at each of them for 3 s.
        for (int i = 0; i < 20; ++i) {
            for (const auto& it : heads)
                fleet.decide(rosemarymill::fleet::event::StallReported { fleet.now, it });
            fleet.run(150ms);
        }
        CHECK(fleet.openHeads() == heads);
    }
}

TEST_CASE("groups of a failed domain are closed while the other domains answer", "[fleet]")
{
    FleetOptions options;
    options.domains = 6;
    FakeFleet fleet(options);
    fleet.lead(1);
    fleet.run(90s);
    for (const auto& [id, server] : fleet.servers) {
        if (server.record.domain == FabricDomainId { "domain-0" })
            fleet.kill(id);
    }
    for (int i = 0; i < 8; ++i) {
        for (const auto& [id, target] : std::map(fleet.control.targets()))
            if (!fleet.servers.at(id).alive)
                fleet.decide(rosemarymill::fleet::event::StallReported { fleet.now, id });
        fleet.run(150ms);
    }
    for (const auto& [id, target] : fleet.control.targets())
        CHECK(fleet.servers.at(id).alive);
}

TEST_CASE("failed servers in half of the domains do not prevent each other from counting as dead", "[fleet]")
{
    // The domains are probed at different times, so that each probe finds results of other ones.
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        FleetOptions options;
        options.seed = seed;
        options.domains = 6;
        FakeFleet fleet(options);
        fleet.lead(1);
        fleet.run(90s);
        std::set<FabricDomainId> domains;
        for (const auto& id : fleet.openHeads()) {
            if (domains.size() < 3 && domains.insert(fleet.servers.at(id).record.domain).second)
                fleet.kill(id);
        }
        REQUIRE(domains.size() == 3);
        fleet.run(6s);
        for (const auto& [id, target] : fleet.control.targets())
            CHECK(fleet.servers.at(id).alive);
    }
}

TEST_CASE("a heartbeat of a service that is not in the document does not replace a server", "[fleet]")
{
    FakeFleet fleet({});
    fleet.lead(1);
    fleet.run(40s);
    const auto head = anyOpenHead(fleet);
    auto unknownService = fleet.servers.at(head).record;
    unknownService.service = ServiceName { "unnamed" };
    unknownService.sequence += 100;
    fleet.decide(rosemarymill::fleet::event::HeartbeatReceived { fleet.now, unknownService });
    unknownService.id = ServerId { "odd" };
    unknownService.startedAtMs += 1;
    fleet.decide(rosemarymill::fleet::event::HeartbeatReceived { fleet.now, unknownService });
    REQUIRE(fleet.control.registry().find(head));
    CHECK(fleet.control.registry().find(head)->record.service == ServiceName { "llm" });
    CHECK_FALSE(fleet.control.registry().find(unknownService.id));
    CHECK(fleet.control.targets().contains(head));
}

namespace {

/// Entry VM whose clients send more requests than a cold server bears. It gets the targets that a leader publishes.
class ColdServerCaller {
public:
    static constexpr double coldRate = 36;
    static constexpr double overshoot = 1.5;
    static constexpr double slack = 5;
    static constexpr double limit = coldRate * overshoot + slack;
    static constexpr Duration interval = 10ms;

    explicit ColdServerCaller(FakeFleet& fleet)
        : m_fleet(fleet)
        , m_balancer({ .coldOvershoot = overshoot, .coldSlack = slack }, 1)
    {
        m_balancer.setEntryVms(1);
    }

    /// Runs the fleet and sends a request each `interval`.
    void run(Duration time)
    {
        for (const auto end = m_fleet.now + time; m_fleet.now < end;) {
            m_fleet.run(50ms);
            for (const auto& it : std::exchange(m_fleet.published, {}))
                m_balancer.apply(it, m_fleet.now);
            for (auto at = m_fleet.now - 50ms; at < m_fleet.now; at += interval)
                send(m_fleet.now);
        }
    }

    /// Most requests in one second at a server while it was cold.
    [[nodiscard]] std::size_t mostWhileCold() const
    {
        std::size_t most = 0;
        for (auto it = m_atCold.begin(); it != m_atCold.end(); ++it)
            most = std::max(most, static_cast<std::size_t>(std::lower_bound(it, m_atCold.end(), *it + 1s) - it));
        return most;
    }

    std::size_t sent { 0 };

private:
    void send(Instant now)
    {
        const rosemarymill::dispatch::Query query { ServiceName { "desk" }, {}, {}, coldRate, now };
        const auto result = m_balancer.choose(query);
        const auto* choice = std::get_if<rosemarymill::dispatch::Choice>(&result);
        if (!choice)
            return;
        ++sent;
        if (now < m_fleet.servers.at(choice->target->id).coldUntil)
            m_atCold.push_back(now);
    }

    FakeFleet& m_fleet;
    rosemarymill::dispatch::Balancer m_balancer;
    std::vector<Instant> m_atCold;
};

} // namespace

// Guards against entry VMs that send all requests to a server which became cold again before its cold start was over.
TEST_CASE("a server that becomes cold again gets no more requests than a cold server bears", "[fleet]")
{
    struct Variant {
        Duration again;
        Duration time;
        unsigned repeats;
    };
    const auto variant = GENERATE(Variant { 700ms, 3s, 1 }, Variant { 2s, 3s, 1 }, Variant { 2s, 6s, 1 },
        Variant { 1500ms, 3s, 5 }, Variant { 2950ms, 3s, 1 }, Variant { 3300ms, 3s, 1 });
    const auto newLeader = GENERATE(false, true);
    CAPTURE(variant.again / 1ms, variant.time / 1ms, variant.repeats, newLeader);
    FakeFleet fleet({ .domains = 0, .plainServers = 1, .lateHeartbeats = 0 });
    ColdServerCaller caller(fleet);
    const auto server = fleet.servers.begin()->first;
    fleet.lead(1);
    caller.run(5s);
    REQUIRE(caller.sent > 0);
    fleet.makeCold(server, 3s);
    fleet.run(100ms);
    for (unsigned i = 0; i < variant.repeats; ++i) {
        caller.run(variant.again);
        fleet.makeCold(server, variant.time);
        fleet.run(50ms);
    }
    if (newLeader) {
        caller.run(150ms);
        fleet.stepDown();
        caller.run(500ms);
        fleet.lead(2);
    }
    caller.run(variant.time + 2s);
    CHECK(static_cast<double>(caller.mostWhileCold()) <= ColdServerCaller::limit);
}

// Guards against servers that are held back although they have reported that their cold start ends earlier.
TEST_CASE("a server whose cold start becomes shorter is used in full once it is over", "[fleet]")
{
    const auto shorter = GENERATE(Duration { 0ms }, Duration { 300ms });
    CAPTURE(shorter / 1ms);
    FakeFleet fleet({ .domains = 0, .plainServers = 1, .lateHeartbeats = 0 });
    ColdServerCaller caller(fleet);
    const auto server = fleet.servers.begin()->first;
    fleet.lead(1);
    caller.run(5s);
    fleet.makeCold(server, 20s);
    caller.run(1s);
    fleet.makeCold(server, shorter);
    caller.run(500ms);
    const auto before = caller.sent;
    caller.run(1s);
    CHECK(caller.sent - before == 100);
}
