#include <rosemarymill/core/quarantine/coordinator.hpp>
#include <rosemarymill/core/quarantine/crash_tracker.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <set>

using namespace rosemarymill;
using namespace rosemarymill::quarantine;

namespace {

const Fingerprint bad { 1, 1 };
const Fingerprint innocent { 2, 2 };
constexpr Instant start { 100s };

Crash crashOf(const std::string& server, const std::string& boot = "boot")
{
    return { ServerId { server }, BootId { boot } };
}

/// A leader with its log, and entry VMs that hear of each other only through it.
struct Fleet {
    explicit Fleet(std::size_t n)
        : entries(n, CrashTracker { sharedRequestCrashLimit })
    {
    }

    void executeOutcome(const Outcome& outcome)
    {
        for (const auto& it : outcome.store)
            (void)reduce(stored, it);
        for (auto& entry : entries) {
            for (const auto& it : outcome.publish)
                entry.receive(it, now);
        }
        exchange();
    }

    /// Delivers what the entry VMs have to say.
    void exchange()
    {
        for (auto& entry : entries) {
            const auto reports = entry.takeReports();
            if (!connected || reports.empty())
                continue;
            Outcome outcome;
            for (const auto& it : reports)
                leader.report(it, now, outcome);
            for (const auto& it : outcome.reply)
                entry.receive(it, now);
            if (!outcome.empty())
                executeOutcome(outcome);
        }
        for (const auto& it : leader.takeCrashesToProbe()) {
            asked.push_back(it);
            Outcome outcome;
            leader.answered(it, alive.contains(it.server.text()), now, outcome);
            executeOutcome(outcome);
        }
    }

    void crash(std::size_t entry, const std::string& server, const Fingerprint& it, const std::string& boot = "boot")
    {
        entries[entry].ended(ReportKind::Crashed, crashOf(server, boot), it, now);
        exchange();
    }

    void unanswered(std::size_t entry, const std::string& server, const Fingerprint& it)
    {
        entries[entry].ended(ReportKind::Unanswered, crashOf(server), it, now);
        exchange();
    }

    void complete(std::size_t entry, const Fingerprint& it)
    {
        entries[entry].completed(it, now);
        exchange();
    }

    void announce(const std::string& server, std::uint64_t sequence, const std::string& boot = "boot")
    {
        Outcome outcome;
        leader.announced(ServerId { server }, BootId { boot }, sequence, now, outcome);
        executeOutcome(outcome);
    }

    void review(const std::set<std::string>& ended)
    {
        Outcome outcome;
        leader.review([&](const Crash& it) { return ended.contains(it.server.text()); }, now, outcome);
        executeOutcome(outcome);
    }

    /// Another leader knows what was stored, and hears again from the entry VMs.
    void changeLeader()
    {
        leader = Coordinator { sharedRequestCrashLimit };
        leader.start(stored, now);
        Outcome outcome;
        for (auto& entry : entries) {
            for (const auto& it : leader.published())
                entry.receive(it, now);
            for (const auto& it : entry.recentReports(now))
                leader.report(it, now, outcome);
        }
        executeOutcome(outcome);
    }

    [[nodiscard]] bool refusedBy(std::size_t entry, const Fingerprint& it) const
    {
        return entries[entry].verdictOf(it) == Verdict::Refused;
    }

    [[nodiscard]] bool refusedByAll(const Fingerprint& it) const
    {
        return std::all_of(
            entries.begin(), entries.end(), [&](const auto& entry) { return entry.verdictOf(it) == Verdict::Refused; });
    }

    Instant now { start };
    bool connected { true };
    Coordinator leader { sharedRequestCrashLimit };
    StoredRecords stored;
    std::vector<CrashTracker> entries;
    /// Servers that answer when they are asked.
    std::set<std::string> alive;
    std::vector<Crash> asked;
};

} // namespace

TEST_CASE("A request that crashed three servers is refused by entry VMs that saw none of the crashes", "[quarantine]")
{
    Fleet fleet(5);
    fleet.crash(0, "a", bad);
    fleet.crash(1, "b", bad);
    CHECK_FALSE(fleet.refusedBy(1, bad));
    fleet.crash(2, "c", bad);
    CHECK(fleet.refusedByAll(bad));
}

TEST_CASE("Lives of one server are counted apart, and one crash seen by several entry VMs once", "[quarantine]")
{
    Fleet fleet(4);
    for (std::size_t i = 0; i < 4; ++i)
        fleet.crash(i, "a", bad);
    CHECK_FALSE(fleet.refusedBy(0, bad));
    fleet.crash(0, "a", bad, "boot-2");
    fleet.crash(1, "a", bad, "boot-3");
    CHECK(fleet.refusedByAll(bad));
}

TEST_CASE("A new leader and all new processes know a request that crashed three servers", "[quarantine]")
{
    Fleet fleet(3);
    fleet.crash(0, "a", bad);
    fleet.crash(1, "b", bad);
    SECTION("the leader changes before the third crash")
    {
        fleet.changeLeader();
        fleet.crash(2, "c", bad);
    }
    SECTION("all processes are replaced before the third crash")
    {
        fleet.entries.assign(3, CrashTracker { sharedRequestCrashLimit });
        fleet.changeLeader();
        fleet.crash(2, "c", bad);
    }
    SECTION("all processes are replaced after the third crash")
    {
        fleet.crash(2, "c", bad);
        fleet.entries.assign(3, CrashTracker { sharedRequestCrashLimit });
        fleet.changeLeader();
    }
    SECTION("the leader was cut off when the third server crashed")
    {
        fleet.connected = false;
        fleet.crash(2, "c", bad);
        fleet.connected = true;
        fleet.changeLeader();
    }
    CHECK(fleet.refusedByAll(bad));
}

TEST_CASE("An entry VM that joins is told of a request that crashed three servers", "[quarantine]")
{
    Fleet fleet(2);
    for (const auto* server : { "a", "b", "c" })
        fleet.crash(0, server, bad);
    CrashTracker joined { sharedRequestCrashLimit };
    for (const auto& it : fleet.leader.published())
        joined.receive(it, fleet.now);
    CHECK(joined.verdictOf(bad) == Verdict::Refused);
}

TEST_CASE("Connections that break while their servers live on clear the requests", "[quarantine]")
{
    Fleet fleet(2);
    for (const auto* server : { "a", "b", "c" })
        fleet.crash(0, server, innocent);
    CHECK(fleet.refusedByAll(innocent));
    // The first announcement may have been sent before the connection broke.
    fleet.now += 500ms;
    fleet.announce("a", 7);
    CHECK(fleet.refusedByAll(innocent));
    fleet.now += 1200ms;
    fleet.announce("a", 7);
    CHECK(fleet.refusedByAll(innocent));
    fleet.announce("a", 8);
    CHECK_FALSE(fleet.refusedBy(0, innocent));
    CHECK_FALSE(fleet.refusedBy(1, innocent));
    CHECK(fleet.entries[0].find(innocent)->crashes.size() == 2);
}

TEST_CASE("Servers are asked whether they live before a request is refused", "[quarantine]")
{
    Fleet fleet(2);
    fleet.crash(0, "a", innocent);
    CHECK(fleet.asked.empty());
    SECTION("those that answer have not crashed")
    {
        fleet.alive = { "a", "b", "c", "d" };
        for (const auto* server : { "b", "c", "d" })
            fleet.crash(0, server, innocent);
        CHECK(fleet.asked == std::vector { crashOf("a"), crashOf("b"), crashOf("c"), crashOf("d") });
        CHECK(fleet.leader.suspects() == 0);
        CHECK(fleet.stored.empty());
    }
    SECTION("those that do not answer are asked once")
    {
        fleet.crash(0, "b", innocent);
        fleet.crash(1, "b", bad);
        fleet.crash(1, "c", innocent);
        CHECK(fleet.asked == std::vector { crashOf("a"), crashOf("b"), crashOf("c") });
        CHECK(fleet.refusedByAll(innocent));
        CHECK_FALSE(fleet.refusedBy(0, bad));
    }
}

TEST_CASE("A server that starts again under its id does not disprove its crash", "[quarantine]")
{
    Fleet fleet(2);
    for (const auto* server : { "a", "b", "c" })
        fleet.crash(0, server, bad);
    for (std::uint64_t sequence = 1; sequence < 5; ++sequence) {
        fleet.now += 1200ms;
        fleet.announce("a", sequence, "boot-2");
    }
    CHECK(fleet.refusedByAll(bad));
}

TEST_CASE(
    "A request that is completed elsewhere is not refused though many servers end with copies of it", "[quarantine]")
{
    Fleet fleet(3);
    SECTION("completed before")
    {
        fleet.complete(0, innocent);
        for (const auto* server : { "a", "b", "c", "d", "e" })
            fleet.crash(0, server, innocent);
        CHECK_FALSE(fleet.refusedBy(0, innocent));
    }
    SECTION("completed before at another entry VM")
    {
        fleet.complete(2, innocent);
        for (const auto* server : { "a", "b", "c", "d", "e" })
            fleet.crash(0, server, innocent);
        CHECK_FALSE(fleet.refusedBy(0, innocent));
        CHECK_FALSE(fleet.refusedBy(1, innocent));
    }
    SECTION("completed after")
    {
        for (const auto* server : { "a", "b", "c", "d", "e" })
            fleet.crash(0, server, innocent);
        CHECK(fleet.refusedByAll(innocent));
        fleet.complete(1, innocent);
        CHECK_FALSE(fleet.refusedBy(0, innocent));
        CHECK(fleet.stored.empty());
    }
}

TEST_CASE("A request that was completed long ago is suspected again", "[quarantine]")
{
    Fleet fleet(2);
    fleet.complete(0, bad);
    fleet.now += 2 * completionTerm;
    for (auto& it : fleet.entries)
        it.expire(fleet.now);
    for (const auto* server : { "a", "b", "c" })
        fleet.crash(0, server, bad);
    CHECK(fleet.refusedByAll(bad));
}

TEST_CASE("A silent server counts as crashed once it is known to have ended", "[quarantine]")
{
    Fleet fleet(2);
    for (const auto* server : { "a", "b", "c" })
        fleet.unanswered(0, server, bad);
    fleet.review({});
    CHECK_FALSE(fleet.refusedBy(0, bad));
    fleet.review({ "a", "b", "c" });
    CHECK(fleet.refusedByAll(bad));
}

TEST_CASE("A frozen server that goes on announcing itself is no crash", "[quarantine]")
{
    Fleet fleet(2);
    for (const auto* server : { "a", "b", "c" }) {
        fleet.unanswered(0, server, innocent);
        fleet.announce(server, 1);
        fleet.announce(server, 2);
    }
    fleet.review({ "a", "b", "c" });
    CHECK_FALSE(fleet.refusedBy(0, innocent));
}

TEST_CASE("A domain that ends with hundreds of different requests in flight refuses none of them", "[quarantine]")
{
    Fleet fleet(7);
    std::mt19937 random(1);
    std::vector<Fingerprint> requests;
    for (std::uint64_t i = 0; i < 500; ++i)
        requests.push_back({ 100 + i, i });
    for (std::size_t i = 0; i < requests.size(); ++i)
        fleet.crash(random() % 7, "server-" + std::to_string(i % 11), requests[i]);
    for (const auto& it : requests)
        CHECK_FALSE(fleet.refusedBy(0, it));
    CHECK(fleet.stored.empty());
    for (std::size_t i = 0; i < requests.size(); ++i)
        fleet.complete(random() % 7, requests[i]);
}

TEST_CASE("A caller that varies its requests takes bounded memory", "[quarantine]")
{
    Fleet fleet(1);
    for (const auto* server : { "a", "b", "c" })
        fleet.crash(0, server, bad);
    for (std::uint64_t i = 0; i < 2 * maxFingerprints; ++i) {
        fleet.now += 10ms;
        fleet.crash(0, "server-" + std::to_string(i), { 100 + i, i });
    }
    CHECK(fleet.leader.suspects() <= maxFingerprints);
    CHECK(fleet.entries[0].suspects() <= maxFingerprints);
    CHECK(fleet.refusedByAll(bad));
    for (std::uint64_t i = 0; i < 2 * maxStored; ++i) {
        for (const auto* server : { "a", "b", "c" })
            fleet.crash(0, server, { 100 + i, i });
    }
    CHECK(fleet.stored.size() <= maxStored);
}

TEST_CASE("A refused request is tried again by one entry VM long before it is forgotten", "[quarantine]")
{
    Fleet fleet(5);
    for (const auto* server : { "a", "b", "c" })
        fleet.crash(0, server, bad);
    const auto tries = [&](Duration time) {
        std::size_t n = 0;
        const auto end = fleet.now + time;
        for (; fleet.now < end; fleet.now += 1s) {
            for (auto& entry : fleet.entries) {
                entry.expire(fleet.now);
                if (entry.verdictOf(bad) == Verdict::Refused)
                    n += entry.takeTrial(bad, fleet.now) ? 1 : 0;
                fleet.exchange();
            }
        }
        return n;
    };
    CHECK(tries(firstTrialPause) == 0);
    CHECK(tries(2 * trialRequestInterval) == 1);
    SECTION("it completes")
    {
        fleet.complete(0, bad);
        CHECK(fleet.entries[4].verdictOf(bad) == Verdict::Normal);
        CHECK(fleet.stored.empty());
    }
    SECTION("it crashes servers as before")
    {
        fleet.crash(0, "d", bad);
        CHECK(tries(5 * firstTrialPause) == 0);
        CHECK(tries(trialPauseGrowth * firstTrialPause) == 1);
        fleet.crash(0, "e", bad);
        fleet.changeLeader();
        CHECK(tries(10 * trialPauseGrowth * firstTrialPause) == 0);
    }
}
