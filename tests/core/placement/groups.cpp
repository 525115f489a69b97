#include <catch2/catch.hpp>

#include "../../support/fleet.hpp"

#include <set>

using namespace rosemarymill;
using namespace rosemarymill::placement;
using test::Fleet;

namespace {

configuration::ModelSpec model(const char* name, std::uint32_t vms, std::uint32_t minimum, std::uint32_t maximum)
{
    configuration::ModelSpec it;
    it.name = ModelName { name };
    it.version = "1";
    it.vmsPerReplica = vms;
    it.weightBytes = 1'000'000'000;
    it.replicas[DataCentreId { "mixco" }] = { minimum, maximum };
    return it;
}

/// Domains "d0", "d1", ... with servers "d0-0", "d0-1", ...; some servers ignore fencing numbers, and the last server
/// of each domain shares its VM with the one before.
template <typename AnyFleet> void fill(AnyFleet& fleet, int domains, int perDomain)
{
    fleet.manifest.weightStoreBytesPerSecond = 10'000'000'000;
    for (int d = 0; d < domains; ++d) {
        const auto domain = "d" + std::to_string(d);
        for (int i = 0; i < perDomain; ++i) {
            const auto name = domain + "-" + std::to_string(i);
            fleet.add(name, name, domain, i % 3 != 0);
        }
        fleet.add(domain + "-twin", domain + "-0", domain);
    }
}

using Confirmation = std::tuple<ServerId, BootId, GroupId, std::uint32_t>;

/// Compares the published groups with the actual state of the servers.
class InvariantCheck {
public:
    template <typename AnyFleet> void observe(const AnyFleet& fleet)
    {
        for (const auto& [id, server] : fleet.servers) {
            if (server.actualState.group)
                m_confirmed.emplace(
                    id, server.actualState.bootId, server.actualState.group->id, server.actualState.group->rank);
        }
        std::set<VmId> vms;
        std::set<GroupId> serving;
        for (const auto& [id, group] : fleet.published) {
            if (group.phase != GroupPhase::Serving)
                continue;
            serving.insert(id);
            checkMembers(fleet, group);
            for (const auto& member : group.members)
                doubleMembers += vms.insert(member.vm).second ? 0 : 1;
        }
        // A stopped group that serves again gets the full detection time again.
        std::erase_if(m_lastCompleteAt, [&](const auto& entry) { return !serving.contains(entry.first); });
        std::map<VmId, GroupId> groupOfVm;
        for (const auto& [id, server] : fleet.servers) {
            if (server.dead || !server.actualState.group || !serving.contains(server.actualState.group->id))
                continue;
            const auto [it, added] = groupOfVm.emplace(server.actualState.vm, server.actualState.group->id);
            doubleMembers += added || it->second == server.actualState.group->id ? 0 : 1;
        }
    }

    /// Steps in which an incomplete group served (I1), and in which a VM was in two groups (I2).
    std::size_t partialGroups { 0 };
    std::size_t doubleMembers { 0 };

private:
    /// A member is detected as lost after 3 s without an announcement; the rest is the delay of a report and a tick.
    static constexpr Duration maxDetectionTime = 3s + 1s;

    template <typename AnyFleet> void checkMembers(const AnyFleet& fleet, const Group& group)
    {
        bool complete = true;
        for (std::uint32_t rank = 0; rank < group.members.size(); ++rank) {
            const auto& member = group.members[rank];
            partialGroups += m_confirmed.contains({ member.server, member.bootId, group.id, rank }) ? 0 : 1;
            const auto& server = fleet.servers.at(member.server);
            const auto& actualState = server.actualState;
            complete = complete && !server.dead && !server.paused && actualState.bootId == member.bootId
                && actualState.group && actualState.group->id == group.id && actualState.group->rank == rank;
        }
        auto& since = m_lastCompleteAt[group.id];
        if (complete || since == Instant {})
            since = fleet.now;
        partialGroups += fleet.now - since > maxDetectionTime ? 1 : 0;
    }

    std::set<Confirmation> m_confirmed;
    std::map<GroupId, Instant> m_lastCompleteAt;
};

/// Defect in the reports that the leader receives.
enum class Defect { None, UnconfirmedJoins, IgnoredVms };

template <typename AnyFleet> void inject(AnyFleet& fleet, Defect defect)
{
    if (defect == Defect::IgnoredVms)
        fleet.alterAnnouncement = [](backend::Announcement& it) { it.vm = VmId { it.id.text() }; };
    if (defect != Defect::UnconfirmedJoins)
        return;
    // The leader assumes that a join order was executed as soon as it is sent.
    fleet.onOrder = [&](const GiveOrder& it) {
        if (it.order.action != backend::OrderAction::Join)
            return;
        if (auto record = fleet.leader.servers.find(it.server); record != fleet.leader.servers.end())
            record->second.announcement.group
                = backend::GroupMembership { it.order.group, it.order.fencing, it.order.rank };
    };
}

struct Outcome {
    InvariantCheck check;
    std::size_t large { 0 };
    std::size_t small { 0 };
};

/// Runs a seeded schedule of kills, pauses, restarts, failures of whole domains, leader changes, lost and delayed
/// orders and stale announcements, and lets the fleet recover.
template <PlacementPolicy Policy> Outcome runSchedule(std::uint32_t seed, Defect defect)
{
    Fleet<Policy> fleet(seed);
    fill(fleet, 3, 7);
    inject(fleet, defect);
    fleet.manifest.models = { model("large", 3, 2, 3), model("small", 1, 2, 4) };
    Outcome outcome;
    const auto run = [&](Duration duration) { fleet.run(duration, [&] { outcome.check.observe(fleet); }); };
    run(5s);
    auto& random = fleet.random;
    const auto any = [&]() -> auto&
    {
        return std::next(fleet.servers.begin(), random() % fleet.servers.size())->second;
    };
    for (int round = 0; round < 25; ++round) {
        fleet.lossPercent = random() % 30;
        fleet.maxDelay = Duration { 5ms } + Duration { random() % 700'000 };
        auto& server = any();
        switch (random() % 6) {
        case 0:
            fleet.kill(server.actualState.id);
            break;
        case 1:
            server.paused = true;
            break;
        case 2:
            fleet.restart(server.actualState.id);
            break;
        case 3:
            for (auto& [id, other] : fleet.servers)
                other.dead = other.dead || other.actualState.fabricDomain == server.actualState.fabricDomain;
            break;
        case 4:
            server.actualState.leaving = true;
            break;
        default:
            fleet.changeLeader();
        }
        const auto requests = [&] { return static_cast<std::uint32_t>(random() % 30); };
        std::map<ModelName, Demand> demand;
        for (const char* name : { "large", "small" }) {
            const auto waiting = requests();
            demand[ModelName { name }] = { waiting, requests() };
        }
        fleet.apply(DemandReported { fleet.now, std::move(demand) });
        run(Duration { random() % 5'000'000 });
        auto& recovered = any();
        recovered.paused = false;
        if (recovered.dead)
            fleet.restart(recovered.actualState.id);
    }
    fleet.lossPercent = 0;
    fleet.maxDelay = 5ms;
    for (auto& [id, server] : fleet.servers) {
        server.paused = false;
        if (server.dead || server.actualState.leaving)
            fleet.restart(id);
    }
    run(60s);
    outcome.large = fleet.serving(ModelName { "large" });
    outcome.small = fleet.serving(ModelName { "small" });
    return outcome;
}

} // namespace

// Guards against partial groups that serve, VMs in two groups, and fleets that never recover.
TEST_CASE("Groups are complete and disjoint under seeded faults", "[groups]")
{
    for (std::uint32_t seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        const auto shipped = runSchedule<WarmSparePolicy>(seed, Defect::None);
        CHECK(shipped.check.partialGroups == 0);
        CHECK(shipped.check.doubleMembers == 0);
        CHECK(shipped.large >= 2);
        CHECK(shipped.small >= 2);
        const auto baseline = runSchedule<FirstFitPolicy>(seed, Defect::None);
        CHECK(baseline.check.partialGroups == 0);
        CHECK(baseline.check.doubleMembers == 0);
    }
}

TEST_CASE("The group check rejects a leader that does not wait for confirmations", "[groups]")
{
    std::size_t partial = 0;
    for (std::uint32_t seed = 1; seed <= 5; ++seed)
        partial += runSchedule<WarmSparePolicy>(seed, Defect::UnconfirmedJoins).check.partialGroups;
    CHECK(partial > 0);
}

TEST_CASE("The group check rejects a leader that ignores which VM a server runs on", "[groups]")
{
    std::size_t doubles = 0;
    for (std::uint32_t seed = 1; seed <= 5; ++seed)
        doubles += runSchedule<WarmSparePolicy>(seed, Defect::IgnoredVms).check.doubleMembers;
    CHECK(doubles > 0);
}

TEST_CASE("A warm spare repairs a group faster than a load takes", "[groups]")
{
    Fleet<WarmSparePolicy> fleet(1);
    fill(fleet, 1, 5);
    fleet.manifest.models = { model("large", 4, 1, 1) };
    fleet.manifest.models[0].weightBytes = 100'000'000'000;
    fleet.run(120s);
    REQUIRE(fleet.serving(ModelName { "large" }) == 1);
    fleet.kill(fleet.published.begin()->second.members[2].server);
    fleet.run(5s);
    CHECK(fleet.serving(ModelName { "large" }) == 1);
}

// Guards against a repair that restarts: the load of the first replacement takes 10 s and must continue.
TEST_CASE("A second loss during a repair keeps the load in progress", "[groups]")
{
    Fleet<WarmSparePolicy> fleet(1);
    fill(fleet, 1, 5);
    fleet.manifest.models = { model("large", 4, 1, 1) };
    fleet.manifest.models[0].weightBytes = 100'000'000'000;
    fleet.run(45s);
    REQUIRE(fleet.serving(ModelName { "large" }) == 1);
    const auto members = fleet.published.begin()->second.members;
    fleet.add("spare-1", "spare-1", "d0");
    fleet.add("spare-2", "spare-2", "d0");
    fleet.kill(members[1].server);
    fleet.run(6s);
    fleet.kill(members[2].server);
    const auto start = fleet.now;
    while (fleet.serving(ModelName { "large" }) == 0 && fleet.now - start < 60s)
        fleet.run(100ms);
    // Detection 3 s, one load of 10 s for the second replacement, confirmation. The first load ran meanwhile.
    CHECK(fleet.now - start < 22s);
}

TEST_CASE("A model whose domain has failed is placed in another domain", "[groups]")
{
    Fleet<WarmSparePolicy> fleet(2);
    fill(fleet, 2, 4);
    fleet.manifest.models = { model("large", 4, 1, 1), model("small", 1, 0, 4) };
    fleet.run(15s);
    fleet.apply(DemandReported { fleet.now, { { ModelName { "small" }, { 20, 0 } } } });
    fleet.run(15s);
    REQUIRE(fleet.serving(ModelName { "small" }) == 4);
    const auto failedDomain = fleet.published.begin()->second.fabricDomain;
    for (auto& [id, server] : fleet.servers)
        server.dead = server.actualState.fabricDomain == failedDomain;
    fleet.run(30s);
    CHECK(fleet.serving(ModelName { "large" }) == 1);
}

TEST_CASE("Replica counts follow demand slowly downwards", "[groups]")
{
    Fleet<WarmSparePolicy> fleet(3);
    fill(fleet, 1, 6);
    fleet.manifest.models = { model("small", 1, 1, 5) };
    fleet.run(10s);
    CHECK(fleet.serving(ModelName { "small" }) == 1);
    fleet.apply(DemandReported { fleet.now, { { ModelName { "small" }, { 24, 8 } } } });
    fleet.run(10s);
    CHECK(fleet.serving(ModelName { "small" }) == 5);
    fleet.apply(DemandReported { fleet.now, { { ModelName { "small" }, { 0, 2 } } } });
    fleet.run(50s);
    CHECK(fleet.serving(ModelName { "small" }) == 5);
    fleet.run(400s);
    CHECK(fleet.serving(ModelName { "small" }) <= 2);
}

TEST_CASE("VMs and data centres out of service get no groups", "[groups]")
{
    Fleet<WarmSparePolicy> fleet(4);
    fill(fleet, 1, 3);
    fleet.manifest.models = { model("small", 1, 2, 2) };
    fleet.run(10s);
    const auto vm = fleet.published.begin()->second.members.front().vm;
    fleet.input.outOfServiceVms.insert(vm);
    fleet.run(200ms);
    for (const auto& [id, group] : fleet.published)
        CHECK((group.phase != GroupPhase::Serving || group.members.front().vm != vm));
    fleet.run(10s);
    CHECK(fleet.serving(ModelName { "small" }) == 2);
    fleet.input.dataCentreOutOfService = true;
    fleet.run(10s);
    CHECK(fleet.published.empty());
}

TEST_CASE("A new leader keeps the groups that serve", "[groups]")
{
    Fleet<WarmSparePolicy> fleet(5);
    fill(fleet, 2, 4);
    fleet.manifest.models = { model("large", 3, 2, 2) };
    fleet.run(20s);
    REQUIRE(fleet.serving(ModelName { "large" }) == 2);
    const auto before = fleet.published;
    fleet.changeLeader();
    fleet.run(10s, [&] { REQUIRE(fleet.serving(ModelName { "large" }) == 2); });
    CHECK(fleet.published == before);
}
