#include <rosemarymill/core/ledger/machine.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using namespace rosemarymill::ledger;

namespace {

const Key key { AccountId { "brand-1" }, "order-1" };
const Fingerprint requestFingerprint { 1, 2 };

Token token(std::uint64_t number) { return { VmId { "entry-1" }, BootId { "boot-1" }, number }; }

Decision decide(Machine& machine, const Command& command) { return machine.apply(1, command).decision; }

} // namespace

TEST_CASE("A key is reserved for one token until that token aborts", "[ledger]")
{
    Machine machine;
    CHECK(decide(machine, Reserve { key, requestFingerprint, token(1) }) == Decision::Run);
    CHECK(decide(machine, Reserve { key, requestFingerprint, token(2) }) == Decision::Running);
    CHECK(decide(machine, Abort { key, token(2) }) == Decision::NotHeld);
    CHECK(decide(machine, Reserve { key, requestFingerprint, token(3) }) == Decision::Running);
    CHECK(decide(machine, Abort { key, token(1) }) == Decision::Done);
    CHECK(decide(machine, Reserve { key, requestFingerprint, token(3) }) == Decision::Run);
}

TEST_CASE("A Reserve that arrives after the Abort of its token is not granted", "[ledger]")
{
    Machine machine;
    CHECK(decide(machine, Abort { key, token(1) }) == Decision::Done);
    CHECK(decide(machine, Reserve { key, requestFingerprint, token(1) }) == Decision::TokenAborted);
    CHECK(decide(machine, Reserve { key, requestFingerprint, token(2) }) == Decision::Run);
}

TEST_CASE("A resend gets the recorded answer, and another request with the same key is refused", "[ledger]")
{
    Machine machine;
    (void)machine.apply(1, Reserve { key, requestFingerprint, token(1) });
    CHECK(decide(machine, Complete { key, token(1), { 201, "text/plain", "ordered" } }) == Decision::Done);
    const auto outcome = machine.apply(3, Reserve { key, requestFingerprint, token(2) });
    CHECK(outcome.decision == Decision::Answered);
    REQUIRE(outcome.answer);
    CHECK(outcome.answer->body == "ordered");
    CHECK(decide(machine, Reserve { key, { 9, 9 }, token(3) }) == Decision::Reused);
    CHECK(decide(machine, Abort { key, token(1) }) == Decision::NotHeld);
    CHECK(decide(machine, Lose { key, token(1) }) == Decision::Done);
    CHECK(machine.find(key)->state == KeyState::Answered);
}

TEST_CASE("A call whose answer is lost stays unknown and never runs again", "[ledger]")
{
    Machine machine;
    (void)machine.apply(1, Reserve { key, requestFingerprint, token(1) });
    CHECK(decide(machine, Lose { key, token(1) }) == Decision::Done);
    CHECK(decide(machine, Reserve { key, requestFingerprint, token(2) }) == Decision::Unknown);
}

TEST_CASE("Keys expire after their retention, and a reservation whose dispatcher is lost becomes unknown", "[ledger]")
{
    Machine machine;
    const Key other { AccountId { "brand-1" }, "order-2" };
    (void)machine.apply(1, Reserve { key, requestFingerprint, token(1) });
    (void)machine.apply(2, Complete { key, token(1), { 200, {}, "x" } });
    (void)machine.apply(3, Reserve { other, requestFingerprint, token(2) });
    (void)machine.apply(4, Advance { retentionSeconds - 1 });
    CHECK(machine.size() == 2);
    (void)machine.apply(5, Advance { 1 });
    CHECK(machine.find(key) == nullptr);
    CHECK(decide(machine, Reserve { other, requestFingerprint, token(3) }) == Decision::Unknown);
    (void)machine.apply(6, Advance { retentionSeconds });
    CHECK(machine.size() == 0);
    CHECK(machine.bodyBytes() == 0);
}

TEST_CASE("Kept bodies stay within their budget and a snapshot restores the same state", "[ledger]")
{
    Machine machine;
    const std::size_t bodies = 2 * keptBodiesBudgetBytes / maxKeptBodyBytes;
    for (std::uint64_t n = 1; n <= bodies; ++n) {
        const Key each { AccountId { "brand-1" }, std::to_string(n) };
        (void)machine.apply(n, Reserve { each, requestFingerprint, token(n) });
        (void)machine.apply(n, Complete { each, token(n), { 200, {}, std::string(maxKeptBodyBytes, 'x') } });
        (void)machine.apply(n, Advance { 1 });
    }
    CHECK(machine.bodyBytes() <= keptBodiesBudgetBytes);
    CHECK(machine.size() == bodies);
    Machine copy;
    copy.restore(machine.snapshot());
    CHECK(copy.snapshot() == machine.snapshot());
    CHECK(copy.bodyBytes() == machine.bodyBytes());
    CHECK(copy.reserved() == machine.reserved());
}
