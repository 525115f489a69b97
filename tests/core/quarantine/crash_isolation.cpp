#include <rosemarymill/core/quarantine/crash_isolation.hpp>

#include <catch2/catch.hpp>

#include <string>

using namespace rosemarymill;
using namespace rosemarymill::quarantine;

namespace {

constexpr Instant start { 100s };
constexpr Duration interval = 1s;
const FabricDomainId domain { "domain" };
const BootId boot { "boot" };

ServerId server(std::size_t n) { return ServerId { "server-" + std::to_string(n) }; }

/// A domain of `n` servers that have announced themselves. Server 0 crashes.
struct Domain {
    explicit Domain(std::size_t n)
        : isolation(interval)
    {
        announce(0, n, start - 200ms);
        isolation.crashed({ server(0), boot }, start);
    }

    /// Servers from `first` to before `end` announce themselves.
    void announce(std::size_t first, std::size_t end, Instant now, const BootId& bootId = boot)
    {
        for (auto i = first; i < end; ++i)
            isolation.announced(server(i), bootId, domain, now);
    }

    [[nodiscard]] bool isolated() { return !isolation.takeIsolated(start + 2 * interval).empty(); }

    CrashIsolation isolation;
};

} // namespace

TEST_CASE("A crash is isolated once the neighbours announce themselves", "[quarantine]")
{
    Domain it(11);
    CHECK_FALSE(it.isolated());
    it.announce(1, 9, start + 800ms);
    CHECK_FALSE(it.isolated());
    // One of ten may be missing.
    it.announce(9, 10, start + 900ms);
    CHECK(it.isolation.takeIsolated(start + 950ms).empty());
    CHECK(it.isolated());
    CHECK_FALSE(it.isolated());
}

TEST_CASE("Announcements from before the crash, of new processes or other domains show nothing", "[quarantine]")
{
    Domain it(11);
    it.announce(1, 11, start);
    CHECK_FALSE(it.isolated());
    it.announce(1, 11, start + 800ms, BootId { "new" });
    CHECK_FALSE(it.isolated());
    for (std::size_t i = 20; i < 40; ++i)
        it.isolation.announced(server(i), boot, FabricDomainId { "other" }, start + 900ms);
    CHECK_FALSE(it.isolated());
}

TEST_CASE("Neighbours that were lost before the crash or crash as well are not waited for", "[quarantine]")
{
    Domain it(11);
    for (std::size_t i = 1; i < 6; ++i)
        it.isolation.crashed({ server(i), boot }, start + 10ms);
    it.announce(6, 11, start + 800ms);
    CHECK(it.isolation.takeIsolated(start + 2 * interval).size() == 6);

    CrashIsolation other(interval);
    other.announced(server(1), boot, domain, start - 5 * interval);
    for (const std::size_t i : { 0, 2, 3 })
        other.announced(server(i), boot, domain, start - 200ms);
    other.crashed({ server(0), boot }, start);
    for (const std::size_t i : { 2, 3 })
        other.announced(server(i), boot, domain, start + 800ms);
    CHECK(other.takeIsolated(start + 2 * interval).size() == 1);
}

TEST_CASE("A crash of a server without neighbours or announcements is not known to be isolated", "[quarantine]")
{
    Domain single(2);
    single.announce(1, 2, start + 800ms);
    CHECK_FALSE(single.isolated());
    CrashIsolation isolation(interval);
    isolation.crashed({ server(0), boot }, start);
    CHECK(isolation.size() == 0);
}

TEST_CASE("Observed crashes stay bounded and are forgotten", "[quarantine]")
{
    CrashIsolation isolation(interval);
    isolation.announced(server(0), boot, domain, start);
    for (std::size_t i = 0; i < 2 * maxPartCrashes; ++i)
        isolation.crashed({ server(0), BootId { std::to_string(i) } }, start);
    CHECK(isolation.size() == maxPartCrashes);
    isolation.expire(start + observedIntervals * interval);
    CHECK(isolation.size() == 0);
}
