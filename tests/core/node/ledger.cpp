#include <catch2/catch.hpp>

#include "process_fixture.hpp"

using namespace rosemarymill;
using test::ProcessFixture;

TEST_CASE("A resend of an answered order gets the recorded answer and is not dispatched", "[node][ledger]")
{
    ProcessFixture fixture;
    fixture.order(1);
    const auto dispatches = fixture.effectsOf<node::Dispatch>();
    REQUIRE(dispatches.size() == 1);
    CHECK(dispatches[0].captureAnswer);
    fixture.finish(dispatches[0].attempt);
    fixture.clearEffects();
    fixture.order(2);
    CHECK(fixture.effectsOf<node::Dispatch>().empty());
    const auto answers = fixture.effectsOf<node::AnswerCall>();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].call == CallId { 2 });
    CHECK(answers[0].status == 201);
    CHECK(answers[0].body == "ordered");
}

TEST_CASE("A resend of a running order waits for its answer", "[node][ledger]")
{
    ProcessFixture fixture;
    fixture.order(1);
    const auto attempt = fixture.effectsOf<node::Dispatch>().at(0).attempt;
    fixture.order(2);
    fixture.wait(1s);
    CHECK(fixture.effectsOf<node::Dispatch>().size() == 1);
    CHECK(fixture.effectsOf<node::AnswerCall>().empty());
    fixture.finish(attempt);
    fixture.wait(1s);
    CHECK(fixture.effectsOf<node::AnswerCall>().size() == 1);
    CHECK(fixture.effectsOf<node::Dispatch>().size() == 1);
}

TEST_CASE("An order whose answer is lost has an unknown outcome, and so does its resend", "[node][ledger]")
{
    ProcessFixture fixture;
    fixture.order(1);
    const auto attempt = fixture.effectsOf<node::Dispatch>().at(0).attempt;
    fixture.apply(node::AttemptFailed { fixture.now(), attempt, node::AttemptError::ConnectionLost, true });
    fixture.order(2);
    const auto refusals = fixture.effectsOf<node::RefuseCall>();
    REQUIRE(refusals.size() == 2);
    CHECK(refusals[0].refusal.outcome == call::Outcome::Unknown);
    CHECK(refusals[1].refusal.outcome == call::Outcome::Unknown);
    CHECK(fixture.effectsOf<node::Dispatch>().size() == 1);
}

TEST_CASE("Another order under a used key is refused as not run", "[node][ledger]")
{
    ProcessFixture fixture;
    for (std::uint64_t call = 1; call <= 4; ++call)
        fixture.order(call, 100 + call);
    CHECK(fixture.effectsOf<node::Dispatch>().size() == 1);
    const auto refusals = fixture.effectsOf<node::RefuseCall>();
    REQUIRE(refusals.size() == 3);
    for (const auto& it : refusals) {
        CHECK(it.refusal.reason == call::RefusalReason::KeyReused);
        CHECK(it.refusal.outcome == call::Outcome::NotRun);
    }
}

TEST_CASE("A resend gets the answer of an order whose caller disconnected after the dispatch", "[node][ledger]")
{
    ProcessFixture fixture;
    fixture.order(1);
    const auto attempt = fixture.effectsOf<node::Dispatch>().at(0).attempt;
    fixture.apply(node::CallerGone { fixture.now(), CallId { 1 } });
    fixture.finish(attempt);
    fixture.order(2);
    CHECK(fixture.effectsOf<node::AnswerCall>().size() == 1);
    CHECK(fixture.effectsOf<node::Dispatch>().size() == 1);
}
