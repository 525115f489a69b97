#include <rosemarymill/core/configuration/machine.hpp>
#include <rosemarymill/core/configuration/readiness.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using namespace rosemarymill::configuration;

namespace {

SubmitManifest submission(const std::string& id, std::optional<std::uint64_t> expected, std::uint32_t models = 1)
{
    SubmitManifest command { id, "digest-" + id, std::nullopt, {} };
    if (expected)
        command.expected = Revision { *expected };
    command.manifest.dataCentres = { DataCentreId { "mixco" } };
    for (std::uint32_t i = 0; i < models; ++i) {
        ModelSpec model;
        model.name = ModelName { "model-" + std::to_string(i) };
        model.version = "1";
        command.manifest.models.push_back(model);
    }
    return command;
}

AddTakeOut takeOut(const std::string& id, const std::string& vm, TakeOutId local = {})
{
    return { id, { std::move(local), TakeOutUnit::Vm, vm } };
}

} // namespace

TEST_CASE("Of two submissions with the same expected revision one wins, and the conflict names it", "[configuration]")
{
    Machine machine;
    CHECK(machine.apply(1, submission("first", 0)).result == Result::Accepted);
    const auto answer = machine.apply(2, submission("second", 0));
    CHECK(answer.result == Result::Conflict);
    CHECK(answer.revision == Revision { 1 });
    CHECK(answer.detail == "expected revision 0, but submission 'first' became revision 1");
    CHECK(machine.table().general().submissionId == "first");
}

TEST_CASE("A resend gets its original answer and is not applied again", "[configuration]")
{
    Machine machine;
    machine.apply(1, submission("first", 0));
    machine.apply(2, submission("second", 1));
    const auto answer = machine.apply(3, submission("first", 0));
    CHECK(answer.result == Result::AlreadyAccepted);
    CHECK(answer.detail == "accepted as revision 1, superseded by 2");
    CHECK(machine.table().revision() == Revision { 2 });
    CHECK(machine.table().general().submissionId == "second");
    auto reused = submission("first", 2);
    reused.digest = "other";
    CHECK(machine.apply(4, reused).result == Result::Conflict);
}

TEST_CASE("An availability change does not make a manifest submission conflict", "[configuration]")
{
    Machine machine;
    machine.apply(1, submission("first", 0));
    machine.apply(2, takeOut("out", "vm-1"));
    CHECK(machine.apply(3, submission("second", 1)).result == Result::Accepted);
    CHECK(machine.table().takeOuts().size() == 1);
}

TEST_CASE("A bring-back cancels only the take-outs that it names", "[configuration]")
{
    Machine machine;
    machine.apply(1, takeOut("out-1", "vm-1"));
    const auto seen = machine.table().takeOuts().front().id;
    const TakeOutId local { DataCentreId { "mixco" }, BootId { "boot" }, 1 };
    machine.apply(2, takeOut("out-2", "vm-1", local));
    machine.apply(3, BringBack { "back-1", TakeOutUnit::Vm, "vm-1", { seen } });
    REQUIRE(machine.table().takeOuts().size() == 1);
    CHECK(machine.table().takeOuts().front().id == local);
    machine.apply(4, BringBack { "back-2", TakeOutUnit::Vm, "vm-1", { local } });
    CHECK(machine.table().takeOuts().empty());
}

TEST_CASE("A local take-out that was cancelled before its merge is not applied by the merge", "[configuration]")
{
    Machine machine;
    const TakeOutId local { DataCentreId { "mixco" }, BootId { "boot" }, 1 };
    machine.apply(1, BringBack { "back", TakeOutUnit::Vm, "vm-1", { local } });
    CHECK(machine.apply(2, takeOut("merge", "vm-1", local)).result == Result::AlreadyAccepted);
    CHECK(machine.table().takeOuts().empty());
}

TEST_CASE("A snapshot restores the whole state", "[configuration]")
{
    Machine machine;
    machine.apply(1, submission("first", 0, 3));
    machine.apply(2, takeOut("out", "vm-1"));
    machine.apply(3, submission("second", 1, 1));
    Machine copy;
    copy.restore(machine.snapshot());
    CHECK(copy.table() == machine.table());
    CHECK(copy.snapshot() == machine.snapshot());
    CHECK(copy.apply(4, submission("first", 0, 3)).result == Result::AlreadyAccepted);
}

TEST_CASE("Changed entries bring a table up to date and never to a lower revision", "[configuration]")
{
    Machine machine;
    machine.apply(1, submission("first", 0, 3));
    EntryTable follower;
    REQUIRE(follower.apply({}, machine.table().revision(), machine.table().changesSince({})));
    const auto old = machine.table();
    machine.apply(2, submission("second", 1, 2));
    const auto changes = machine.table().changesSince(Revision { 1 });
    // The general entry and the removed model; the two models kept are not sent again.
    CHECK(changes.size() == 2);
    EntryTable empty;
    CHECK_FALSE(empty.apply(Revision { 1 }, Revision { 2 }, changes));
    REQUIRE(follower.apply(Revision { 1 }, Revision { 2 }, changes));
    CHECK(follower == machine.table());
    CHECK_FALSE(follower.apply({}, old.revision(), old.changesSince({})));
    CHECK(follower.manifest().models.size() == 2);
}

TEST_CASE(
    "A report from a leader with a quorum or from a majority of the peers makes a process ready", "[configuration]")
{
    const Instant start { 1s };
    Readiness quorum(start, 4);
    quorum.peerReported(VmId { "far" }, false, SenderReadiness::Ready);
    CHECK_FALSE(quorum.ready());
    quorum.peerReported(VmId { "far" }, false, SenderReadiness::Quorum);
    CHECK(quorum.ready());

    Readiness peers(start, 4);
    peers.peerReported(VmId { "a" }, true, SenderReadiness::Ready);
    peers.peerReported(VmId { "a" }, true, SenderReadiness::Ready);
    peers.peerReported(VmId { "b" }, true, SenderReadiness::NotReady);
    peers.peerReported(VmId { "c" }, true, SenderReadiness::Ready);
    CHECK_FALSE(peers.ready());
    peers.peerReported(VmId { "d" }, true, SenderReadiness::Ready);
    CHECK(peers.ready());
    CHECK_FALSE(peers.unconfirmed());
}

TEST_CASE("A single ready peer suffices after 10 s, and the revision counts as unconfirmed", "[configuration]")
{
    const Instant start { 1s };
    Readiness readiness(start, 4);
    readiness.tick(start + 20s);
    CHECK_FALSE(readiness.ready());
    readiness.peerReported(VmId { "a" }, true, SenderReadiness::Ready);
    readiness.tick(start + 9s);
    CHECK_FALSE(readiness.ready());
    readiness.tick(start + 10s);
    CHECK(readiness.ready());
    CHECK(readiness.unconfirmed());
}

// I7: if the list changed, the home of a key could change with it, and its call could run again at the new home.
TEST_CASE("The list of ledger homes cannot be changed once it is set", "[configuration]")
{
    Machine machine;
    SubmitManifest first;
    first.submissionId = "first";
    first.digest = "1";
    first.manifest.ledgerHomes = { DataCentreId { "mixco" }, DataCentreId { "antigua" } };
    CHECK(machine.apply(1, Command { first }).result == Result::Accepted);
    auto reordered = first;
    reordered.submissionId = "turned";
    reordered.digest = "2";
    reordered.manifest.ledgerHomes = { DataCentreId { "antigua" }, DataCentreId { "mixco" } };
    CHECK(machine.apply(2, Command { reordered }).result == Result::Accepted);
    auto changed = first;
    changed.submissionId = "changed";
    changed.digest = "3";
    changed.manifest.ledgerHomes = { DataCentreId { "mixco" } };
    CHECK(machine.apply(3, Command { changed }).result == Result::Conflict);
}
