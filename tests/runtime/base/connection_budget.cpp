#include <rosemarymill/runtime/base/connection_budget.hpp>

#include <rosemarymill/runtime/base/log.hpp>
#include <rosemarymill/runtime/http/server.hpp>

#include "support/http.hpp"
#include "support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <sstream>
#include <vector>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

using namespace rosemarymill;
using runtime::ConnectionBudget;
using runtime::http::Exchange;
using runtime::http::Server;
using test::RawConnection;

namespace {

const std::string request = "GET /page HTTP/1.1\r\nHost: x\r\n\r\n";

struct Fixture {
    explicit Fixture(limits::ConnectionLimits limits)
        : base(event_base_new())
        , budget(base.get(), limits)
        , server(base.get(), runtime::parseAddress("127.0.0.1:0").value(), budget)
    {
        runtime::setUpLog(log, node::LogLevel::Info, runtime::LogFormat::Json);
        server.route("GET", "/page", [](Exchange& it) { it.reply(200, "text/plain", "a page"); });
        server.route("POST", "/page", [](Exchange& it) { it.reply(200, "text/plain", "a page"); });
    }

    ~Fixture() { runtime::setUpLog(node::LogLevel::Error); }

    RawConnection& connect(const std::string& bytes)
    {
        auto& it = clients.emplace_back(base.get(), server.address());
        it.send(bytes);
        return it;
    }

    test::EventBase base;
    std::ostringstream log;
    ConnectionBudget budget;
    Server server;
    std::list<RawConnection> clients;
};

/// Takes all descriptors that the kernel leaves to this process, until it is destroyed.
class NoDescriptors {
public:
    NoDescriptors()
    {
        getrlimit(RLIMIT_NOFILE, &m_before);
        const int next = dup(STDERR_FILENO);
        close(next);
        const rlimit none { static_cast<rlim_t>(next), m_before.rlim_max };
        setrlimit(RLIMIT_NOFILE, &none);
    }
    ~NoDescriptors() { setrlimit(RLIMIT_NOFILE, &m_before); }
    NoDescriptors(const NoDescriptors&) = delete;
    NoDescriptors& operator=(const NoDescriptors&) = delete;

private:
    rlimit m_before {};
};

} // namespace

TEST_CASE("An ordinary request is answered while clients without a request hold all connections", "[limits]")
{
    Fixture fixture({ 1'000'000, 8 });
    for (int i = 0; i < 20; ++i)
        fixture.connect("GET /pa");
    test::runFor(fixture.base.get(), std::chrono::milliseconds { 50 });
    CHECK(fixture.server.connections() <= 8);
    auto& ordinary = fixture.connect(request);
    CHECK(test::runUntil(fixture.base.get(), [&] { return ordinary.has("a page"); }));
    CHECK(fixture.server.connections() <= 8);
    std::ostringstream metrics;
    fixture.budget.writeMetrics(metrics);
    CHECK(metrics.str().find("rosemarymill_connections_closed_for_room_total 13\n") != std::string::npos);
    CHECK(fixture.log.str().find("connections at their limit") != std::string::npos);
}

TEST_CASE("Unfinished requests are rejected when they hold too much memory together", "[limits]")
{
    Fixture fixture({ 1'000'000, 100 });
    const std::string upload
        = "POST /page HTTP/1.1\r\nHost: x\r\nContent-Length: 300001\r\n\r\n" + std::string(300'000, 'a');
    for (int i = 0; i < 10; ++i)
        fixture.connect(upload);
    const auto closed = [&] {
        return std::count_if(fixture.clients.begin(), fixture.clients.end(), [](const auto& it) { return it.closed; });
    };
    CHECK(test::runUntil(fixture.base.get(), [&] { return closed() >= 8; }));
    auto& ordinary = fixture.connect(request);
    CHECK(test::runUntil(fixture.base.get(), [&] { return ordinary.has("a page"); }));
}

TEST_CASE("A listener pauses while the kernel refuses descriptors", "[limits]")
{
    Fixture fixture({ 1'000'000, 100 });
    auto& waiting = fixture.clients.emplace_back(fixture.base.get(), fixture.server.address());
    std::size_t iterations = 0;
    {
        const NoDescriptors none;
        const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds { 300 };
        while (std::chrono::steady_clock::now() < end) {
            event_base_loop(fixture.base.get(), EVLOOP_NONBLOCK);
            usleep(1000);
            ++iterations;
        }
    }
    waiting.send(request);
    CHECK(test::runUntil(fixture.base.get(), [&] { return waiting.has("a page"); }));
    // One failure, and one for each pause; without pauses there would be one in each iteration.
    std::size_t failures = 0;
    const auto log = fixture.log.str();
    for (auto at = log.find("Failed to accept"); at != std::string::npos; at = log.find("Failed to accept", at + 1))
        ++failures;
    CAPTURE(iterations);
    CHECK(failures >= 1);
    CHECK(failures <= 5);
}
