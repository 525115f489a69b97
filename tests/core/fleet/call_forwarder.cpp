#include <rosemarymill/core/fleet/call_forwarder.hpp>
#include <rosemarymill/core/fleet/forwarded_call_table.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <vector>

using namespace rosemarymill;
using fleet::CallForwarder;
namespace event = fleet::event;
namespace effect = fleet::effect;

namespace {

constexpr Instant start { 100s };
const fleet::ControlCall call { "PUT", "/a", "{}" };

CallForwarder::Effects reduce(CallForwarder& forwarder, const fleet::ForwarderEvent& it)
{
    CallForwarder::Effects effects;
    forwarder.reduce(it, effects);
    return effects;
}

template <typename Effect> const Effect* only(const CallForwarder::Effects& effects)
{
    return effects.size() == 1 ? std::get_if<Effect>(&effects[0]) : nullptr;
}

} // namespace

TEST_CASE("a call is offered to the leader, sent for its ticket and answered", "[fleet]")
{
    CallForwarder forwarder;
    reduce(forwarder, event::LeaderReached { start });
    const auto offered = reduce(forwarder, event::CallReceived { start, 1, call });
    REQUIRE(only<effect::OfferCall>(offered));
    CHECK(only<effect::OfferCall>(offered)->offer == fleet::CallOffer { 1, 2 });
    const auto sent = reduce(forwarder, event::TicketArrived { start + 3ms, { 1 } });
    REQUIRE(only<effect::SendCall>(sent));
    CHECK(only<effect::SendCall>(sent)->call.call == call);
    const auto answered = reduce(forwarder, event::AnswerArrived { start + 9ms, { 1, { 200, "{}" } } });
    REQUIRE(only<effect::AnswerCaller>(answered));
    CHECK(only<effect::AnswerCaller>(answered)->answer.status == 200);
    CHECK(forwarder.waiting() == 0);
}

TEST_CASE("a call is held through an election and offered to the new leader", "[fleet]")
{
    CallForwarder forwarder;
    reduce(forwarder, event::LeaderReached { start });
    reduce(forwarder, event::CallReceived { start, 1, call });
    reduce(forwarder, event::LeaderLost { start + 100ms });
    CHECK(reduce(forwarder, event::CallReceived { start + 200ms, 2, call }).empty());
    CHECK(reduce(forwarder, event::LeaderReached { start + 400ms }).size() == 2);
}

TEST_CASE("a call whose caller has disconnected is not sent", "[fleet]")
{
    CallForwarder forwarder;
    reduce(forwarder, event::LeaderReached { start });
    reduce(forwarder, event::CallReceived { start, 1, call });
    reduce(forwarder, event::CallerDisconnected { start + 1ms, 1 });
    CHECK(reduce(forwarder, event::TicketArrived { start + 2ms, { 1 } }).empty());
}

TEST_CASE("a call is executed before its caller times out or not at all", "[fleet]")
{
    for (const std::uint64_t bytes : { 0, 100'000, 900'000 }) {
        const auto times = fleet::callTimes(bytes);
        const auto timeout = fleet::callerTimeout + fleet::callerTimeoutPerMegabyte * bytes / 1'000'000;
        CHECK(fleet::pauseThreshold + times.offerWindow + times.ticketLifetime <= times.answerTimeout);
        CHECK(times.answerTimeout + fleet::answerMargin <= timeout);
    }
    CallForwarder forwarder;
    reduce(forwarder, event::LeaderReached { start });
    reduce(forwarder, event::CallReceived { start, 1, call });
    const auto late = start + fleet::callTimes(call.body.size()).offerWindow + 1ms;
    CHECK(reduce(forwarder, event::TicketArrived { late, { 1 } }).empty());
    CHECK(reduce(forwarder, event::ForwarderTick { late }).empty());
    const auto failed = reduce(forwarder, event::ForwarderTick { start + 901ms });
    REQUIRE(only<effect::FailCall>(failed));
    CHECK(only<effect::FailCall>(failed)->failure == fleet::ForwardFailure::NotAccepted);
}

TEST_CASE("a call is refused at once when no leader has been connected for longer than an election takes", "[fleet]")
{
    CallForwarder forwarder;
    reduce(forwarder, event::LeaderReached { start });
    reduce(forwarder, event::LeaderLost { start });
    const auto refused = reduce(forwarder, event::CallReceived { start + fleet::noLeaderTimeout, 1, call });
    REQUIRE(only<effect::FailCall>(refused));
    CHECK(only<effect::FailCall>(refused)->failure == fleet::ForwardFailure::NoLeader);
}

TEST_CASE("a call that waited while its VM was paused is not forwarded", "[fleet]")
{
    CallForwarder forwarder;
    reduce(forwarder, event::LeaderReached { start });
    reduce(forwarder, event::ForwarderTick { start });
    SECTION("read before the timer") { CHECK(reduce(forwarder, event::CallReceived { start + 2s, 1, call }).empty()); }
    SECTION("read after the timer")
    {
        reduce(forwarder, event::ForwarderTick { start + 2s });
        CHECK(reduce(forwarder, event::CallReceived { start + 2s + 50ms, 1, call }).empty());
    }
    CHECK(only<effect::FailCall>(reduce(forwarder, event::ForwarderTick { start + 2s + 60ms })));
    reduce(forwarder, event::ForwarderTick { start + 2s + 110ms });
    CHECK(reduce(forwarder, event::CallReceived { start + 2s + 210ms, 2, call }).size() == 1);
}

TEST_CASE("the number of pending calls is limited", "[fleet]")
{
    CallForwarder forwarder;
    for (fleet::CallId id = 0; id < CallForwarder::maxCalls; ++id)
        REQUIRE(reduce(forwarder, event::CallReceived { start, id, call }).empty());
    const auto refused = reduce(forwarder, event::CallReceived { start, CallForwarder::maxCalls, call });
    REQUIRE(only<effect::FailCall>(refused));
    CHECK(only<effect::FailCall>(refused)->failure == fleet::ForwardFailure::Full);
}

namespace {

/// An operator who sends numbered orders through four VMs. Messages between the VMs and the leader are delayed at
/// random by up to 3 s, and the VMs' processes are paused at times. The operator sends an order only once the previous
/// one is acknowledged.
class OrderSimulation {
public:
    explicit OrderSimulation(unsigned seed)
        : m_random(seed)
    {
        for (auto& it : m_vms)
            post(it, event::LeaderReached { m_now });
    }

    /// Runs a series of orders. Returns whether each order stays in force from its acknowledgement until the next order
    /// is executed.
    bool run()
    {
        for (unsigned order = 1; order <= orders; ++order) {
            if (!acknowledge(order))
                return false;
        }
        // Messages that are still in flight must not have an effect either.
        for (int i = 0; i < 1000; ++i)
            step();
        return m_inForce == orders;
    }

private:
    static constexpr unsigned orders = 12;
    static constexpr Duration tick = 10ms;

    struct Vm {
        CallForwarder forwarder;
        Instant pausedUntil;
        /// Calls, disconnections and messages of the leader that wait in its sockets.
        std::deque<fleet::ForwarderEvent> sockets;
    };

    struct Delivery {
        Instant at;
        std::size_t vm { 0 };
        std::optional<fleet::ForwardedCall> call;
        std::optional<fleet::CallOffer> offer;
        std::optional<fleet::ForwarderEvent> toVm;
    };

    bool chance(double p) { return std::bernoulli_distribution(p)(m_random); }

    Duration delay()
    {
        const auto longest = chance(0.2) ? 3000 : 20;
        return Duration { std::chrono::milliseconds { std::uniform_int_distribution<int>(1, longest)(m_random) } };
    }

    void post(Vm& vm, const fleet::ForwarderEvent& it)
    {
        CallForwarder::Effects effects;
        vm.forwarder.reduce(it, effects);
        const auto index = static_cast<std::size_t>(&vm - m_vms.data());
        for (auto& effect : effects) {
            if (const auto* offer = std::get_if<effect::OfferCall>(&effect))
                m_wire.push_back({ m_now + delay(), index, {}, offer->offer, {} });
            else if (const auto* sent = std::get_if<effect::SendCall>(&effect))
                m_wire.push_back({ m_now + delay(), index, sent->call, {}, {} });
            else if (const auto* answered = std::get_if<effect::AnswerCaller>(&effect))
                m_acknowledged.push_back(answered->id);
        }
    }

    void deliver(const Delivery& it)
    {
        const auto name = std::to_string(it.vm);
        if (it.toVm) {
            m_vms[it.vm].sockets.push_back(*it.toVm);
        } else if (it.offer) {
            const fleet::ForwardedCallKey key { name, it.offer->id };
            if (m_forwardedCalls.offered(key, *it.offer, m_now) == fleet::ForwardedCallTable::Decision::Ticket)
                m_wire.push_back({ m_now + delay(), it.vm, {}, {}, event::TicketArrived { m_now, { it.offer->id } } });
        } else if (m_forwardedCalls.arrived({ name, it.call->id }, m_now)) {
            m_inForce = static_cast<unsigned>(std::stoul(it.call->call.body));
            const fleet::ControlAnswer answer { 200, {} };
            m_forwardedCalls.finished({ name, it.call->id }, answer, m_now);
            m_wire.push_back(
                { m_now + delay(), it.vm, {}, {}, event::AnswerArrived { m_now, { it.call->id, answer } } });
        }
    }

    void step()
    {
        m_now += tick;
        for (std::size_t i = 0; i < m_wire.size();) {
            if (m_now < m_wire[i].at) {
                ++i;
                continue;
            }
            const auto delivery = m_wire[i];
            m_wire.erase(m_wire.begin() + static_cast<std::ptrdiff_t>(i));
            deliver(delivery);
        }
        for (auto& vm : m_vms) {
            if (m_now < vm.pausedUntil)
                continue;
            if (chance(0.002))
                vm.pausedUntil = m_now + 2500ms;
            while (!vm.sockets.empty()) {
                auto it = std::move(vm.sockets.front());
                vm.sockets.pop_front();
                std::visit([&](auto& event) { event.now = m_now; }, it);
                post(vm, it);
            }
            post(vm, event::ForwarderTick { m_now });
        }
    }

    /// Sends an order to randomly chosen VMs, one at a time, until one acknowledges it.
    bool acknowledge(unsigned order)
    {
        for (unsigned attempt = 0; attempt < 100; ++attempt) {
            auto& vm = m_vms[std::uniform_int_distribution<std::size_t>(0, m_vms.size() - 1)(m_random)];
            const auto id = ++m_lastId;
            vm.sockets.push_back(event::CallReceived { m_now, id, { "POST", "/", std::to_string(order) } });
            for (const auto until = m_now + fleet::callerTimeout; m_now < until;) {
                step();
                if (m_inForce != order && m_inForce != order - 1)
                    return false;
                if (std::find(m_acknowledged.begin(), m_acknowledged.end(), id) != m_acknowledged.end())
                    return m_inForce == order;
            }
            vm.sockets.push_back(event::CallerDisconnected { m_now, id });
        }
        return false;
    }

    std::minstd_rand m_random;
    Instant m_now { start };
    std::vector<Vm> m_vms { 4 };
    std::vector<Delivery> m_wire;
    fleet::ForwardedCallTable m_forwardedCalls;
    std::vector<fleet::CallId> m_acknowledged;
    fleet::CallId m_lastId { 0 };
    unsigned m_inForce { 0 };
};

} // namespace

TEST_CASE("an order whose caller timed out does not undo a later one", "[fleet]")
{
    const auto seed = GENERATE(range(1U, 200U));
    INFO("seed " << seed);
    CHECK(OrderSimulation(seed).run());
}
