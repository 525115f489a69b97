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

VoterCandidate voter(const std::string& vm, const std::string& dataCentre, Duration sinceAnswer = {})
{
    return { VmId { vm }, DataCentreId { dataCentre }, true, true, now - sinceAnswer };
}

VoterCandidate learner(
    const std::string& vm, const std::string& dataCentre, bool caughtUp = true, Duration sinceAnswer = {})
{
    return { VmId { vm }, DataCentreId { dataCentre }, false, caughtUp, now - sinceAnswer };
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

TEST_CASE("the voters that bootstrap a log are in different data centres", "[fleet]")
{
    const DataCentreId a { "a" };
    const DataCentreId b { "b" };
    const DataCentreId c { "c" };
    const std::map<VmId, DataCentreId> vms { { VmId { "1" }, a }, { VmId { "2" }, a }, { VmId { "3" }, b },
        { VmId { "4" }, b }, { VmId { "5" }, c }, { VmId { "6" }, c } };
    const auto voters = fleet::bootstrapVoters(VmId { "4" }, vms, 3);
    REQUIRE(voters.size() == 3);
    CHECK(voters.front() == VmId { "4" });
    std::set<DataCentreId> dataCentres;
    for (const auto& it : voters)
        dataCentres.insert(vms.at(it));
    CHECK(dataCentres.size() == 3);
    CHECK(fleet::bootstrapVoters(VmId { "4" }, vms, 9).size() == vms.size());
}

TEST_CASE("working voters are kept", "[fleet]")
{
    CHECK(next({ voter("a", "x"), voter("b", "y"), voter("c", "z"), learner("d", "x") }).empty());
    CHECK(next({ voter("a", "x"), voter("b", "y"), voter("c", "z", 999ms), learner("d", "x") }).empty());
}

TEST_CASE("a voter that does not answer is removed before a working VM replaces it", "[fleet]")
{
    CHECK(next({ voter("a", "x"), voter("b", "y"), voter("c", "z", 1s), learner("d", "z") }) == "ab");
    CHECK(next({ voter("a", "x"), voter("b", "y"), learner("d", "z") }) == "abd");
    // An earlier version added the new voter first, which can leave four voters.
    CHECK(next({ voter("a", "x"), voter("b", "y"), voter("c", "z", 9s), voter("d", "z") }) == "abd");
}

TEST_CASE("the voter that has not answered for the longest time is replaced first, and the leader never removes itself",
    "[fleet]")
{
    CHECK(next({ voter("a", "x", 9s), voter("b", "y"), voter("c", "z", 2s), voter("d", "x", 3s), voter("e", "y"),
                   learner("f", "z") },
              5)
        == "abce");
}

TEST_CASE("a recovered VM votes again before the next one may be lost", "[fleet]")
{
    for (const Duration catchUpTime : { 2s, 4s, 6s }) {
        const auto settings = fleet::voterSettings(2, catchUpTime);
        CHECK(settings.wanted == 5);
        // The other half is for the election of a new leader, which measures the voters' silence from its election on.
        CHECK(settings.replaceAfter + 2 * settings.reviewInterval < catchUpTime / 2);
    }
    // With a catch-up time of 0, working voters must still not count as failed.
    CHECK(fleet::voterSettings(2, 0s).replaceAfter == fleet::minCatchUpTime / 4);
}

TEST_CASE("a VM that does not work or is not caught up is not added", "[fleet]")
{
    CHECK(next({ voter("a", "x"), voter("b", "y"), voter("c", "z", 8s) }).empty());
    CHECK(next({ voter("a", "x"), voter("b", "y"), voter("c", "z", 8s), learner("d", "z", false) }).empty());
    CHECK(next({ voter("a", "x"), voter("b", "y"), voter("c", "z", 8s), learner("d", "z", true, 3s) }).empty());
}

TEST_CASE("voters are added in data centres with few of them", "[fleet]")
{
    const std::vector<VoterCandidate> candidates { voter("a", "x"), voter("b", "y"), voter("c", "z"), learner("d", "x"),
        learner("e", "w"), learner("f", "y") };
    CHECK(next(candidates, 5) == "abce");
    CHECK(next(candidates, 3).empty());
}

TEST_CASE("a review of the voters returns its decision, subject and reason", "[fleet]")
{
    const auto check = [](const fleet::VoterReview& it, VoterDecision decision, const char* vm, const char* reason) {
        CHECK(it.decision == decision);
        CHECK(it.subject == VmId { vm });
        CHECK(it.reason == reason);
        const bool changes = decision == VoterDecision::Add || decision == VoterDecision::Remove;
        CHECK(it.voters.empty() != changes);
    };
    const auto unresponsive = voter("c", "z", 8s);
    const std::vector<VoterCandidate> two { voter("a", "x"), voter("b", "y") };
    const auto with = [&](std::initializer_list<VoterCandidate> others) {
        auto all = two;
        all.insert(all.end(), others);
        return all;
    };
    check(review(with({ voter("c", "z") })), VoterDecision::Keep, "", "all voters answer");
    fleet::VoterSettings slowReplacement;
    slowReplacement.replaceAfter = 3s;
    check(reviewVoters(self, with({ voter("c", "z", 2s), learner("d", "z") }), false, slowReplacement, now),
        VoterDecision::Deferred, "c", "it does not answer the leader, but for less than the replacement time");
    check(review(with({ unresponsive })), VoterDecision::Deferred, "c", "no other VM answers the leader");
    check(review(with({ unresponsive, learner("d", "z", false) })), VoterDecision::Deferred, "c",
        "no other VM holds the whole log");
    check(
        review(with({ unresponsive, learner("d", "z") })), VoterDecision::Remove, "c", "it does not answer the leader");
    check(review(with({ unresponsive, learner("d", "z") }), 3, true), VoterDecision::Deferred, "",
        "an earlier change is not committed");
    check(review(with({ unresponsive, voter("d", "z") })), VoterDecision::Remove, "c", "it does not answer the leader");
    check(review(with({ learner("d", "z") })), VoterDecision::Add, "d", "fewer voters than wanted");
}
