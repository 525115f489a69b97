#include <rosemarymill/core/quarantine/quarantine.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using namespace rosemarymill::quarantine;

namespace {

const Fingerprint crashing { 1, 1 };
const Fingerprint harmless { 2, 2 };
const Instant now { 100s };

CrashReport crash(const char* server, std::vector<Fingerprint> fingerprints)
{
    return { ReportKind::Crashed, { ServerId { server }, BootId { "boot" } }, std::move(fingerprints) };
}

} // namespace

TEST_CASE("A request is suspected after one crash and refused after two, counted once per crash", "[quarantine]")
{
    State state;
    CHECK(reduce(state, crash("a", { crashing, harmless }), now));
    CHECK(verdictOf(state, crashing) == Verdict::Suspect);
    // Several entry VMs report the same crash.
    CHECK_FALSE(reduce(state, crash("a", { crashing }), now));
    CHECK(verdictOf(state, crashing) == Verdict::Suspect);
    CHECK(reduce(state, crash("b", { crashing }), now));
    CHECK(verdictOf(state, crashing) == Verdict::Refused);
    CHECK(reduce(state, { ReportKind::Cleared, {}, { harmless } }, now));
    CHECK(verdictOf(state, harmless) == Verdict::Normal);
}

TEST_CASE("A broken connection to a server that continues to run is no crash", "[quarantine]")
{
    State state;
    (void)reduce(state, crash("a", { crashing }), now);
    CHECK_FALSE(disproves(state, ServerId { "a" }, BootId { "boot" }, now + 1s));
    CHECK_FALSE(disproves(state, ServerId { "a" }, BootId { "boot-2" }, now + 5s));
    CHECK(disproves(state, ServerId { "a" }, BootId { "boot" }, now + 2s));
    auto report = crash("a", {});
    report.kind = ReportKind::Retracted;
    CHECK(reduce(state, report, now + 2s));
    CHECK(verdictOf(state, crashing) == Verdict::Normal);
}

TEST_CASE("The number of fingerprints is bounded and the refused ones are kept", "[quarantine]")
{
    State state;
    (void)reduce(state, crash("a", { crashing }), now);
    (void)reduce(state, crash("b", { crashing }), now);
    for (std::uint64_t i = 10; i < 10 + 2 * maxFingerprints; ++i)
        (void)reduce(state, crash("c", { Fingerprint { i, i } }), now + 1s);
    CHECK(state.records.size() <= maxFingerprints);
    CHECK(verdictOf(state, crashing) == Verdict::Refused);
    expire(state, now + 25h);
    CHECK(state.records.empty());
}
