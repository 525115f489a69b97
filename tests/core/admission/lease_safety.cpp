#include <rosemarymill/core/admission/home.hpp>
#include <rosemarymill/core/admission/lease.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <functional>
#include <random>

using namespace rosemarymill;
using namespace rosemarymill::admission;

namespace {

constexpr std::uint32_t serverLimit = 8;
constexpr Duration step = 10ms;

/// Injected faults, to show that the check detects them.
struct Faults {
    bool newHomeSkipsWait { false };
    bool ignoresReductions { false };
    bool ignoresReportedLoad { false };
};

struct Message {
    Instant due;
    std::function<void()> deliver;
};

struct Entry {
    VmId vm;
    Lease lease;
    std::size_t home { 0 };
    std::vector<Instant> running;
    std::uint32_t waiting { 0 };
};

struct HomeVm {
    Home home;
    Instant pausedUntil;
};

/// Simulates one server, two possible homes and three entry VMs. Messages are delayed and lost; homes pause; the server
/// switches to the other home after two unanswered announcements.
class Simulation {
public:
    Simulation(std::uint64_t seed, Faults faults)
        : m_random(seed)
        , m_faults(faults)
    {
        for (std::size_t i = 0; i < m_entries.size(); ++i)
            m_entries[i].vm = VmId { "entry-" + std::to_string(i) };
    }

    /// Returns the largest number of requests that the server ran at once.
    std::uint32_t run(Duration length)
    {
        std::uint32_t most = 0;
        for (m_now = Instant { 100s }; m_now < Instant { 100s } + length; m_now += step) {
            injectFaults();
            announce();
            deliverMessages();
            for (auto& entry : m_entries)
                advanceEntry(entry);
            most = std::max(most, running());
            m_loads.push_back(running());
        }
        return most;
    }

    [[nodiscard]] std::uint64_t completed() const { return m_completed; }

private:
    bool chance(double p) { return std::bernoulli_distribution { p }(m_random); }
    Duration randomDuration(Duration a, Duration b)
    {
        return Duration { std::uniform_int_distribution<std::int64_t> { a.count(), b.count() }(m_random) };
    }

    [[nodiscard]] std::uint32_t running() const
    {
        std::size_t sum = 0;
        for (const auto& entry : m_entries)
            sum += entry.running.size();
        return static_cast<std::uint32_t>(sum);
    }

    void send(std::function<void()> deliver)
    {
        if (!chance(0.1))
            m_messages.push_back({ m_now + randomDuration(1ms, 60ms), std::move(deliver) });
    }

    void deliverMessages()
    {
        for (std::size_t i = 0; i < m_messages.size();) {
            if (m_messages[i].due > m_now) {
                ++i;
                continue;
            }
            auto deliver = std::move(m_messages[i].deliver);
            m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(i));
            deliver();
        }
    }

    void injectFaults()
    {
        for (auto& it : m_homes) {
            if (m_now >= it.pausedUntil && chance(0.0007))
                it.pausedUntil = m_now + randomDuration(1s, 8s);
        }
        if (m_now >= m_partitionedUntil && chance(0.0007))
            m_partitionedUntil = m_now + randomDuration(1s, 8s);
    }

    void announce()
    {
        if (m_now < m_nextAnnouncement)
            return;
        m_nextAnnouncement = m_now + 1s;
        backend::Announcement it;
        it.id = ServerId { "server" };
        it.bootId = BootId { "boot" };
        it.maxRequests = serverLimit;
        it.coldRequests = serverLimit;
        const auto lag = static_cast<std::size_t>(randomDuration(0s, 1s) / step);
        if (!m_faults.ignoresReportedLoad && !m_loads.empty())
            it.load.running = m_loads[m_loads.size() - 1 - std::min(lag, m_loads.size() - 1)];
        auto& home = m_homes[m_serverHome];
        const bool answered = m_now >= home.pausedUntil && m_now >= m_partitionedUntil;
        // A paused process handles the announcement when it resumes.
        if (m_now >= m_partitionedUntil) {
            m_messages.push_back({ std::max(m_now, home.pausedUntil),
                [this, it, &home] { handleAnnouncement(home.home, it, m_now, m_faults.newHomeSkipsWait); } });
        }
        m_unanswered = answered ? 0 : m_unanswered + 1;
        if (m_unanswered < 2)
            return;
        m_unanswered = 0;
        m_serverHome = 1 - m_serverHome;
        m_partitionedUntil = m_now;
        m_nextAnnouncement = m_now;
        for (auto& entry : m_entries) {
            send([this, &entry, home = m_serverHome] { switchHome(entry, home); });
        }
    }

    void switchHome(Entry& entry, std::size_t home)
    {
        entry.home = home;
        setHome(entry.lease, VmId { "home-" + std::to_string(home) }, BootId { "boot" }, m_now);
    }

    void advanceEntry(Entry& entry)
    {
        if (entry.lease.home.empty())
            switchHome(entry, 0);
        const AccountId account { "account" };
        std::erase_if(entry.running, [&](Instant end) {
            if (end > m_now)
                return false;
            releaseSlot(entry.lease, account, 0);
            ++entry.lease.completed;
            ++m_completed;
            return true;
        });
        if (chance(0.1))
            entry.waiting = std::uniform_int_distribution<std::uint32_t> { 0, 10 }(m_random);
        while (entry.waiting > 0 && canStart(entry.lease, 0, false, m_now)) {
            acquireSlot(entry.lease, account, 0);
            entry.running.push_back(m_now + randomDuration(100ms, 4s));
            --entry.waiting;
        }
        entry.lease.waiting.clear();
        if (entry.waiting > 0)
            entry.lease.waiting["pool"] = { { account, 0, entry.waiting, 0 } };
        else if (chance(0.3) && releaseUnused(entry.lease, m_now))
            entry.lease.reportDue = true;
        if (reportDue(entry.lease, m_now) && m_now - entry.lease.lastReport >= messageInterval)
            sendReport(entry);
    }

    void sendReport(Entry& entry)
    {
        const bool unused = entry.lease.waiting.empty() && entry.lease.slots <= entry.lease.inUse;
        auto it = report(entry.lease, ServerId { "server" }, m_now);
        const auto target = entry.home;
        send([this, it, unused, target, &entry] {
            auto& vm = m_homes[target];
            m_messages.push_back({ std::max(m_now, vm.pausedUntil),
                [this, it, unused, target, &entry] { receiveReport(entry, target, it, unused); } });
        });
    }

    void receiveReport(Entry& entry, std::size_t target, const LeaseReport& it, bool unused)
    {
        auto& home = m_homes[target].home;
        const auto weight = [](const AccountId&) { return 1.0; };
        const bool isHome = unused ? handleReturn(home, entry.vm, it, m_now, weight)
                                   : handleReport(home, entry.vm, it, m_now, weight);
        if (!isHome)
            return;
        for (auto& other : m_entries) {
            auto& slots = home.servers.at(it.server);
            const auto lease = slots.leases.find(other.vm);
            if (lease == slots.leases.end() || !lease->second.changed || !hasAuthority(slots, m_now))
                continue;
            const auto grant = issueGrant(slots, it.server, other.vm, m_now);
            send([this, &other, grant, target] {
                const auto before = other.lease.slots;
                if (other.home == target)
                    apply(other.lease, grant);
                if (m_faults.ignoresReductions)
                    other.lease.slots = std::max(other.lease.slots, before);
            });
        }
    }

    std::mt19937_64 m_random;
    Faults m_faults;
    Instant m_now;
    std::array<Entry, 3> m_entries;
    std::array<HomeVm, 2> m_homes;
    std::vector<Message> m_messages;
    std::vector<std::uint32_t> m_loads;
    std::size_t m_serverHome { 0 };
    int m_unanswered { 0 };
    Instant m_nextAnnouncement;
    Instant m_partitionedUntil;
    std::uint64_t m_completed { 0 };
};

std::uint32_t maxRunning(Faults faults, std::uint64_t& completed)
{
    std::uint32_t most = 0;
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        Simulation simulation { seed, faults };
        most = std::max(most, simulation.run(60s));
        completed += simulation.completed();
    }
    return most;
}

} // namespace

TEST_CASE("A server's limit holds over all entry VMs while homes pause, become unreachable and change", "[admission]")
{
    std::uint64_t completed = 0;
    CHECK(maxRunning({}, completed) <= serverLimit);
    // Without progress the limit would hold trivially. A full server completes 14,400 calls of 2 s in this time; at
    // least a third must complete in spite of the faults.
    CHECK(completed > 4800);
}

TEST_CASE("The check detects a new home that grants before its predecessor's leases have expired", "[admission]")
{
    std::uint64_t completed = 0;
    Faults faults;
    faults.newHomeSkipsWait = true;
    CHECK(maxRunning(faults, completed) > serverLimit);
}

TEST_CASE("The check detects an entry VM that confirms reductions and does not apply them", "[admission]")
{
    std::uint64_t completed = 0;
    Faults faults;
    faults.ignoresReductions = true;
    CHECK(maxRunning(faults, completed) > serverLimit);
}

TEST_CASE("The check detects a home that ignores the requests in the server's reports", "[admission]")
{
    std::uint64_t completed = 0;
    Faults faults;
    faults.ignoresReportedLoad = true;
    CHECK(maxRunning(faults, completed) > serverLimit);
}
