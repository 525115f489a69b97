#include <rosemarymill/core/fleet/voters.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using fleet::nextVoters;
using fleet::VoterCandidate;

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

std::string next(const std::vector<VoterCandidate>& candidates, std::size_t wanted = 3)
{
    fleet::VoterSettings settings;
    settings.wanted = wanted;
    const auto voters = nextVoters(self, candidates, settings, now);
    std::string text;
    for (const auto& it : voters.value_or(std::vector<VmId> {}))
        text += it.text();
    return text;
}

} // namespace

TEST_CASE("working voters stay", "[fleet]")
{
    CHECK(next({ voter("a", "x"), voter("b", "y"), voter("c", "z"), standby("d", "x") }).empty());
    CHECK(next({ voter("a", "x"), voter("b", "y"), voter("c", "z", 5s), standby("d", "x") }).empty());
}

TEST_CASE("a silent voter is replaced by a working VM, which is added first", "[fleet]")
{
    const std::vector<VoterCandidate> before { voter("a", "x"), voter("b", "y"), voter("c", "z", 8s),
        standby("d", "z") };
    CHECK(next(before) == "abcd");
    CHECK(next({ voter("a", "x"), voter("b", "y"), voter("c", "z", 9s), voter("d", "z") }) == "abd");
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
