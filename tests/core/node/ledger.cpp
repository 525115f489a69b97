#include <catch2/catch.hpp>

#include "desk.hpp"

using namespace rosemarymill;
using test::Desk;

TEST_CASE("A resend of an answered order gets the recorded answer and is not dispatched", "[node][ledger]")
{
    Desk desk;
    desk.order(1);
    const auto dispatches = desk.take<node::Dispatch>();
    REQUIRE(dispatches.size() == 1);
    CHECK(dispatches[0].captureAnswer);
    desk.finish(dispatches[0].attempt);
    desk.forget();
    desk.order(2);
    CHECK(desk.take<node::Dispatch>().empty());
    const auto answers = desk.take<node::AnswerCall>();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].call == CallId { 2 });
    CHECK(answers[0].status == 201);
    CHECK(answers[0].body == "ordered");
}

TEST_CASE("A resend of a running order waits for its answer", "[node][ledger]")
{
    Desk desk;
    desk.order(1);
    const auto attempt = desk.take<node::Dispatch>().at(0).attempt;
    desk.order(2);
    desk.wait(1s);
    CHECK(desk.take<node::Dispatch>().size() == 1);
    CHECK(desk.take<node::AnswerCall>().empty());
    desk.finish(attempt);
    desk.wait(1s);
    CHECK(desk.take<node::AnswerCall>().size() == 1);
    CHECK(desk.take<node::Dispatch>().size() == 1);
}

TEST_CASE("An order whose answer is lost is unknown, and so is its resend", "[node][ledger]")
{
    Desk desk;
    desk.order(1);
    const auto attempt = desk.take<node::Dispatch>().at(0).attempt;
    desk.apply(node::AttemptFailed { desk.now(), attempt, node::AttemptError::ConnectionLost, true });
    desk.order(2);
    const auto refusals = desk.take<node::RefuseCall>();
    REQUIRE(refusals.size() == 2);
    CHECK(refusals[0].refusal.outcome == call::Outcome::Unknown);
    CHECK(refusals[1].refusal.outcome == call::Outcome::Unknown);
    CHECK(desk.take<node::Dispatch>().size() == 1);
}

TEST_CASE("Another order under a used key is refused as not run", "[node][ledger]")
{
    Desk desk;
    for (std::uint64_t call = 1; call <= 4; ++call)
        desk.order(call, 100 + call);
    CHECK(desk.take<node::Dispatch>().size() == 1);
    const auto refusals = desk.take<node::RefuseCall>();
    REQUIRE(refusals.size() == 3);
    for (const auto& it : refusals) {
        CHECK(it.refusal.reason == call::RefusalReason::KeyReused);
        CHECK(it.refusal.outcome == call::Outcome::NotRun);
    }
}

TEST_CASE("The caller's departure after the dispatch does not lose the answer for a resend", "[node][ledger]")
{
    Desk desk;
    desk.order(1);
    const auto attempt = desk.take<node::Dispatch>().at(0).attempt;
    desk.apply(node::CallerGone { desk.now(), CallId { 1 } });
    desk.finish(attempt);
    desk.order(2);
    CHECK(desk.take<node::AnswerCall>().size() == 1);
    CHECK(desk.take<node::Dispatch>().size() == 1);
}
