#include <rosemarymill/core/admission/queue.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using namespace rosemarymill::admission;

namespace {

QueuedCall waiting(std::uint64_t id, const char* account, double cost = 1.0, double weight = 1.0)
{
    QueuedCall it;
    it.call = CallId { id };
    it.account = AccountId { account };
    it.cost = cost;
    it.weight = weight;
    it.arrival = id;
    return it;
}

bool any(const QueuedCall&) { return true; }

} // namespace

TEST_CASE("Accounts share slots by weight and cost, however many calls one of them sends", "[admission]")
{
    WeightedFairQueue order;
    std::uint64_t id = 0;
    for (int i = 0; i < 300; ++i)
        order.push(waiting(++id, "flood"));
    for (int i = 0; i < 100; ++i) {
        order.push(waiting(++id, "costly", 4.0));
        order.push(waiting(++id, "heavy", 1.0, 2.0));
    }
    std::map<AccountId, int> taken;
    for (int i = 0; i < 130; ++i)
        ++taken[order.take(any)->account];
    CHECK(taken[AccountId { "flood" }] == Approx(40).margin(2));
    CHECK(taken[AccountId { "costly" }] == Approx(10).margin(2));
    CHECK(taken[AccountId { "heavy" }] == Approx(80).margin(2));
}

TEST_CASE("An account whose calls cost more than estimated gets fewer slots afterwards", "[admission]")
{
    WeightedFairQueue order;
    for (std::uint64_t id = 1; id <= 40; id += 2) {
        order.push(waiting(id, "a"));
        order.push(waiting(id + 1, "b"));
    }
    REQUIRE(order.take(any)->account == AccountId { "a" });
    order.adjustCost(AccountId { "a" }, 9.0);
    int count = 0;
    for (int i = 0; i < 10; ++i)
        count += order.take(any)->account == AccountId { "b" } ? 1 : 0;
    CHECK(count >= 9);
}

TEST_CASE("Calls of one account are ordered by worth, then by deadline", "[admission]")
{
    WeightedFairQueue order;
    auto low = waiting(1, "a");
    auto late = waiting(2, "a");
    late.worth = 2.0;
    late.deadline = Instant { 9s };
    auto early = waiting(3, "a");
    early.worth = 2.0;
    early.deadline = Instant { 5s };
    order.push(low);
    order.push(late);
    order.push(early);
    CHECK(order.take(any)->call == CallId { 3 });
    CHECK(order.take(any)->call == CallId { 2 });
    CHECK(order.take(any)->call == CallId { 1 });
}

TEST_CASE("A call that fits no free slot does not block others", "[admission]")
{
    WeightedFairQueue order;
    auto large = waiting(1, "a");
    large.tokens = 100;
    order.push(large);
    order.push(waiting(2, "a"));
    order.push(waiting(3, "b"));
    const auto small = [](const QueuedCall& it) { return it.tokens < 50; };
    CHECK(order.take(small).has_value());
    CHECK(order.take(small).has_value());
    CHECK_FALSE(order.take(small).has_value());
    CHECK(order.size() == 1);
    CHECK(order.erase(CallId { 1 }));
    CHECK_FALSE(order.erase(CallId { 1 }));
}

TEST_CASE("An account that was idle gets no credit for that time", "[admission]")
{
    WeightedFairQueue order;
    std::uint64_t id = 0;
    for (int i = 0; i < 100; ++i)
        order.push(waiting(++id, "busy"));
    for (int i = 0; i < 50; ++i)
        (void)order.take(any);
    for (int i = 0; i < 50; ++i)
        order.push(waiting(++id, "idle"));
    int idle = 0;
    for (int i = 0; i < 20; ++i)
        idle += order.take(any)->account == AccountId { "idle" } ? 1 : 0;
    CHECK(idle == Approx(10).margin(1));
}
