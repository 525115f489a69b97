#include <rosemarymill/core/fleet/voters.hpp>

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace rosemarymill;
using fleet::reviewVoters;
using fleet::VoterCandidate;
using fleet::VoterDecision;

namespace {

constexpr Instant now { 100s };
const VmId self { "a" };

VoterCandidate voter(const std::string& vm, const std::string& dataCentre, Duration silent = {})
{
    return { VmId { vm }, DataCentreId { dataCentre }, true, true, now - silent };
}

VoterCandidate standby(const std::string& vm, const std::string& dataCentre, bool caughtUp = true, Duration silent = {})
{
    return { VmId { vm }, DataCentreId { dataCentre }, false, caughtUp, now - silent };
}

fleet::VoterReview review(const std::vector<VoterCandidate>& candidates, std::size_t wanted = 3, bool changing = false)
{
    fleet::VoterSettings settings;
    settings.wanted = wanted;
    return reviewVoters(self, candidates, changing, settings, now);
}

std::string next(const std::vector<VoterCandidate>& candidates, std::size_t wanted = 3)
{
    std::string text;
    for (const auto& it : review(candidates, wanted).voters)
        text += it.text();
    return text;
}

} // namespace

TEST_CASE("the voters that found a log stand in different data centres", "[fleet]")
{
    const DataCentreId a { "a" };
    const DataCentreId b { "b" };
    const DataCentreId c { "c" };
    const std::map<VmId, DataCentreId> known { { VmId { "1" }, a }, { VmId { "2" }, a }, { VmId { "3" }, b },
        { VmId { "4" }, b }, { VmId { "5" }, c }, { VmId { "6" }, c } };
    const auto voters = fleet::bootstrapVoters(VmId { "4" }, known, 3);
    REQUIRE(voters.size() == 3);
    CHECK(voters.front() == VmId { "4" });
    std::set<DataCentreId> dataCentres;
    for (const auto& it : voters)
        dataCentres.insert(known.at(it));
    CHECK(dataCentres.size() == 3);
    CHECK(fleet::bootstrapVoters(VmId { "4" }, known, 9).size() == known.size());
}

TEST_CASE("working voters stay", "[fleet]")
{
    CHECK(next({ voter("a", "x"), voter("b", "y"), voter("c", "z"), standby("d", "x") }).empty());
    CHECK(next({ voter("a", "x"), voter("b", "y"), voter("c", "z", 999ms), standby("d", "x") }).empty());
}

TEST_CASE("a silent voter is replaced by a working VM, and removed first", "[fleet]")
{
    CHECK(next({ voter("a", "x"), voter("b", "y"), voter("c", "z", 1s), standby("d", "z") }) == "ab");
    CHECK(next({ voter("a", "x"), voter("b", "y"), standby("d", "z") }) == "abd");
    // Four voters are left by a version that added first.
    CHECK(next({ voter("a", "x"), voter("b", "y"), voter("c", "z", 9s), voter("d", "z") }) == "abd");
}

TEST_CASE("the longest silent voter is replaced first, and the leader never removes itself", "[fleet]")
{
    CHECK(next({ voter("a", "x", 9s), voter("b", "y"), voter("c", "z", 2s), voter("d", "x", 3s), voter("e", "y"),
                   standby("f", "z") },
              5)
        == "abce");
}

TEST_CASE("a VM that came back has to vote before the next one may be lost", "[fleet]")
{
    for (const Duration catchUpTime : { 2s, 4s, 6s }) {
        const auto settings = fleet::voterSettings(2, catchUpTime);
        CHECK(settings.wanted == 5);
        // The other half is for the election of a new leader, which counts the silence anew.
        CHECK(settings.replaceAfter + 2 * settings.reviewInterval < catchUpTime / 2);
    }
    // Without such a bound, working voters must not count as silent.
    CHECK(fleet::voterSettings(2, 0s).replaceAfter == fleet::minCatchUpTime / 4);
}

TEST_CASE("a VM that does not work or is not caught up is not added", "[fleet]")
{
    CHECK(next({ voter("a", "x"), voter("b", "y"), voter("c", "z", 8s) }).empty());
    CHECK(next({ voter("a", "x"), voter("b", "y"), voter("c", "z", 8s), standby("d", "z", false) }).empty());
    CHECK(next({ voter("a", "x"), voter("b", "y"), voter("c", "z", 8s), standby("d", "z", true, 3s) }).empty());
}

TEST_CASE("more voters are taken from data centres with few of them", "[fleet]")
{
    const std::vector<VoterCandidate> candidates { voter("a", "x"), voter("b", "y"), voter("c", "z"), standby("d", "x"),
        standby("e", "w"), standby("f", "y") };
    CHECK(next(candidates, 5) == "abce");
    CHECK(next(candidates, 3).empty());
}

TEST_CASE("a review of the voters says what it decided about which VM, and why", "[fleet]")
{
    const auto check = [](const fleet::VoterReview& it, VoterDecision decision, const char* vm, const char* reason) {
        CHECK(it.decision == decision);
        CHECK(it.subject == VmId { vm });
        CHECK(it.reason == reason);
        const bool changes = decision == VoterDecision::Add || decision == VoterDecision::Remove;
        CHECK(it.voters.empty() != changes);
    };
    const auto gone = voter("c", "z", 8s);
    const std::vector<VoterCandidate> two { voter("a", "x"), voter("b", "y") };
    const auto with = [&](std::initializer_list<VoterCandidate> others) {
        auto all = two;
        all.insert(all.end(), others);
        return all;
    };
    check(review(with({ voter("c", "z") })), VoterDecision::Keep, "", "all voters answer");
    fleet::VoterSettings patient;
    patient.replaceAfter = 3s;
    check(reviewVoters(self, with({ voter("c", "z", 2s), standby("d", "z") }), false, patient, now),
        VoterDecision::Deferred, "c", "it has not been silent for long enough");
    check(review(with({ gone })), VoterDecision::Deferred, "c", "no other VM works");
    check(review(with({ gone, standby("d", "z", false) })), VoterDecision::Deferred, "c",
        "no other VM holds the whole log");
    check(review(with({ gone, standby("d", "z") })), VoterDecision::Remove, "c", "it is silent");
    check(review(with({ gone, standby("d", "z") }), 3, true), VoterDecision::Deferred, "",
        "an earlier change is not committed");
    check(review(with({ gone, voter("d", "z") })), VoterDecision::Remove, "c", "it is silent");
    check(review(with({ standby("d", "z") })), VoterDecision::Add, "d", "fewer voters than wanted");
}
