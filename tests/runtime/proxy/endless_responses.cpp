#include <rosemarymill/runtime/proxy/proxy.hpp>

#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/base/log.hpp>

#include "support/endless_response_server.hpp"
#include "support/http.hpp"
#include "support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <sstream>

using namespace rosemarymill;
using runtime::proxy::Proxy;
using test::EndlessResponse;
using test::EndlessResponseServer;
using test::RawConnection;
using test::RawListener;

namespace {

constexpr std::size_t mebibyte = 1024 * 1024;

/// An entry VM has 160 MB; one faulty server may not use more than a tenth of it.
constexpr std::size_t maxHeapGrowth = 16 * mebibyte;

/// Timeout of the routes.
constexpr Duration routeTimeout = 5s;

/// Times within which a lookup and a stream that has begun leave a server without progress: the proxy's timeouts of
/// 400 ms and 1200 ms with a margin for a busy machine.
constexpr Duration lookupCancelLimit = 400ms + 600ms;
constexpr Duration streamResumeLimit = 1200ms + 600ms;

const std::string plainHead = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\n";
const std::string chunkedHead = plainHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string streamHead = plainHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string streamFirst = streamHead + "f\r\nid: 1\ndata: t\n\n\r\n";
const std::string goodResponse = plainHead + "Content-Length: 4\r\n\r\ngood";

struct Case {
    const char* name;
    EndlessResponse flood;
};

/// Endless responses that never form a complete plain response.
std::vector<Case> endlessPlainResponses()
{
    return {
        { "status line", { "HTTP/1.1 200 ", "a" } },
        { "header line", { plainHead + "X-Long: ", "a" } },
        { "header lines", { plainHead, "X-More: a\r\n" } },
        { "interim answers", { "", "HTTP/1.1 100 Continue\r\n\r\n" } },
        { "body without length", { plainHead + "\r\n", "a" } },
        { "body of a huge length", { plainHead + "Content-Length: 1000000000000\r\n\r\n", "a" } },
        { "chunks", { chunkedHead, "4\r\naaaa\r\n" } },
        { "chunk of a huge length", { chunkedHead + "ffffffffff\r\n", "a" } },
        { "chunk size line", { chunkedHead, "0" } },
        { "chunk extension", { chunkedHead + "4;", "a" } },
        { "trailer lines", { chunkedHead + "0\r\n", "X-More: a\r\n" } },
    };
}

/// Endless responses that form no new event after the first event of a stream.
std::vector<Case> endlessStreams()
{
    return {
        { "event", { streamFirst, "4\r\naaaa\r\n" } },
        { "event of many lines", { streamFirst, "8\r\ndata: a\n\r\n" } },
        { "comments", { streamFirst, "4\r\n:a\n\n\r\n" } },
        { "blank lines", { streamFirst, "2\r\n\n\n\r\n" } },
        { "events that the client has", { streamFirst, "f\r\nid: 1\ndata: t\n\n\r\n" } },
        { "chunk size line", { streamFirst, "0" } },
    };
}

/// A proxy with a faulty server and, for another route, a healthy one.
struct Fixture {
    ~Fixture() { runtime::setUpLog(node::LogLevel::Error); }

    explicit Fixture(EndlessResponse flood)
        : base(event_base_new())
        , bad(base.get(), std::move(flood))
        , good(base.get())
    {
        runtime::setUpLog(log, node::LogLevel::Info, runtime::LogFormat::Json);
        good.onReceived = [](RawConnection& it) {
            if (!it.has("\r\n\r\n"))
                return;
            const bool stream = it.has("/stream/");
            it.received.clear();
            it.send(stream ? streamHead + "f\r\nid: 2\ndata: t\n\n\r\n0\r\n\r\n" : goodResponse);
        };
        runtime::proxy::ProxySettings settings;
        settings.address = runtime::parseAddress("127.0.0.1:0").value();
        settings.dataCentre = DataCentreId { "mixco" };
        settings.retryLimits = { 0.2, 100, 10s };
        settings.balancer.dataCentre = settings.dataCentre;
        settings.seed = 1;
        settings.names = { "X-Id", "X-Deadline", "Last-Event-Id", "X-Model", "X-Tokens", "X-Seal", "X-Not-Run",
            "X-Expect", "X-Account", "X-Rank", "X-Load", "At" };
        proxy = std::make_unique<Proxy>(base.get(), settings, budget);
        proxy->balancer().setEntryVms(1);
        routes::Document document;
        document.version = 1;
        document.routes = { route("/order/", routes::RequestKind::NonIdempotent, "desk"),
            route("/lookup/", routes::RequestKind::Idempotent, "desk"),
            route("/stream/", routes::RequestKind::Streaming, "desk"),
            route("/other/", routes::RequestKind::Idempotent, "other") };
        for (const auto* name : { "desk", "other" })
            document.services.push_back({ ServiceName { name }, {}, 0, {}, 0, {} });
        proxy->setTable(std::make_shared<routes::Table>(std::move(document)));
        addTarget("bad", bad.address(), "desk", 1000);
        addTarget("other", good.address(), "other", 1000);
    }

    static routes::Route route(const std::string& prefix, routes::RequestKind kind, const char* service)
    {
        routes::Route it;
        it.name = prefix;
        it.host = "x.example";
        it.pathPrefix = prefix;
        it.kind = kind;
        it.isPublic = true;
        it.resumable = true;
        it.timeout = routeTimeout;
        it.maxServers = kind == routes::RequestKind::NonIdempotent ? 1 : 2;
        it.shares = { { ServiceName { service }, 1 } };
        return it;
    }

    void addTarget(const char* id, const std::string& address, const char* service, unsigned slots)
    {
        fleet::TargetDelta delta;
        delta.upserts
            = { { ServerId { id }, address, ServiceName { service }, DataCentreId { "mixco" }, {}, slots, {} } };
        proxy->applyTargets(delta);
    }

    /// Adds a second, healthy server to the service of the faulty one.
    void addHealthyServer() { addTarget("healthy", good.address(), "desk", 6); }

    RawConnection& client(const std::string& path)
    {
        auto& it = clients.emplace_back(base.get(), proxy->address());
        it.send("GET " + path + " HTTP/1.1\r\nHost: x.example\r\nX-Id: r1\r\n\r\n");
        return it;
    }

    /// Runs the loop until the condition holds or the time limit has passed and records the growth of the heap. Keeps
    /// one request to the other service in flight meanwhile.
    bool run(Duration limit, const std::function<bool()>& done)
    {
        const auto before = test::heapBytes();
        const auto begin = runtime::readClock();
        RawConnection* other = nullptr;
        const bool result = test::runUntil(base.get(), [&] {
            if (other && other->has("good"))
                ++othersAnswered;
            if (!other || other->has("good"))
                other = &client("/other/1");
            heapGrowth = std::max(heapGrowth, test::heapBytes() - std::min(before, test::heapBytes()));
            return done() || runtime::readClock() - begin > limit;
        });
        took = runtime::readClock() - begin;
        return result && done();
    }

    /// Whether a report to the control VM would list the faulty server as making progress.
    bool reportsProgress() { return proxy->takeServersWithProgress().contains(ServerId { "bad" }); }

    test::EventBase base;
    runtime::ConnectionBudget budget { base.get() };
    std::ostringstream log;
    EndlessResponseServer bad;
    RawListener good;
    std::unique_ptr<Proxy> proxy;
    std::list<RawConnection> clients;
    std::size_t heapGrowth { 0 };
    std::size_t othersAnswered { 0 };
    Duration took {};
};

} // namespace

TEST_CASE("an endless plain response is cancelled before it fills the memory", "[proxy]")
{
    for (auto& [name, flood] : endlessPlainResponses()) {
        Fixture fixture(flood);
        auto& client = fixture.client("/order/1");
        const bool closed = fixture.run(routeTimeout - 500ms, [&] { return fixture.bad.closed() == 1; });
        CAPTURE(name, fixture.heapGrowth, fixture.bad.sent(), fixture.took.count(), fixture.othersAnswered);
        CHECK(closed);
        CHECK(fixture.heapGrowth < maxHeapGrowth);
        CHECK(fixture.othersAnswered > 0);
        CHECK(fixture.bad.requests() == 1);
        CHECK(test::runUntil(fixture.base.get(), [&] { return client.has("HTTP/1.1 502 "); }));
        CHECK(fixture.log.str().find(R"("end":"broken")") != std::string::npos);
        // The server is suspended and gets no requests for a while.
        auto& next = fixture.client("/order/2");
        CHECK(test::runUntil(fixture.base.get(), [&] { return next.has("HTTP/1.1 503 "); }));
    }
}

TEST_CASE("an endless stream without a further event is cancelled before it fills the memory", "[proxy]")
{
    for (auto& [name, flood] : endlessStreams()) {
        Fixture fixture(flood);
        auto& client = fixture.client("/stream/1");
        REQUIRE(test::runUntil(fixture.base.get(), [&] { return client.has("id: 1"); }));
        fixture.addHealthyServer();
        const bool continued = fixture.run(streamResumeLimit, [&] { return client.has("id: 2"); });
        CAPTURE(name, fixture.heapGrowth, fixture.bad.sent(), fixture.took.count(), fixture.othersAnswered);
        CHECK(continued);
        CHECK(fixture.bad.closed() == 1);
        CHECK(fixture.heapGrowth < maxHeapGrowth);
        CHECK(fixture.othersAnswered > 0);
    }
}

TEST_CASE("plain responses of many requests share one memory limit", "[proxy]")
{
    constexpr std::size_t calls = 40;
    // Slow enough that all requests arrive before the limit is reached.
    Fixture fixture({ plainHead + "\r\n", std::string(32 * 1024, 'a'), std::chrono::milliseconds { 50 } });
    for (std::size_t i = 0; i < calls; ++i)
        fixture.client("/order/" + std::to_string(i));
    fixture.run(3s, [] { return false; });
    CAPTURE(fixture.heapGrowth, fixture.othersAnswered, fixture.bad.closed());
    CHECK(fixture.bad.requests() == calls);
    CHECK(fixture.bad.closed() > 0);
    CHECK(fixture.log.str().find("buffered responses exceed the memory limit") != std::string::npos);
    // Each end of a connection reads and sends up to 64 KiB at once, outside of the limit.
    CHECK(fixture.heapGrowth < maxHeapGrowth + calls * 2 * 64 * 1024);
    CHECK(fixture.othersAnswered > 0);
}

TEST_CASE("unfinished events of many streams share one memory limit", "[proxy]")
{
    // As many as the server's listen queue holds. Each event stays below its own limit.
    constexpr std::size_t calls = 100;
    constexpr std::size_t eventBytes = 240 * 1024;
    constexpr std::size_t chunkBytes = 8 * 1024;
    const auto chunk = "2000\r\n" + std::string(chunkBytes, 'a') + "\r\n";
    Fixture fixture({ streamFirst, chunk, std::chrono::milliseconds { 20 } });
    for (std::size_t i = 0; i < calls; ++i)
        fixture.client("/stream/" + std::to_string(i));
    fixture.run(3s, [&] { return fixture.bad.sent() > calls * eventBytes; });
    CAPTURE(fixture.heapGrowth, fixture.othersAnswered, fixture.bad.closed(), fixture.bad.sent());
    CHECK(fixture.bad.requests() >= calls);
    CHECK(fixture.log.str().find("buffered responses exceed the memory limit") != std::string::npos);
    // Each end of a connection reads and sends up to 64 KiB at once, outside of the limit.
    CHECK(fixture.heapGrowth < maxHeapGrowth + calls * 2 * 64 * 1024);
    CHECK(fixture.othersAnswered > 0);
}

TEST_CASE("a slow trickle of bytes that forms no response does not delay the retry of a lookup", "[proxy]")
{
    for (auto& [name, flood] : endlessPlainResponses()) {
        flood.pause = std::chrono::milliseconds { 20 };
        // It is rejected by its head alone, which the test of endless plain responses covers.
        if (flood.first.find("Content-Length") != std::string::npos)
            continue;
        Fixture fixture(flood);
        auto& client = fixture.client("/lookup/1");
        REQUIRE(test::runUntil(fixture.base.get(), [&] { return fixture.bad.requests() == 1; }));
        fixture.addHealthyServer();
        test::runFor(fixture.base.get(), std::chrono::milliseconds { 100 });
        fixture.reportsProgress();
        const bool answered = fixture.run(lookupCancelLimit, [&] { return client.has("good"); });
        CAPTURE(name, fixture.took.count());
        CHECK(answered);
        CHECK_FALSE(fixture.reportsProgress());
        CHECK(test::runUntil(fixture.base.get(), [&] { return fixture.bad.closed() == 1; }));
    }
}

TEST_CASE("a slow trickle of bytes that forms no event does not delay the retry of a stream", "[proxy]")
{
    for (auto& [name, flood] : endlessStreams()) {
        flood.pause = std::chrono::milliseconds { 20 };
        Fixture fixture(flood);
        auto& client = fixture.client("/stream/1");
        REQUIRE(test::runUntil(fixture.base.get(), [&] { return client.has("id: 1"); }));
        fixture.addHealthyServer();
        fixture.reportsProgress();
        const bool continued = fixture.run(streamResumeLimit, [&] { return client.has("id: 2"); });
        CAPTURE(name, fixture.took.count());
        CHECK(continued);
        CHECK_FALSE(fixture.reportsProgress());
        CHECK(test::runUntil(fixture.base.get(), [&] { return fixture.bad.closed() == 1; }));
    }
}

TEST_CASE("a large response that makes progress is not cancelled", "[proxy]")
{
    constexpr std::size_t size = 3 * mebibyte;
    const std::size_t block = 64 * 1024;
    Fixture fixture({ plainHead + "Content-Length: " + std::to_string(size) + "\r\n\r\n", std::string(block, 'a'),
        std::chrono::milliseconds { 20 } });
    auto& client = fixture.client("/lookup/1");
    REQUIRE(test::runUntil(fixture.base.get(), [&] { return fixture.bad.requests() == 1; }));
    fixture.addHealthyServer();
    CHECK(fixture.run(routeTimeout, [&] { return client.received.size() > size; }));
    CHECK_FALSE(client.has("good"));
}

TEST_CASE("endless bytes on an idle connection close it", "[proxy]")
{
    Fixture fixture({ goodResponse, "HTTP/1.1 200 OK\r\n", std::chrono::milliseconds { 50 } });
    auto& client = fixture.client("/order/1");
    CHECK(fixture.run(routeTimeout, [&] { return client.has("good") && fixture.bad.closed() == 1; }));
    CHECK(fixture.heapGrowth < maxHeapGrowth);
}

TEST_CASE("endless bytes after a complete response close the connection", "[proxy]")
{
    Fixture fixture({ goodResponse, "HTTP/1.1 200 OK\r\n" });
    auto& client = fixture.client("/order/1");
    CHECK(fixture.run(routeTimeout, [&] { return client.has("good") && fixture.bad.closed() == 1; }));
    CHECK(fixture.heapGrowth < maxHeapGrowth);
}

TEST_CASE("an endless request is rejected by the request size limits", "[proxy]")
{
    const std::string head = "POST /order/1 HTTP/1.1\r\nHost: x.example\r\nX-Id: r1\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    for (const auto& [first, unit] : std::initializer_list<std::pair<std::string, std::string>> {
             { "POST /", "a" },
             { head + "X-Long: ", "a" },
             { head, "X-More: a\r\n" },
             { chunked, "4\r\naaaa\r\n" },
             { chunked, "0" },
             { chunked + "4;", "a" },
             { chunked + "0\r\n", "X-More: a\r\n" },
         }) {
        CAPTURE(first, unit);
        Fixture fixture({ "", "a" });
        auto& client = fixture.clients.emplace_back(fixture.base.get(), fixture.proxy->address());
        std::string block;
        while (block.size() < 16 * 1024)
            block += unit;
        client.send(first);
        std::size_t sent = 0;
        CHECK(fixture.run(routeTimeout, [&] {
            for (std::size_t i = 0; i < 16 && !client.closed && sent < 64 * mebibyte; ++i, sent += block.size())
                client.send(block);
            return client.closed;
        }));
        CHECK(sent < 64 * mebibyte);
        CHECK(fixture.bad.requests() == 0);
    }
}
