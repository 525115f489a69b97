#include <rosemarymill/core/ledger/client.hpp>
#include <rosemarymill/core/ledger/home.hpp>

#include <catch2/catch.hpp>

#include "../support/virtual_network.hpp"

#include <array>
#include <deque>
#include <map>
#include <optional>

using namespace rosemarymill;
using namespace rosemarymill::ledger;

namespace {

/// Deliberate defects of the ledger, which the checkers must detect.
enum class Defect { None, GrantsTwice, ReusesBootId, RunsAfterDenial };

const DataCentreId home { "mixco" };
const Fingerprint requestFingerprint { 1, 2 };
constexpr std::size_t dispatchers = 4;
constexpr std::size_t keys = 6;

/// Dispatchers and one ledger home whose log commits with delay. Callers resend the same keys to any dispatcher.
class LedgerCluster {
public:
    LedgerCluster(std::uint32_t seed, Defect defect)
        : m_network(seed)
        , m_defect(defect)
    {
        m_network.lossPercent = 25;
        m_network.maxDelay = 1500ms;
        m_home.home = home;
        reduceHome(LeadershipChanged { m_now, true, m_homeVm });
        for (std::size_t i = 0; i < dispatchers; ++i)
            restart(i);
    }

    /// Runs a seeded schedule of calls, crashes, leader changes and lost or repeated messages.
    void run(int steps)
    {
        for (int step = 0; step < steps; ++step) {
            m_now += 20ms;
            randomEvent();
            commitSome();
            m_network.deliverUntil(m_now, [&](auto&& it) { deliver(it.from, it.to, it.message); });
            finishSome();
            if (step % 5 == 0)
                tick();
        }
    }

    /// Stops new calls and runs until every reservation has ended. A resend may wait for 30 s, is then granted, runs
    /// for up to 3 s and ends its reservation over a lossy link, so 60 s are needed.
    void drain()
    {
        m_callsStopped = true;
        run(3000);
    }

    [[nodiscard]] std::size_t runsOver(std::size_t limit) const
    {
        std::size_t n = 0;
        for (const auto& [key, count] : m_runs)
            n += count > limit ? 1 : 0;
        return n;
    }

    [[nodiscard]] std::size_t runs() const { return m_runs.size(); }
    [[nodiscard]] std::size_t reserved() const { return m_machine.reserved().size(); }
    [[nodiscard]] std::size_t wrongReplies() const { return m_wrongReplies; }
    [[nodiscard]] std::size_t recorded() const { return m_recorded; }

private:
    struct Running {
        std::size_t dispatcher;
        std::uint64_t number;
        Key key;
        Instant endsAt;
    };

    std::uint32_t draw(std::uint32_t limit) { return static_cast<std::uint32_t>(m_network.random()() % limit); }

    static VmId vmOf(std::size_t i) { return VmId { "entry-" + std::to_string(i) }; }

    void restart(std::size_t i)
    {
        auto& client = m_clients[i];
        client = ClientState {};
        client.vm = vmOf(i);
        client.boot = BootId { m_defect == Defect::ReusesBootId ? "boot" : "boot-" + std::to_string(++m_boots) };
        client.homes[home].voters = { VmId { "follower" }, m_homeVm };
        m_numbers[i] = 0;
        std::erase_if(m_running, [&](const auto& it) { return it.dispatcher == i; });
    }

    void randomEvent()
    {
        if (m_callsStopped)
            return;
        if (draw(4) == 0)
            call(draw(dispatchers));
        if (draw(60) == 0)
            restart(draw(dispatchers));
        if (draw(150) == 0) {
            reduceHome(LeadershipChanged { m_now, false, {} });
            reduceHome(LeadershipChanged { m_now, true, m_homeVm });
            m_proposed.clear();
        }
    }

    void call(std::size_t i)
    {
        const auto number = ++m_numbers[i];
        const Key key { AccountId { "brand" }, std::to_string(draw(keys) + keys * (m_round++ / 400)) };
        m_keys[{ i, number }] = key;
        reduceClient(i, Begin { m_now, number, key, requestFingerprint, home });
        if (draw(8) == 0)
            reduceClient(i, NotDispatched { m_now, number });
    }

    void tick()
    {
        reduceHome(HomeTick { m_now });
        for (std::size_t i = 0; i < dispatchers; ++i)
            reduceClient(i, ClientTick { m_now });
    }

    void commitSome()
    {
        while (!m_proposed.empty() && draw(3) != 0) {
            const auto command = m_proposed.front();
            m_proposed.pop_front();
            auto outcome = m_machine.apply(++m_index, command);
            if (m_defect == Defect::GrantsTwice && outcome.decision == Decision::Running)
                outcome.decision = Decision::Run;
            reduceHome(CommandApplied { m_now, command, outcome });
        }
    }

    void finishSome()
    {
        for (const auto& it : m_running) {
            if (it.endsAt > m_now)
                continue;
            if (draw(5) == 0)
                reduceClient(it.dispatcher, AnswerLost { m_now, it.number });
            else
                reduceClient(it.dispatcher, Finished { m_now, it.number, { 200, "text/plain", it.key.text } });
        }
        std::erase_if(m_running, [&](const auto& it) { return it.endsAt <= m_now; });
    }

    void deliver(const VmId& from, const VmId& to, const Message& message)
    {
        if (to == VmId { "follower" }) {
            const auto* request = std::get_if<Request>(&message);
            if (request)
                send(to, from, NotLeader { home, tokenOf(request->command), m_homeVm });
            return;
        }
        if (to == m_homeVm) {
            if (const auto* request = std::get_if<Request>(&message))
                reduceHome(RequestReceived { m_now, from, *request });
            return;
        }
        for (std::size_t i = 0; i < dispatchers; ++i) {
            if (vmOf(i) == to)
                reduceClient(i, HomeMessage { m_now, from, message });
        }
    }

    void send(const VmId& from, const VmId& to, const Message& message)
    {
        m_network.send(m_now, from, to, message);
        if (draw(10) == 0)
            m_network.send(m_now, from, to, message);
    }

    void reduceHome(const HomeEvent& event)
    {
        HomeEffects effects;
        reduce(m_home, m_machine, event, effects);
        for (const auto& effect : effects) {
            if (const auto* it = std::get_if<Propose>(&effect))
                m_proposed.push_back(it->command);
            if (const auto* it = std::get_if<SendToDispatcher>(&effect))
                send(m_homeVm, it->to, it->message);
        }
    }

    void reduceClient(std::size_t i, const ClientEvent& event)
    {
        ClientEffects effects;
        reduce(m_clients[i], event, effects);
        for (const auto& effect : effects)
            std::visit([&](const auto& it) { executeEffect(i, it); }, effect);
    }

    void executeEffect(std::size_t i, const SendToHome& it) { send(vmOf(i), it.to, it.message); }
    void executeEffect(std::size_t i, const Granted& it) { execute(i, it.number); }

    void executeEffect(std::size_t, const Recorded& it)
    {
        ++m_recorded;
        m_wrongReplies += it.answer.body.empty() ? 1 : 0;
    }

    void executeEffect(std::size_t i, const Denied& it)
    {
        // A call that is refused as not run must not run later with the same token.
        if (it.denial == Denial::HomeUnreachable)
            m_denied[{ i, m_clients[i].boot, it.number }] = true;
        if (m_defect == Defect::RunsAfterDenial && it.denial == Denial::HomeUnreachable)
            execute(i, it.number);
    }

    void execute(std::size_t i, std::uint64_t number)
    {
        const auto key = m_keys.at({ i, number });
        ++m_runs[key];
        m_wrongReplies += m_denied.contains({ i, m_clients[i].boot, number }) ? 1 : 0;
        m_running.push_back({ i, number, key, m_now + Duration { 1000 * draw(3000) } });
    }

    const VmId m_homeVm { "voter-1" };
    test::VirtualNetwork<Message> m_network;
    Defect m_defect;
    Instant m_now { 100s };
    Machine m_machine;
    HomeState m_home;
    std::deque<Command> m_proposed;
    agreement::Index m_index { 0 };
    std::array<ClientState, dispatchers> m_clients;
    std::array<std::uint64_t, dispatchers> m_numbers {};
    std::uint64_t m_boots { 0 };
    std::size_t m_round { 0 };
    bool m_callsStopped { false };
    std::vector<Running> m_running;
    std::map<std::pair<std::size_t, std::uint64_t>, Key> m_keys;
    std::map<std::tuple<std::size_t, BootId, std::uint64_t>, bool> m_denied;
    std::map<Key, std::size_t> m_runs;
    std::size_t m_wrongReplies { 0 };
    std::size_t m_recorded { 0 };
};

std::size_t violations(Defect defect)
{
    std::size_t n = 0;
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        LedgerCluster cluster(seed, defect);
        cluster.run(2000);
        n += cluster.runsOver(1) + cluster.wrongReplies();
    }
    return n;
}

} // namespace

TEST_CASE("A call runs at most once per key despite crashes, lost messages, leader changes and resends", "[ledger]")
{
    std::size_t runs = 0;
    std::size_t recorded = 0;
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        LedgerCluster cluster(seed, Defect::None);
        cluster.run(2000);
        INFO("seed " << seed);
        CHECK(cluster.runsOver(1) == 0);
        CHECK(cluster.wrongReplies() == 0);
        cluster.drain();
        CHECK(cluster.runsOver(1) == 0);
        CHECK(cluster.reserved() == 0);
        runs += cluster.runs();
        recorded += cluster.recorded();
    }
    // The schedules must produce granted calls and recorded answers, or the checks above would prove nothing.
    CHECK(runs > 100);
    CHECK(recorded > 100);
}

TEST_CASE("The checker detects a ledger that grants a key twice", "[ledger]")
{
    CHECK(violations(Defect::GrantsTwice) > 0);
}

TEST_CASE("The checker detects a dispatcher that reuses its boot id", "[ledger]")
{
    CHECK(violations(Defect::ReusesBootId) > 0);
}

TEST_CASE("The checker detects a call that runs after it was refused as not run", "[ledger]")
{
    CHECK(violations(Defect::RunsAfterDenial) > 0);
}

TEST_CASE("The home of a key does not depend on the order of the list", "[ledger]")
{
    const std::vector<DataCentreId> homes { DataCentreId { "a" }, DataCentreId { "b" }, DataCentreId { "c" } };
    const std::vector<DataCentreId> reordered { homes[2], homes[0], homes[1] };
    std::map<DataCentreId, int> counts;
    for (int i = 0; i < 300; ++i) {
        const Key each { AccountId { "brand" }, std::to_string(i) };
        CHECK(homeOf(each, homes) == homeOf(each, reordered));
        ++counts[homeOf(each, homes)];
    }
    CHECK(counts.size() == 3);
}
