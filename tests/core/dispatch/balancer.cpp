#include <rosemarymill/core/dispatch/balancer.hpp>

#include <catch2/catch.hpp>

#include <map>

using namespace rosemarymill;
using dispatch::Balancer;
using dispatch::Choice;
using dispatch::NoServer;
using dispatch::Refusal;

namespace {

constexpr Instant start { 100s };

fleet::Target target(const std::string& id, unsigned slots = 26, Duration coldLeft = {})
{
    return { ServerId { id }, "10.0.0.1:80", ServiceName { "llm" }, DataCentreId { "mixco" }, ModelName { "large" },
        slots, coldLeft };
}

dispatch::BalancerSettings settings()
{
    dispatch::BalancerSettings it;
    it.dataCentre = DataCentreId { "mixco" };
    it.coldOvershoot = 1.5;
    it.coldSlack = 5;
    return it;
}

dispatch::Query query(Instant now, std::span<const ServerId> tried = {}, double coldRate = 0)
{
    return { ServiceName { "llm" }, ModelName { "large" }, tried, coldRate, now };
}

std::string chosen(Balancer& balancer, const dispatch::Query& query)
{
    const auto result = balancer.choose(query);
    const auto* it = std::get_if<Choice>(&result);
    return it ? it->target->id.text() : std::string {};
}

NoServer refused(Balancer& balancer, const dispatch::Query& query)
{
    return std::get<Refusal>(balancer.choose(query)).reason;
}

/// Maximum number of requests in any second that a cold server gets from several entry VMs that use their full limits.
/// `assumedVms` is the number of entry VMs that each of them assumes.
std::size_t maxColdRequests(unsigned vms, unsigned assumedVms)
{
    constexpr double coldRate = 36;
    std::vector<Balancer> balancers;
    for (unsigned i = 0; i < vms; ++i) {
        auto own = settings();
        own.vmHash = i + 1;
        balancers.emplace_back(own, i + 1);
        balancers.back().setEntryVms(assumedVms);
        fleet::TargetDelta delta;
        delta.upserts.push_back(target("a", 1000, 6s));
        balancers.back().apply(delta, start);
    }
    std::vector<Instant> sent;
    for (auto now = start; now < start + 6s; now += 5ms) {
        for (auto& it : balancers) {
            if (chosen(it, query(now, {}, coldRate)) == "a")
                sent.push_back(now);
        }
    }
    std::size_t most = 0;
    for (const auto first : sent)
        most = std::max<std::size_t>(
            most, std::count_if(sent.begin(), sent.end(), [&](auto it) { return it >= first && it < first + 1s; }));
    return most;
}

} // namespace

TEST_CASE("the least loaded server is chosen", "[dispatch]")
{
    Balancer balancer(settings(), 1);
    fleet::TargetDelta delta;
    delta.upserts = { target("a"), target("b") };
    balancer.apply(delta, start);
    for (int i = 0; i < 13; ++i)
        balancer.sent(ServerId { "a" }, start);
    CHECK(chosen(balancer, query(start)) == "b");
    balancer.loadReported(ServerId { "b" }, 26, start);
    CHECK(chosen(balancer, query(start)) == "a");
    // Expired reports are ignored.
    CHECK(chosen(balancer, query(start + 2s)) == "b");
}

TEST_CASE("the load of a server includes requests of other entry VMs", "[dispatch]")
{
    Balancer balancer(settings(), 1);
    fleet::TargetDelta delta;
    delta.upserts = { target("a"), target("b") };
    balancer.apply(delta, start);
    const std::vector<fleet::ServerLoad> loads { { ServerId { "a" }, 13 } };
    balancer.applyFleetLoads(loads, start);
    CHECK(chosen(balancer, query(start)) == "b");
    for (int i = 0; i < 20; ++i)
        balancer.sent(ServerId { "b" }, start);
    CHECK(balancer.localLoads(start).size() == 1);
    CHECK(chosen(balancer, query(start)) == "a");
}

TEST_CASE("servers that failed this call or were withdrawn get no request", "[dispatch]")
{
    Balancer balancer(settings(), 1);
    fleet::TargetDelta delta;
    delta.upserts = { target("a"), target("b") };
    balancer.apply(delta, start);
    const std::vector<ServerId> tried { ServerId { "a" } };
    CHECK(chosen(balancer, query(start, tried)) == "b");
    delta = {};
    delta.withdrawn = { ServerId { "b" } };
    balancer.apply(delta, start);
    CHECK(refused(balancer, query(start, tried)) == NoServer::Failing);
    delta = {};
    delta.full = true;
    balancer.apply(delta, start);
    CHECK(refused(balancer, query(start)) == NoServer::Unknown);
}

TEST_CASE("a failing server is suspended for a time that doubles", "[dispatch]")
{
    Balancer balancer(settings(), 1);
    fleet::TargetDelta delta;
    delta.upserts = { target("a") };
    balancer.apply(delta, start);
    balancer.failed(ServerId { "a" }, start);
    CHECK(refused(balancer, query(start + 200ms)) == NoServer::Failing);
    CHECK(chosen(balancer, query(start + 300ms)) == "a");
    balancer.failed(ServerId { "a" }, start + 300ms);
    CHECK(refused(balancer, query(start + 700ms)) == NoServer::Failing);
    CHECK(chosen(balancer, query(start + 900ms)) == "a");
}

namespace {

Balancer balancerOf(const std::vector<std::string>& servers)
{
    Balancer balancer(settings(), 1);
    fleet::TargetDelta delta;
    for (const auto& it : servers)
        delta.upserts.push_back(target(it));
    balancer.apply(delta, start);
    balancer.setEntryVms(1);
    return balancer;
}

} // namespace

// Guards against servers that are never used again because they refused a connection once.
TEST_CASE("a server that refused a connection gets requests again once one is established", "[dispatch]")
{
    const bool refuses = GENERATE(true, false);
    auto balancer = balancerOf({ "a", "b", "c" });
    const ServerId a { "a" };
    CHECK(balancer.notConnected(a, refuses, start));
    CHECK_FALSE(balancer.notConnected(a, refuses, start + 1ms));
    CHECK(balancer.unreachable() == 1);
    // Requests go to the other servers, and connections without a request find out when the server is back.
    std::vector<Duration> attempts;
    for (auto now = start; now < start + 30s; now += 50ms) {
        CHECK(chosen(balancer, query(now)) != "a");
        for (const auto& it : balancer.takeServersToConnect(query(now))) {
            REQUIRE(it.id == a);
            attempts.push_back(now - start);
            CHECK_FALSE(balancer.notConnected(a, refuses, now));
        }
    }
    REQUIRE(attempts.size() > 4);
    CHECK(attempts.front() <= 150ms);
    CHECK(attempts.size() <= 35);
    for (std::size_t i = 1; i < attempts.size(); ++i)
        CHECK(attempts[i] - attempts[i - 1] <= 1050ms);
    CHECK(balancer.connected(a, start + 30s) == 30s);
    CHECK(balancer.connected(a, start + 30s) == Duration::zero());
    CHECK(balancer.unreachable() == 0);
    std::map<std::string, unsigned> requests;
    for (unsigned i = 0; i < 60; ++i) {
        const auto server = chosen(balancer, query(start + 31s));
        ++requests[server];
        balancer.sent(ServerId { server }, start + 31s);
    }
    CHECK(requests["a"] >= 15);
}

TEST_CASE("while all servers refuse connections, each request finds out whether one is back", "[dispatch]")
{
    auto balancer = balancerOf({ "a", "b", "c" });
    const auto tryAll = [&](Instant now) {
        std::vector<ServerId> tried;
        for (auto id = chosen(balancer, query(now)); !id.empty(); id = chosen(balancer, query(now, tried))) {
            tried.emplace_back(id);
            (void)balancer.notConnected(tried.back(), true, now);
        }
        return tried.size();
    };
    CHECK(tryAll(start) == 3);
    for (auto now = start + 50ms; now < start + 20s; now += 50ms)
        CHECK(tryAll(now) == 3);
    // Many requests at once do not add up to more attempts.
    CHECK(tryAll(start + 20s) == 3);
    CHECK(tryAll(start + 20s) == 0);
    CHECK(refused(balancer, query(start + 20s)) == NoServer::Failing);
    const auto back = chosen(balancer, query(start + 20s + 25ms));
    REQUIRE_FALSE(back.empty());
    CHECK(balancer.connected(ServerId { back }, start + 20s + 27ms) > 20s);
    CHECK(chosen(balancer, query(start + 20s + 28ms)) == back);
}

TEST_CASE("while connections to all servers time out, one request at a time waits for one", "[dispatch]")
{
    auto balancer = balancerOf({ "a" });
    const ServerId a { "a" };
    (void)balancer.notConnected(a, false, start);
    unsigned attempts = 0;
    for (auto now = start; now < start + 20s; now += 10ms) {
        if (chosen(balancer, query(now)).empty())
            continue;
        ++attempts;
        CHECK(balancer.takeServersToConnect(query(now)).empty());
        (void)balancer.notConnected(a, false, now);
    }
    CHECK(attempts >= 18);
    CHECK(attempts <= 25);
}

TEST_CASE("a server that refused a connection and is cold gets no more requests than it sustains", "[dispatch]")
{
    Balancer balancer(settings(), 1);
    balancer.setEntryVms(1);
    fleet::TargetDelta delta;
    delta.upserts = { target("a", 26, 10s) };
    balancer.apply(delta, start);
    (void)balancer.notConnected(ServerId { "a" }, true, start);
    unsigned sent = 0;
    for (auto now = start + 1s; now < start + 2s; now += 25ms)
        sent += chosen(balancer, query(now, {}, 2)).empty() ? 0 : 1;
    CHECK(sent <= 2 * 1.5 + 5);
}

TEST_CASE("a new process at the address of an unreachable server gets requests at once", "[dispatch]")
{
    auto balancer = balancerOf({ "a" });
    (void)balancer.notConnected(ServerId { "a" }, false, start);
    auto restarted = target("a");
    restarted.bootId = BootId { "2" };
    fleet::TargetDelta delta;
    delta.upserts = { restarted };
    balancer.apply(delta, start + 10ms);
    CHECK(chosen(balancer, query(start + 10ms)) == "a");
    CHECK(balancer.unreachable() == 0);
}

TEST_CASE(
    "a server that does not serve what it was announced for gets no requests until it is announced again", "[dispatch]")
{
    Balancer balancer(settings(), 1);
    fleet::TargetDelta delta;
    delta.upserts = { target("a") };
    balancer.apply(delta, start);
    balancer.misdirected(ServerId { "a" }, start);
    CHECK(refused(balancer, query(start + 3s)) == NoServer::Failing);
    balancer.apply(delta, start + 3s);
    CHECK(chosen(balancer, query(start + 3s)) == "a");
    // The suspension is bounded, since the last announcement may have been sent before the server's answer.
    balancer.misdirected(ServerId { "a" }, start + 3s);
    CHECK(chosen(balancer, query(start + 7s)) == "a");
}

TEST_CASE("nothing is refused while half of the slots are free", "[dispatch]")
{
    Balancer balancer(settings(), 1);
    fleet::TargetDelta delta;
    delta.upserts = { target("a"), target("b") };
    balancer.apply(delta, start);
    unsigned taken = 0;
    for (auto server = chosen(balancer, query(start)); !server.empty(); server = chosen(balancer, query(start))) {
        balancer.sent(ServerId { server }, start);
        ++taken;
    }
    // All slots, and a quarter as many waiting requests.
    CHECK(taken >= 52);
    CHECK(taken <= 66);
    CHECK(refused(balancer, query(start)) == NoServer::Full);
}

TEST_CASE("all entry VMs together send a cold server no more than it sustains", "[dispatch]")
{
    constexpr std::size_t bound = 59; // 36 a second x 1.5 + 5
    for (const unsigned vms : { 1U, 7U, 30U, 87U }) {
        CAPTURE(vms);
        CHECK(maxColdRequests(vms, vms) <= bound);
        CHECK(maxColdRequests(vms, vms) > 0);
    }
}

TEST_CASE("the check of cold servers detects VMs that do not share the limit", "[dispatch]")
{
    CHECK(maxColdRequests(7, 1) > 59);
}

namespace {

dispatch::Query promptQuery(Instant now, unsigned tokens)
{
    auto it = query(now);
    it.work = { tokens, 50'000, 600us, 60ms };
    return it;
}

void send(Balancer& balancer, const std::string& server, const dispatch::Query& query)
{
    balancer.sent(ServerId { server }, query.now, query.work);
}

Balancer threeGroups(unsigned vms, unsigned position)
{
    Balancer balancer(settings(), 1);
    balancer.setEntryVms(vms, position);
    fleet::TargetDelta delta;
    delta.upserts = { target("a"), target("b"), target("c") };
    balancer.apply(delta, start);
    return balancer;
}

} // namespace

TEST_CASE("a group with pending prefill work is avoided until the work is done", "[dispatch]")
{
    auto balancer = threeGroups(3, 0);
    CHECK(chosen(balancer, promptQuery(start, 1000)) == "a");
    send(balancer, "a", promptQuery(start, 5000));
    CHECK(chosen(balancer, promptQuery(start + 1ms, 1000)) == "b");
    send(balancer, "b", promptQuery(start + 1ms, 5000));
    CHECK(chosen(balancer, promptQuery(start + 2ms, 1000)) == "c");
    send(balancer, "c", promptQuery(start + 2ms, 500));
    // 5,000 tokens take 100 ms.
    CHECK(chosen(balancer, promptQuery(start + 15ms, 1000)) == "c");
    CHECK(chosen(balancer, promptQuery(start + 110ms, 1000)) == "a");
}

TEST_CASE("prompts of other entry VMs are included, and own prompts are counted only once", "[dispatch]")
{
    auto balancer = threeGroups(3, 0);
    send(balancer, "b", promptQuery(start, 2000));
    const auto own = balancer.localLoads(start);
    REQUIRE(own.size() == 1);
    CHECK(own.front().promptTokens == 2000);
    const std::vector<fleet::ServerLoad> fleet { { ServerId { "a" }, 1, 4000 }, { ServerId { "b" }, 1, 2000 },
        { ServerId { "c" }, 1, 6000 } };
    balancer.applyFleetLoads(fleet, start + 1ms);
    CHECK(chosen(balancer, promptQuery(start + 1ms, 1000)) == "b");
    send(balancer, "b", promptQuery(start + 1ms, 4000));
    CHECK(chosen(balancer, promptQuery(start + 2ms, 1000)) == "a");
}

TEST_CASE("entry VMs prefer different idle groups", "[dispatch]")
{
    std::map<std::string, int> uses;
    for (unsigned position = 0; position < 6; ++position) {
        auto balancer = threeGroups(6, position);
        ++uses[chosen(balancer, promptQuery(start, 1000))];
    }
    CHECK(uses == std::map<std::string, int> { { "a", 2 }, { "b", 2 }, { "c", 2 } });
    // With more groups than entry VMs the preferred groups are spread evenly.
    auto second = threeGroups(2, 1);
    CHECK(chosen(second, promptQuery(start, 1000)) == "b");
}

TEST_CASE("a request goes to a group with a free slot, even if it has more prompt tokens to prefill", "[dispatch]")
{
    auto balancer = threeGroups(3, 0);
    for (int i = 0; i < 28; ++i) {
        balancer.sent(ServerId { "a" }, start);
        balancer.sent(ServerId { "b" }, start);
    }
    for (int i = 0; i < 20; ++i)
        balancer.sent(ServerId { "c" }, start);
    send(balancer, "c", promptQuery(start, 3000));
    CHECK(chosen(balancer, promptQuery(start, 1000)) == "c");
}

TEST_CASE("the work of a request is computed from the engine's parameters and the model's pace", "[dispatch]")
{
    routes::Engine engine;
    engine.slots = 20;
    engine.step = 8ms;
    engine.stepPerRequest = 100us;
    engine.stepsPerPass = 6;
    engine.meanAnswerTokens = 100;
    engine.promptTokensPerSecond = 50'000;
    engine.models = { { ModelName { "large" }, 6, 0.67, 1.0, 16s, 1600ms },
        { ModelName { "small" }, 3, 0.33, 0.5, 12s, 1100ms } };
    const auto large = dispatch::workOf(engine, ModelName { "large" }, 1460);
    CHECK(large.promptTokens == 1460);
    CHECK(large.prefillRate == Approx(50'000));
    CHECK(large.eventCost == 600us);
    CHECK(large.slotWait == 50ms);
    const auto small = dispatch::workOf(engine, ModelName { "small" }, 674);
    CHECK(small.prefillRate == Approx(100'000));
    CHECK(small.slotWait == 25ms);
}

TEST_CASE("retries of refused requests are spaced out within the time that clients wait", "[dispatch]")
{
    auto balancer = threeGroups(2, 0);
    for (const auto* server : { "a", "b", "c" }) {
        for (int i = 0; i < 40; ++i)
            balancer.sent(ServerId { server }, start);
    }
    const auto retryAfter = [&](Instant now) {
        const auto refusal = std::get<Refusal>(balancer.choose(promptQuery(now, 1000)));
        CHECK(refusal.reason == NoServer::Full);
        return refusal.retryAfter;
    };
    // Three groups start a request every 20 ms. A quarter of these, for two entry VMs: one retry per 160 ms.
    CHECK(retryAfter(start) == 500ms);
    CHECK(retryAfter(start) == 660ms);
    CHECK(retryAfter(start + 10ms) == 810ms);
    for (int i = 0; i < 50; ++i)
        CHECK(retryAfter(start + 20ms) <= 2s);
    // The delay is reset when no request was refused for a while.
    CHECK(retryAfter(start + 10s) == 500ms);
}

namespace {

/// Entry VMs that send to groups which prefill prompts one after the other. The VMs learn of each other's requests only
/// from sums of reports; reports and sums are sent at the intervals of a fleet of that size.
struct StaleFleet {
    static constexpr unsigned vms = 87;
    static constexpr Duration interval = 435ms;
    static constexpr double prefillRate = 50'000;
    static constexpr unsigned promptTokens = 1000;

    struct Running {
        unsigned vm { 0 };
        std::string group;
        Instant read;
        Instant end;
    };

    explicit StaleFleet(unsigned groups)
    {
        fleet::TargetDelta delta;
        for (unsigned i = 0; i < groups; ++i)
            delta.upserts.push_back(target("group-" + std::to_string(i), 48));
        for (unsigned i = 0; i < vms; ++i) {
            balancers.emplace_back(settings(), i + 1);
            balancers.back().setEntryVms(vms, i);
            balancers.back().apply(delta, start);
            reportAt.push_back(start + interval * i / vms);
        }
    }

    void exchangeLoads(Instant now)
    {
        for (unsigned i = 0; i < vms; ++i) {
            if (now < reportAt[i])
                continue;
            reportAt[i] += interval;
            reports[i] = balancers[i].localLoads(now);
        }
        if (now < pushAt)
            return;
        pushAt = now + interval;
        std::map<ServerId, fleet::ServerLoad> sums;
        for (const auto& [vm, loads] : reports) {
            for (const auto& it : loads) {
                auto& sum = sums[it.server];
                sum.server = it.server;
                sum.requests += it.requests;
                sum.promptTokens += it.promptTokens;
            }
        }
        std::vector<fleet::ServerLoad> totals;
        totals.reserve(sums.size());
        for (const auto& [server, sum] : sums)
            totals.push_back(sum);
        for (auto& it : balancers)
            it.applyFleetLoads(totals, now);
    }

    /// Sends a request of a random VM and records the time until its prompt is prefilled.
    void send(Instant now)
    {
        const auto vm = std::uniform_int_distribution<unsigned>(0, vms - 1)(random);
        auto it = query(now);
        it.work = { promptTokens, prefillRate, 500us, 20ms };
        const auto group = chosen(balancers[vm], it);
        if (group.empty()) {
            ++refused;
            return;
        }
        balancers[vm].sent(ServerId { group }, now, it.work);
        auto& free = freeAt[group];
        free = std::max(free, now) + std::chrono::duration_cast<Duration>(1s * (promptTokens / prefillRate));
        running.push_back({ vm, group, free, free + 1s });
        waits.push_back(free - now);
    }

    void run(Duration time, double requestsPerSecond)
    {
        constexpr Duration step = 1ms;
        std::poisson_distribution<unsigned> arrivals(requestsPerSecond / (1s / step));
        for (auto now = start; now < start + time; now += step) {
            exchangeLoads(now);
            for (auto& it : running) {
                if (now >= it.end)
                    balancers[it.vm].ended(ServerId { it.group });
            }
            std::erase_if(running, [&](const auto& it) { return now >= it.end; });
            for (auto n = arrivals(random); n > 0; --n)
                send(now);
        }
    }

    std::vector<Balancer> balancers;
    std::vector<Instant> reportAt;
    Instant pushAt { start };
    std::map<unsigned, std::vector<fleet::ServerLoad>> reports;
    std::vector<Running> running;
    std::map<std::string, Instant> freeAt;
    std::vector<Duration> waits;
    unsigned refused { 0 };
    std::minstd_rand random { 1 };
};

} // namespace

TEST_CASE("entry VMs with outdated loads do not all choose the same group", "[dispatch]")
{
    for (const unsigned groups : { 6U, 12U }) {
        StaleFleet fleet(groups);
        // Half of the groups' prefill capacity.
        fleet.run(20s, 0.5 * groups * StaleFleet::prefillRate / StaleFleet::promptTokens);
        // Answers are on time if the first event is sent within 300 ms, of which the first pass takes a third. At half
        // of the groups' capacity, random arrivals alone make fewer than one in twenty late.
        constexpr Duration prefillGoal = 200ms;
        const auto late
            = std::count_if(fleet.waits.begin(), fleet.waits.end(), [&](auto it) { return it > prefillGoal; });
        CAPTURE(groups, late, fleet.waits.size());
        CHECK(fleet.refused == 0);
        CHECK(static_cast<double>(late) <= 0.05 * static_cast<double>(fleet.waits.size()));
    }
}

TEST_CASE("a recent load report of a server is not replaced by older sums", "[dispatch]")
{
    Balancer balancer(settings(), 1);
    fleet::TargetDelta delta;
    delta.upserts = { target("a"), target("b") };
    balancer.apply(delta, start);
    const std::vector<fleet::ServerLoad> none;
    balancer.applyFleetLoads(none, start);
    balancer.loadReported(ServerId { "a" }, 26, start + 390ms);
    balancer.applyFleetLoads(none, start + 400ms);
    for (int i = 0; i < 20; ++i)
        CHECK(chosen(balancer, query(start + 400ms)) == "b");
    balancer.loadReported(ServerId { "a" }, 0, start + 500ms);
    balancer.loadReported(ServerId { "b" }, 13, start + 500ms);
    CHECK(chosen(balancer, query(start + 500ms)) == "a");
}
