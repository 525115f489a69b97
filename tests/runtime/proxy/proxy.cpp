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
using test::RawConnection;
using test::RawListener;

namespace {

const std::string streamHead = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n";

std::string chunk(const std::string& text)
{
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}

std::string eventChunk(int id) { return chunk("id: " + std::to_string(id) + "\ndata: t\n\n"); }

std::string makeResponse(const std::string& status, const std::string& body,
    const std::string& headers = "X-Seal: s\r\n", const std::string& id = "r1")
{
    return "HTTP/1.1 " + status + "\r\nX-Id: " + id + "\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A proxy with two servers, with a route for each kind of request.
struct Fixture {
    explicit Fixture(double retrySlack = 100)
        : base(event_base_new())
        , a(base.get())
        , b(base.get())
    {
        runtime::setUpLog(log, node::LogLevel::Info, runtime::LogFormat::Json);
        runtime::proxy::ProxySettings settings;
        settings.address = runtime::parseAddress("127.0.0.1:0").value();
        settings.dataCentre = DataCentreId { "mixco" };
        settings.retryLimits = { 0.2, retrySlack, 10s };
        settings.balancer.dataCentre = settings.dataCentre;
        settings.seed = 1;
        auto& names = settings.names;
        names = { "X-Id", "X-Deadline", "Last-Event-Id", "X-Model", "X-Tokens", "X-Seal", "X-Not-Run", "X-Expect",
            "X-Account", "X-Rank", "X-Load", "At" };
        proxy = std::make_unique<Proxy>(base.get(), settings, budget);
        proxy->balancer().setEntryVms(1);
        setTable(1s);
        fleet::TargetDelta delta;
        delta.upserts = { target("a", a), target("b", b) };
        proxy->applyTargets(delta);
    }

    static fleet::Target target(const std::string& id, const RawListener& listener)
    {
        return { ServerId { id }, listener.address(), ServiceName { "desk" }, DataCentreId { "mixco" }, {}, 6, {} };
    }

    static routes::Route route(const std::string& prefix, routes::RequestKind kind, bool resumable, Duration timeout)
    {
        routes::Route it;
        it.name = prefix;
        it.host = "x.example";
        it.pathPrefix = prefix;
        it.kind = kind;
        it.resumable = resumable;
        it.timeout = timeout;
        it.maxServers = kind == routes::RequestKind::NonIdempotent ? 1 : 2;
        it.shares = { { ServiceName { "desk" }, 1 } };
        return it;
    }

    void setTable(Duration timeout)
    {
        routes::Document document;
        document.version = 1;
        document.routes = { route("/order/", routes::RequestKind::NonIdempotent, false, timeout),
            route("/lookup/", routes::RequestKind::Idempotent, false, timeout),
            route("/stream/", routes::RequestKind::Streaming, true, 5s) };
        auto model = route("/model/", routes::RequestKind::Streaming, true, 5s);
        model.shares = { { ServiceName { "llm" }, 1 } };
        document.routes.push_back(model);
        document.services.push_back({ ServiceName { "desk" }, {}, 0, {}, 0, {} });
        document.services.push_back({ ServiceName { "llm" }, {}, 0, {}, 0, routes::Engine { .slots = 26 } });
        document.accounts = { { AccountId { "brand" }, { "key" }, {} } };
        proxy->setTable(std::make_shared<routes::Table>(std::move(document)));
    }

    /// Connects a client that sends a request.
    RawConnection& client(const std::string& path, const std::string& method = "POST", const std::string& body = "body",
        const std::string& headers = "")
    {
        auto& it = clients.emplace_back(base.get(), proxy->address());
        it.send(method + ' ' + path + " HTTP/1.1\r\nHost: x.example\r\nX-Id: r1\r\nAuthorization: Bearer key\r\n"
            + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        return it;
    }

    /// Server connections that have received a request: first those of server a, then those of server b.
    std::vector<RawConnection*> requests()
    {
        std::vector<RawConnection*> all;
        for (auto* listener : { &a, &b }) {
            for (auto& it : listener->acceptedConnections) {
                if (it.has("\r\n\r\n"))
                    all.push_back(&it);
            }
        }
        return all;
    }

    /// Waits for a request on a server connection that was not returned before.
    RawConnection& nextRequest()
    {
        RawConnection* found = nullptr;
        REQUIRE(test::runUntil(base.get(), [&] {
            for (auto* it : requests()) {
                if (std::find(seen.begin(), seen.end(), it) == seen.end())
                    found = it;
            }
            return found != nullptr;
        }));
        seen.push_back(found);
        return *found;
    }

    void waitFor(const std::function<bool()>& done) { REQUIRE(test::runUntil(base.get(), done)); }

    test::EventBase base;
    runtime::ConnectionBudget budget { base.get() };
    std::ostringstream log;
    RawListener a;
    RawListener b;
    std::unique_ptr<Proxy> proxy;
    std::list<RawConnection> clients;
    std::vector<RawConnection*> seen;
};

} // namespace

TEST_CASE("a request is forwarded unchanged except for the proxy's own headers", "[proxy]")
{
    Fixture fixture;
    auto& client
        = fixture.client("/order/1?x=y", "POST", "book", "X-Account: forged\r\nX-Expect: forged\r\nX-Own: 1\r\n");
    auto& server = fixture.nextRequest();
    CHECK(server.has("POST /order/1?x=y HTTP/1.1\r\n"));
    CHECK(server.received.ends_with("\r\n\r\nbook"));
    CHECK(server.has("X-Own: 1\r\n"));
    CHECK(server.has("X-Account: brand\r\n"));
    CHECK_FALSE(server.has("forged"));
    CHECK_FALSE(server.has("Authorization"));
    server.send(makeResponse("200 OK", "done"));
    fixture.waitFor([&] { return client.received.ends_with("done"); });
    CHECK(client.has("HTTP/1.1 200 OK\r\n"));
    CHECK(client.has("X-Seal: s\r\n"));
}

TEST_CASE("requests without a route, key or id and malformed requests are rejected without a server", "[proxy]")
{
    Fixture fixture;
    auto& noRoute = fixture.client("/other/");
    auto& noKey = fixture.clients.emplace_back(fixture.base.get(), fixture.proxy->address());
    noKey.send("GET /order/ HTTP/1.1\r\nHost: x.example\r\nX-Id: r\r\n\r\n");
    auto& noId = fixture.clients.emplace_back(fixture.base.get(), fixture.proxy->address());
    noId.send("GET /order/ HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer key\r\n\r\n");
    auto& malformed = fixture.clients.emplace_back(fixture.base.get(), fixture.proxy->address());
    malformed.send(
        "POST /order/ HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    fixture.waitFor(
        [&] { return noRoute.has(" 404 ") && noKey.has(" 401 ") && noId.has(" 400 ") && malformed.closed; });
    CHECK(malformed.has(" 400 "));
    CHECK(fixture.requests().empty());
}

TEST_CASE("an order is not retried after its connection broke", "[proxy]")
{
    Fixture fixture;
    auto& client = fixture.client("/order/1");
    fixture.nextRequest().close();
    fixture.waitFor([&] { return client.has("HTTP/1.1 502 "); });
    CHECK(fixture.requests().size() == 1);
}

TEST_CASE("an order that a server did not run is retried on another one", "[proxy]")
{
    Fixture fixture;
    auto& client = fixture.client("/order/1");
    fixture.nextRequest().send(makeResponse("503 Service Unavailable", "", "X-Not-Run: 1\r\n"));
    fixture.nextRequest().send(makeResponse("200 OK", "done"));
    fixture.waitFor([&] { return client.has("done"); });
}

TEST_CASE("a server that returns 421 gets no further requests", "[proxy]")
{
    Fixture fixture;
    auto& client = fixture.client("/order/1");
    auto& wrong = fixture.nextRequest();
    wrong.send(makeResponse("421 Misdirected Request", ""));
    fixture.nextRequest().send(makeResponse("200 OK", "done"));
    fixture.waitFor([&] { return client.has("done"); });
    const auto name = wrong.has("X-Expect: a\r\n") ? "X-Expect: a\r\n" : "X-Expect: b\r\n";
    test::runFor(fixture.base.get(), std::chrono::milliseconds { 400 });
    for (int i = 0; i < 8; ++i) {
        auto& later = fixture.client("/order/1");
        auto& server = fixture.nextRequest();
        CHECK_FALSE(server.has(name));
        // Without Connection: close the next request would reuse the connection.
        server.send(makeResponse("200 OK", "done", "X-Seal: s\r\nConnection: close\r\n"));
        fixture.waitFor([&] { return later.has("done"); });
    }
}

namespace {

/// Lets the servers answer all requests.
void answerAll(Fixture& fixture)
{
    for (auto* listener : { &fixture.a, &fixture.b }) {
        listener->onReceived = [](RawConnection& it) {
            if (it.has("\r\n\r\n"))
                it.send(makeResponse("200 OK", "done", "X-Seal: s\r\nConnection: close\r\n"));
        };
    }
}

/// Number of answers to orders that are sent one after the other during `time`.
unsigned ordersAnswered(Fixture& fixture, std::chrono::milliseconds time)
{
    unsigned answered = 0;
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) {
        auto& client = fixture.client("/order/1");
        fixture.waitFor([&] { return client.has("\r\n\r\n"); });
        answered += client.has("HTTP/1.1 200 ") ? 1 : 0;
        test::runFor(fixture.base.get(), std::chrono::milliseconds { 10 });
    }
    return answered;
}

} // namespace

// Guards against services that stay refused because their servers refused connections for a moment.
TEST_CASE("the first request after all servers refused connections is served", "[proxy]")
{
    using std::chrono::milliseconds;
    const auto time = GENERATE(milliseconds { 0 }, milliseconds { 400 }, milliseconds { 2500 });
    CAPTURE(time.count());
    Fixture fixture;
    answerAll(fixture);
    CHECK(ordersAnswered(fixture, milliseconds { 100 }) > 0);
    fixture.a.stop();
    fixture.b.stop();
    auto& refused = fixture.client("/order/1");
    fixture.waitFor([&] { return refused.has("HTTP/1.1 503 "); });
    CHECK(ordersAnswered(fixture, time) == 0);
    test::runFor(fixture.base.get(), milliseconds { 30 });
    fixture.a.restart();
    fixture.b.restart();
    auto& first = fixture.client("/order/1");
    fixture.waitFor([&] { return first.has("\r\n\r\n"); });
    CHECK(first.has("HTTP/1.1 200 "));
    test::runFor(fixture.base.get(), milliseconds { 1100 });
    (void)ordersAnswered(fixture, milliseconds { 200 });
    CHECK(fixture.proxy->balancer().unreachable() == 0);
}

// The same for one of several servers, which other requests must not have to find out.
TEST_CASE("a server that refused connections is used again while the others take the requests", "[proxy]")
{
    using std::chrono::milliseconds;
    Fixture fixture;
    answerAll(fixture);
    fixture.a.stop();
    (void)ordersAnswered(fixture, milliseconds { 700 });
    CHECK(fixture.proxy->balancer().unreachable() == 1);
    const auto before = fixture.proxy->counters().answered;
    fixture.a.restart();
    (void)ordersAnswered(fixture, milliseconds { 1300 });
    CHECK(fixture.proxy->balancer().unreachable() == 0);
    CHECK(fixture.proxy->counters().refused == 0);
    CHECK(fixture.proxy->counters().answered > before);
    const auto answeredByA = std::count_if(fixture.a.acceptedConnections.begin(), fixture.a.acceptedConnections.end(),
        [](const auto& it) { return it.has("X-Id: r1"); });
    CHECK(answeredByA > 3);
    CHECK(fixture.log.str().find("reached server again") != std::string::npos);
}

TEST_CASE("a group's head server that rejects repeatedly is suspended for longer each time", "[proxy]")
{
    Fixture fixture;
    auto head = Fixture::target("one", fixture.a);
    head.service = ServiceName { "llm" };
    head.model = ModelName { "large" };
    fleet::TargetDelta delta;
    delta.upserts = { head };
    fixture.proxy->applyTargets(delta);
    const auto send = [&]() -> RawConnection& {
        return fixture.client("/model/1", "POST", "body", "X-Model: large\r\nX-Tokens: 1460,80\r\n");
    };
    for (int i = 0; i < 2; ++i) {
        auto& client = send();
        fixture.nextRequest().send(
            makeResponse("503 Service Unavailable", "", "X-Not-Run: 1\r\nAt: two\r\nConnection: close\r\n"));
        fixture.waitFor([&] { return client.has("HTTP/1.1 503 "); });
        test::runFor(fixture.base.get(), std::chrono::milliseconds { 300 });
    }
    auto& client = send();
    fixture.waitFor([&] { return client.has("HTTP/1.1 503 "); });
    CHECK(fixture.requests().size() == 2);
}

TEST_CASE("a 503 response without the not-executed header is not forwarded as one", "[proxy]")
{
    Fixture fixture;
    auto& client = fixture.client("/order/1");
    fixture.nextRequest().send(makeResponse("503 Service Unavailable", "", "X-Seal: s\r\n"));
    fixture.waitFor([&] { return client.has("HTTP/1.1 502 "); });
}

TEST_CASE("an order in flight at its deadline is answered with 504 and cancelled", "[proxy]")
{
    Fixture fixture;
    fixture.setTable(300ms);
    auto& client = fixture.client("/order/1");
    auto& server = fixture.nextRequest();
    fixture.waitFor([&] { return client.has("HTTP/1.1 504 "); });
    fixture.waitFor([&] { return server.closed; });
}

TEST_CASE("a lookup is retried on a second server after a server error", "[proxy]")
{
    Fixture fixture;
    auto& client = fixture.client("/lookup/1", "GET", "");
    fixture.nextRequest().send(makeResponse("500 Internal Server Error", "failed"));
    fixture.nextRequest().send(makeResponse("200 OK", "found"));
    fixture.waitFor([&] { return client.has("found"); });
    CHECK_FALSE(client.has("failed"));
}

TEST_CASE("retries are counted by the outcome of the previous attempt", "[proxy]")
{
    Fixture fixture;
    auto& client = fixture.client("/lookup/1", "GET", "");
    fixture.nextRequest().send(makeResponse("500 Internal Server Error", "failed"));
    fixture.nextRequest().send(makeResponse("200 OK", "found"));
    fixture.waitFor([&] { return client.has("found"); });
    std::ostringstream metrics;
    fixture.proxy->writeMetrics(metrics);
    CHECK_THAT(metrics.str(), Catch::Contains("rosemarymill_proxy_repeats_total{cause=\"server error\"} 1\n"));
    CHECK_THAT(metrics.str(), Catch::Contains("rosemarymill_proxy_repeats_total{cause=\"rejected\"} 0\n"));
    CHECK_THAT(metrics.str(), Catch::Contains("rosemarymill_proxy_retry_budget_left{service=\"desk\"} "));
    CHECK_THAT(metrics.str(), Catch::Contains("rosemarymill_proxy_entry_vms 1\n"));
}

TEST_CASE("a lookup is retried on a second server after a timeout", "[proxy]")
{
    Fixture fixture;
    auto& client = fixture.client("/lookup/1", "GET", "");
    auto& silent = fixture.nextRequest();
    fixture.nextRequest().send(makeResponse("200 OK", "found"));
    fixture.waitFor([&] { return client.has("found"); });
    CHECK(silent.closed);
}

TEST_CASE("a cancelled request does not reach its server later", "[proxy]")
{
    Fixture fixture;
    for (auto* it : { &fixture.a, &fixture.b }) {
        it->setReceiveBuffer(4096);
        it->reading = false;
    }
    const std::string body(1024 * 1024, 'x');
    SECTION("after a timeout")
    {
        auto& client = fixture.client("/lookup/1", "POST", body);
        fixture.waitFor(
            [&] { return fixture.a.acceptedConnections.size() + fixture.b.acceptedConnections.size() == 2; });
        // The first attempt was cancelled, and the second one gets a response.
        auto& first = fixture.log.str().find("\"server\":\"a\"") != std::string::npos ? fixture.a : fixture.b;
        auto& second = &first == &fixture.a ? fixture.b : fixture.a;
        auto& cancelledConnection = first.acceptedConnections.front();
        cancelledConnection.setReading(true);
        second.acceptedConnections.front().setReading(true);
        fixture.waitFor([&] { return second.acceptedConnections.front().received.ends_with(body); });
        second.acceptedConnections.front().send(makeResponse("200 OK", "found"));
        fixture.waitFor([&] { return client.has("found") && cancelledConnection.closed; });
        CHECK(cancelledConnection.reset);
        CHECK(cancelledConnection.received.size() < body.size());
    }
    SECTION("after its client disconnected")
    {
        auto& client = fixture.client("/order/1", "POST", body);
        fixture.waitFor(
            [&] { return fixture.a.acceptedConnections.size() + fixture.b.acceptedConnections.size() == 1; });
        auto& cancelledConnection
            = (fixture.a.acceptedConnections.empty() ? fixture.b : fixture.a).acceptedConnections.front();
        client.close();
        fixture.waitFor([&] { return Catch::Contains("client disconnected").match(fixture.log.str()); });
        cancelledConnection.setReading(true);
        fixture.waitFor([&] { return cancelledConnection.closed; });
        CHECK(cancelledConnection.reset);
        CHECK(cancelledConnection.received.size() < body.size());
    }
}

// The platform tolerates requests that arrive late for at most its contact time, 3 s or more, after a link was cut.
// Bytes that the server has not acknowledged must therefore be dropped within that time.
TEST_CASE("a request that its server does not read is dropped within the contact time", "[proxy]")
{
    constexpr Duration contactTime = 3s;
    Fixture fixture;
    fixture.setTable(10s);
    for (auto* it : { &fixture.a, &fixture.b }) {
        it->setReceiveBuffer(4096);
        it->reading = false;
    }
    const std::string body(1024 * 1024, 'x');
    fixture.client("/order/1", "POST", body);
    fixture.waitFor([&] { return fixture.a.acceptedConnections.size() + fixture.b.acceptedConnections.size() == 1; });
    auto& server = (fixture.a.acceptedConnections.empty() ? fixture.b : fixture.a).acceptedConnections.front();
    const auto end = runtime::readClock() + contactTime;
    fixture.waitFor([&] { return runtime::readClock() >= end; });
    server.setReading(true);
    fixture.waitFor([&] { return server.closed; });
    CHECK(server.reset);
    CHECK(server.received.size() < body.size());
}

TEST_CASE("responses that are not the server's response to this request never reach the client", "[proxy]")
{
    Fixture fixture;
    for (const auto& wrong : {
             makeResponse("200 OK", "wrong", "X-Seal: s\r\n", "r2"),
             makeResponse("200 OK", "wrong", ""),
             makeResponse("200 OK", "wrong", "X-Seal: s\r\nContent-Encoding: gzip\r\n"),
             std::string("nonsense wrong\r\n\r\n"),
         }) {
        CAPTURE(wrong);
        auto& client = fixture.client("/order/1");
        fixture.nextRequest().send(wrong);
        fixture.waitFor([&] { return client.has("HTTP/1.1 502 "); });
        CHECK_FALSE(client.has("wrong"));
    }
}

TEST_CASE("a truncated response is not forwarded", "[proxy]")
{
    Fixture fixture;
    auto& client = fixture.client("/order/1");
    auto& server = fixture.nextRequest();
    server.send("HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\nContent-Length: 10\r\n\r\nhalf");
    test::runFor(fixture.base.get(), std::chrono::milliseconds { 50 });
    server.close();
    fixture.waitFor([&] { return client.has("HTTP/1.1 502 "); });
    CHECK_FALSE(client.has("half"));
}

TEST_CASE("a duplicate rejection on a reused connection is not taken as the response to the next order", "[proxy]")
{
    Fixture fixture;
    fleet::TargetDelta one;
    one.withdrawn = { ServerId { "b" } };
    fixture.proxy->applyTargets(one);
    const auto refusal = GENERATE(std::string("503 Service Unavailable"), "429 Too Many Requests", "421 Misdirected");
    CAPTURE(refusal);
    const std::string headers = "X-Not-Run: 1\r\nX-Load: 900,900,6\r\nAt: a\r\nX-Seal: s\r\n";
    auto& first = fixture.client("/order/1");
    auto& server = fixture.nextRequest();
    server.send(makeResponse("200 OK", "one"));
    fixture.waitFor([&] { return first.has("one"); });
    // Server b is announced again after the order was sent on the connection that was in use a moment ago.
    fleet::TargetDelta both;
    both.upserts = { Fixture::target("b", fixture.b) };
    server.received.clear();
    auto& second = fixture.clients.emplace_back(fixture.base.get(), fixture.proxy->address());
    second.send("POST /order/2 HTTP/1.1\r\nHost: x.example\r\nX-Id: r2\r\nAuthorization: Bearer key\r\n"
                "Content-Length: 4\r\n\r\nnext");
    fixture.waitFor([&] { return server.has("/order/2") && server.has("next"); });
    fixture.proxy->applyTargets(both);
    server.send(makeResponse(refusal, "refused", headers, "r1"));
    test::runFor(fixture.base.get(), std::chrono::milliseconds { 50 });
    CHECK(fixture.b.acceptedConnections.empty());
    CHECK_FALSE(second.has(" 503 "));
    server.send(makeResponse("200 OK", "two", "X-Seal: s\r\n", "r2"));
    fixture.waitFor([&] { return second.has("two"); });
    CHECK(fixture.b.acceptedConnections.empty());
    CHECK_FALSE(second.has("refused"));
}

TEST_CASE("a rejection of an earlier request does not cause a retry, even if no other response follows", "[proxy]")
{
    Fixture fixture;
    auto& client = fixture.client("/order/1");
    fixture.nextRequest().send(makeResponse("503 Service Unavailable", "", "X-Not-Run: 1\r\n", "r0"));
    fixture.waitFor([&] { return client.has("\r\n\r\n"); });
    CHECK(client.has("HTTP/1.1 502 "));
    CHECK(fixture.requests().size() == 1);
}

TEST_CASE("bytes after a response close the connection to the server", "[proxy]")
{
    Fixture fixture;
    auto& client = fixture.client("/order/1");
    auto& server = fixture.nextRequest();
    server.send(makeResponse("200 OK", "done") + makeResponse("200 OK", "late", "X-Seal: s\r\n", "r0"));
    fixture.waitFor([&] { return client.has("done") && server.closed; });
    CHECK_FALSE(client.has("late"));
}

TEST_CASE("a stream is resumed on another server after its last complete event", "[proxy]")
{
    Fixture fixture;
    auto& client = fixture.client("/stream/1");
    auto& first = fixture.nextRequest();
    first.send(streamHead + eventChunk(1) + eventChunk(2) + chunk("id: 3\nda"));
    fixture.waitFor([&] { return client.has("id: 2"); });
    first.close();
    auto& second = fixture.nextRequest();
    CHECK(second.has("Last-Event-Id: 2\r\n"));
    second.send(streamHead + eventChunk(3) + eventChunk(4) + "0\r\n\r\n");
    fixture.waitFor([&] { return client.received.ends_with("0\r\n\r\n"); });
    for (int id = 1; id <= 4; ++id) {
        const auto text = "id: " + std::to_string(id) + "\n";
        CHECK(client.received.find(text) == client.received.rfind(text));
        CHECK(client.has(text));
    }
    CHECK(client.received.find("HTTP/1.1") == client.received.rfind("HTTP/1.1"));
}

TEST_CASE("a stream is resumed on another server when its own is reported as lost", "[proxy]")
{
    Fixture fixture;
    auto& client = fixture.client("/stream/1");
    auto& first = fixture.nextRequest();
    first.send(streamHead + eventChunk(1));
    fixture.waitFor([&] { return client.has("id: 1"); });
    fleet::TargetDelta delta;
    delta.lost = { ServerId { fixture.a.acceptedConnections.empty() ? "b" : "a" } };
    fixture.proxy->applyTargets(delta);
    fixture.nextRequest().send(streamHead + eventChunk(2) + "0\r\n\r\n");
    fixture.waitFor([&] { return client.received.ends_with("0\r\n\r\n"); });
    CHECK(first.closed);
}

TEST_CASE("a stream is sent to no more servers than its route allows, even if they are reported as lost", "[proxy]")
{
    Fixture fixture;
    const auto head = [](const std::string& id, const RawListener& listener) {
        auto it = Fixture::target(id, listener);
        it.service = ServiceName { "llm" };
        it.model = ModelName { "large" };
        return it;
    };
    fleet::TargetDelta delta;
    delta.upserts = { head("one", fixture.a), head("two", fixture.b) };
    fixture.proxy->applyTargets(delta);
    auto& client = fixture.client("/model/1", "POST", "body", "X-Model: large\r\nX-Tokens: 1460,80\r\n");
    for (int i = 0; i < 2; ++i) {
        auto& server = fixture.nextRequest();
        server.send(streamHead + eventChunk(i + 1));
        fixture.waitFor([&] { return client.has("id: " + std::to_string(i + 1)); });
        fleet::TargetDelta change;
        change.lost = { ServerId { server.has("X-Expect: one\r\n") ? "one" : "two" } };
        change.upserts = { head("three", fixture.a) };
        fixture.proxy->applyTargets(i == 0 ? fleet::TargetDelta { .lost = change.lost } : change);
    }
    fixture.waitFor([&] { return client.closed; });
    CHECK(fixture.requests().size() == 2);
}

TEST_CASE("streams that wait for a server at the same time stay within the retry budget", "[proxy]")
{
    // A new process gets a quarter of the slack, which is one retry; the ratio adds less than one more.
    Fixture fixture(4);
    constexpr int streams = 3;
    std::vector<RawConnection*> callers;
    for (int i = 0; i < streams; ++i) {
        callers.push_back(&fixture.client("/stream/1"));
        fixture.nextRequest().send(streamHead + eventChunk(1));
        fixture.waitFor([&] { return callers.back()->has("id: 1"); });
    }
    fleet::TargetDelta lossDelta;
    lossDelta.lost = { ServerId { "a" }, ServerId { "b" } };
    fixture.proxy->applyTargets(lossDelta);
    fleet::TargetDelta announced;
    announced.upserts = { Fixture::target("c", fixture.a) };
    fixture.proxy->applyTargets(announced);
    fixture.waitFor([&] {
        return std::count_if(callers.begin(), callers.end(), [](auto* it) { return it->closed; }) == streams - 1;
    });
    CHECK(fixture.requests().size() == streams + 1);
}

TEST_CASE("a stream that cannot be resumed is aborted without its last chunk", "[proxy]")
{
    Fixture fixture;
    auto& client = fixture.client("/stream/1");
    for (int i = 0; i < 2; ++i) {
        auto& server = fixture.nextRequest();
        server.send(streamHead + eventChunk(i + 1));
        fixture.waitFor([&] { return client.has("id: " + std::to_string(i + 1)); });
        server.close();
    }
    fixture.waitFor([&] { return client.closed; });
    CHECK_FALSE(client.received.ends_with("0\r\n\r\n"));
}

TEST_CASE("a response that is not the rest of a stream neither ends the stream nor becomes part of it", "[proxy]")
{
    Fixture fixture;
    const std::string other = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n";
    const auto wrong = GENERATE_COPY(makeResponse("500 Internal Server Error", "wrong"),
        makeResponse("404 Not Found", "wrong"), makeResponse("302 Found", "wrong", "X-Seal: s\r\nLocation: /wrong\r\n"),
        std::string("HTTP/1.1 204 No Content\r\nX-Id: r1\r\nX-Seal: s\r\n\r\n"), makeResponse("200 OK", "wrong"),
        other + "Content-Length: 0\r\n\r\n", streamHead + "0\r\n\r\n",
        streamHead + chunk("event: error\ndata: wrong\n\n") + "0\r\n\r\n",
        streamHead + chunk("data: wrong\n\n") + eventChunk(2) + "0\r\n\r\n");
    CAPTURE(wrong);
    auto& client = fixture.client("/stream/1");
    auto& first = fixture.nextRequest();
    first.send(streamHead + eventChunk(1));
    fixture.waitFor([&] { return client.has("id: 1"); });
    first.close();
    fixture.nextRequest().send(wrong);
    fixture.waitFor([&] { return client.closed; });
    CHECK_FALSE(client.has("wrong"));
    CHECK_FALSE(client.has("id: 2"));
    CHECK_FALSE(client.received.ends_with("0\r\n\r\n"));
    CHECK(client.received.find("HTTP/1.1") == client.received.rfind("HTTP/1.1"));
}

TEST_CASE("empty streams and events without ids are forwarded in a stream that was not resumed", "[proxy]")
{
    Fixture fixture;
    const auto body = GENERATE(std::string {}, chunk("data: t\n\n"));
    auto& client = fixture.client("/stream/1");
    fixture.nextRequest().send(streamHead + body + "0\r\n\r\n");
    fixture.waitFor([&] { return client.received.ends_with("0\r\n\r\n"); });
}

TEST_CASE("a client that stops reading uses little memory and loses no events", "[proxy]")
{
    Fixture fixture;
    auto& client = fixture.client("/stream/1");
    auto& server = fixture.nextRequest();
    client.setReading(false);
    constexpr int events = 4000;
    const std::string filling(2000, 'x');
    server.send(streamHead);
    for (int id = 1; id <= events; ++id)
        server.send(chunk("id: " + std::to_string(id) + "\ndata: " + filling + "\n\n"));
    server.send("0\r\n\r\n");
    test::runFor(fixture.base.get(), std::chrono::milliseconds { 300 });
    // The proxy buffers up to 128 KiB; the rest is in kernel buffers or still at the server.
    CHECK(fixture.proxy->counters().events < events / 2);
    client.setReading(true);
    fixture.waitFor([&] { return client.received.ends_with("0\r\n\r\n"); });
    CHECK(fixture.proxy->counters().events == events);
}

TEST_CASE("the request is cancelled at the server when the client disconnects", "[proxy]")
{
    Fixture fixture;
    auto& client = fixture.client("/stream/1");
    auto& server = fixture.nextRequest();
    client.close();
    fixture.waitFor([&] { return server.closed; });
    CHECK(fixture.proxy->activeCalls() == 0);
}

TEST_CASE("requests on one connection are handled in order", "[proxy]")
{
    Fixture fixture;
    auto& client = fixture.client("/order/1");
    client.send("POST /order/2 HTTP/1.1\r\nHost: x.example\r\nX-Id: r2\r\nAuthorization: Bearer key\r\n"
                "Transfer-Encoding: chunked\r\n\r\n4\r\nnext\r\n0\r\n\r\n");
    auto& server = fixture.nextRequest();
    CHECK_FALSE(server.has("/order/2"));
    server.send(makeResponse("200 OK", "one"));
    fixture.waitFor([&] { return client.has("one"); });
    std::function<bool()> second = [&] {
        for (auto* it : fixture.requests()) {
            if (it->has("/order/2") && it->has("next"))
                it->send(std::exchange(it->received, {}).empty()
                        ? ""
                        : makeResponse("200 OK", "two", "X-Seal: s\r\n", "r2"));
        }
        return client.has("two");
    };
    fixture.waitFor(second);
}

TEST_CASE(
    "a proxy that is shutting down closes connections after responses and refuses streams that would finish too late",
    "[proxy]")
{
    Fixture fixture;
    fixture.proxy->shutDown({ runtime::readClock() - 4s, 8s });
    auto& stream = fixture.client("/stream/1");
    fixture.waitFor([&] { return stream.closed; });
    CHECK(stream.has("HTTP/1.1 503 "));
    CHECK(stream.has("Retry-After: 0.02"));
    auto& order = fixture.client("/order/1");
    fixture.nextRequest().send(makeResponse("200 OK", "done"));
    fixture.waitFor([&] { return order.closed; });
    CHECK(order.has("Connection: close\r\n"));
    CHECK(order.has("done"));
}

TEST_CASE(
    "requests in progress at the end of a shutdown get an answer that states whether they may have run", "[proxy]")
{
    Fixture fixture;
    auto& order = fixture.client("/order/1");
    fixture.nextRequest();
    auto& stream = fixture.client("/stream/1");
    fixture.nextRequest().send(streamHead + eventChunk(1));
    fixture.waitFor([&] { return stream.has("id: 1"); });
    fixture.proxy->shutDown({ runtime::readClock() - 7s, 8s });
    CHECK_FALSE(fixture.proxy->drained());
    fixture.proxy->endCalls("shutting down");
    fixture.waitFor([&] { return order.closed && stream.closed; });
    CHECK(order.has("HTTP/1.1 504 "));
    CHECK(order.has("Connection: close\r\n"));
    CHECK_FALSE(stream.received.ends_with("0\r\n\r\n"));
    CHECK(fixture.proxy->drained());
}

TEST_CASE("a proxy is not drained before the last response is sent", "[proxy]")
{
    Fixture fixture;
    // More than the buffers of the kernel hold.
    constexpr std::size_t responses = 4;
    const std::string body(3 * 1024 * 1024, 'x');
    for (std::size_t i = 0; i < responses; ++i)
        fixture.client("/order/1").setReading(false);
    fixture.waitFor([&] {
        for (auto* it : fixture.requests()) {
            it->received.clear();
            it->send(makeResponse("200 OK", body));
        }
        return fixture.proxy->counters().answered == responses;
    });
    CHECK(fixture.proxy->activeCalls() == 0);
    for (auto& client : fixture.clients) {
        CHECK_FALSE(fixture.proxy->drained());
        client.setReading(true);
        fixture.waitFor([&] { return client.received.size() > body.size(); });
    }
    fixture.waitFor([&] { return fixture.proxy->drained(); });
}

TEST_CASE("a pipelined request waits until the response before it is read", "[proxy]")
{
    Fixture fixture;
    const std::string body(3 * 1024 * 1024, 'x');
    auto& client = fixture.client("/order/1");
    client.setReading(false);
    client.send("POST /order/2 HTTP/1.1\r\nHost: x.example\r\nX-Id: r2\r\nAuthorization: Bearer key\r\n"
                "Content-Length: 4\r\n\r\nbody");
    auto& server = fixture.nextRequest();
    server.received.clear();
    server.send(makeResponse("200 OK", body));
    fixture.waitFor([&] { return fixture.proxy->counters().answered == 1; });
    test::runFor(fixture.base.get(), std::chrono::milliseconds { 100 });
    CHECK(fixture.proxy->counters().requests == 1);
    client.setReading(true);
    fixture.waitFor([&] { return server.has("/order/2"); });
    server.send(makeResponse("200 OK", "second", "X-Seal: s\r\n", "r2"));
    fixture.waitFor([&] { return client.received.ends_with("second"); });
}

TEST_CASE("a response whose head is cut is not forwarded as an answer", "[proxy]")
{
    Fixture fixture;
    const auto response = makeResponse("200 OK", "done");
    const auto* cut = GENERATE(
        "HTTP/1.1 2", "\r\nX-Id", "X-Seal: s", "Content-Length: 4", "Content-Length: 4\r\n", "Content-Length: 4\r\n\r");
    const auto end = response.find(cut) + std::string_view(cut).size();
    auto& client = fixture.client(GENERATE("/order/1", "/lookup/1", "/stream/1"));
    for (int i = 0; i < 2 && !client.has("\r\n\r\n"); ++i) {
        auto& server = fixture.nextRequest();
        server.send(response.substr(0, end));
        server.closeAfterWrite();
        test::runUntil(fixture.base.get(),
            [&] { return client.has("\r\n\r\n") || fixture.requests().size() > fixture.seen.size(); });
    }
    fixture.waitFor([&] { return client.has("\r\n\r\n"); });
    CHECK(client.has("HTTP/1.1 502 "));
    CHECK_FALSE(client.has(" 200 "));
}

TEST_CASE("a response without length or chunks ends with its connection, unless that is reset", "[proxy]")
{
    Fixture fixture;
    const bool reset = GENERATE(false, true);
    auto& client = fixture.client("/order/1");
    auto& server = fixture.nextRequest();
    server.send("HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\n\r\npart");
    if (reset) {
        test::runFor(fixture.base.get(), std::chrono::milliseconds { 50 });
        server.closeWithReset();
    } else {
        server.closeAfterWrite();
    }
    fixture.waitFor([&] { return client.has("\r\n\r\n"); });
    CHECK(client.has(reset ? "HTTP/1.1 502 " : "HTTP/1.1 200 OK\r\n"));
    CHECK(client.received.ends_with("part") != reset);
}

TEST_CASE("a stream without chunks that ends within an event or before the first one was broken off", "[proxy]")
{
    Fixture fixture;
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n";
    const auto* events = GENERATE("", "id: 1\nda", "id: 1\ndata: t\n\nid: 2\nda");
    auto& client = fixture.client("/stream/1");
    auto& first = fixture.nextRequest();
    first.send(head + events);
    first.closeAfterWrite();
    auto& second = fixture.nextRequest();
    second.send(head + "id: 2\ndata: t\n\n");
    second.closeAfterWrite();
    fixture.waitFor([&] { return client.received.ends_with("0\r\n\r\n"); });
    CHECK(client.has("id: 2\ndata: t\n\n"));
    CHECK(client.received.find("HTTP/1.1") == client.received.rfind("HTTP/1.1"));
}

TEST_CASE("each call writes a log line with its id, route, status and document version", "[proxy]")
{
    Fixture fixture;
    auto& client = fixture.client("/order/1");
    fixture.nextRequest().send(makeResponse("200 OK", "done"));
    fixture.waitFor([&] { return client.has("done"); });
    const auto log = fixture.log.str();
    for (const auto* part : { R"("request":"r1")", R"("route":"/order/")", R"("status":"200")", R"("document":"1")" })
        CHECK(log.find(part) != std::string::npos);
}

TEST_CASE(
    "log lines of a request have the same fingerprint under another id and state whether it may have begun", "[proxy]")
{
    Fixture fixture;
    auto& first = fixture.client("/order/1");
    fixture.nextRequest().close();
    fixture.waitFor([&] { return first.has(" 502 "); });
    auto& second = fixture.clients.emplace_back(fixture.base.get(), fixture.proxy->address());
    second.send("POST /order/1 HTTP/1.1\r\nHost: x.example\r\nX-Id: r2\r\nAuthorization: Bearer key\r\n"
                "Content-Length: 4\r\n\r\nbody");
    fixture.nextRequest().close();
    fixture.waitFor([&] { return second.has(" 502 "); });
    const std::string field = R"("fingerprint":")";
    const auto log = fixture.log.str();
    const auto at = log.find(field);
    REQUIRE(at != std::string::npos);
    const auto value = log.substr(at, field.size() + 32);
    CHECK(log.find(value, log.find(R"("request":"r2")")) != std::string::npos);
    CHECK_THAT(log, Catch::Contains(R"("begun":"maybe")"));
}

TEST_CASE("the body of a request is held once while its servers are slow to read it", "[proxy]")
{
    constexpr std::size_t bodyBytes = 4 * 1000 * 1000;
    constexpr std::size_t requests = 8;
    const std::string body(bodyBytes, 'b');
    Fixture fixture;
    fixture.setTable(5s);
    fixture.a.setReceiveBuffer(4096);
    fixture.b.setReceiveBuffer(4096);
    fixture.a.reading = fixture.b.reading = false;
    const auto sent = [&] {
        return std::all_of(
            fixture.clients.begin(), fixture.clients.end(), [](const auto& it) { return it.unsentBytes() == 0; });
    };
    const auto before = test::heapBytes();
    for (std::size_t i = 0; i < requests; ++i) {
        fixture.client("/order/1", "POST", body);
        fixture.waitFor(sent);
    }
    fixture.waitFor([&] { return fixture.proxy->activeCalls() == requests; });
    test::runFor(fixture.base.get(), std::chrono::milliseconds { 100 });
    // Bytes that the parser or the allocator keeps may take as much as another half.
    CHECK(test::heapBytes() - before < requests * bodyBytes * 3 / 2);
}

TEST_CASE("a request whose body comes in many pieces reaches a second server unchanged", "[proxy]")
{
    Fixture fixture;
    std::string body;
    for (int i = 0; body.size() < 300'000; ++i)
        body += std::to_string(i) + ' ';
    auto& client = fixture.clients.emplace_back(fixture.base.get(), fixture.proxy->address());
    client.send("POST /lookup/1 HTTP/1.1\r\nHost: x.example\r\nX-Id: r1\r\nAuthorization: Bearer key\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
    for (std::size_t i = 0; i < body.size(); i += 1000) {
        client.send(chunk(body.substr(i, 1000)));
        test::runFor(fixture.base.get(), std::chrono::milliseconds { i % 50'000 == 0 ? 1 : 0 });
    }
    client.send("0\r\n\r\n");
    for (int i = 0; i < 2; ++i) {
        auto& server = fixture.nextRequest();
        fixture.waitFor([&] { return server.received.ends_with(body); });
        CHECK(server.has("Content-Length: " + std::to_string(body.size()) + "\r\n"));
        server.send(makeResponse(i == 0 ? "500 Error" : "200 OK", "done"));
    }
    fixture.waitFor([&] { return client.has("done"); });
}

TEST_CASE("a response without a length that is reset while the request is sent is not complete", "[proxy]")
{
    const std::string body(3 * 1024 * 1024, 'a');
    const auto wait = GENERATE(0, 50, 500);
    const bool stream = GENERATE(false, true);
    CAPTURE(wait, stream);
    Fixture fixture;
    fixture.setTable(5s);
    fixture.a.setReceiveBuffer(4096);
    fixture.b.setReceiveBuffer(4096);
    auto& client = fixture.client(stream ? "/stream/1" : "/order/1", "POST", body);
    auto& server = fixture.nextRequest();
    server.setReading(false);
    REQUIRE(server.received.size() < body.size());
    server.send(std::string("HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\n")
        + (stream ? "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: part\n\n" : "\r\npart"));
    test::runFor(fixture.base.get(), std::chrono::milliseconds { wait });
    server.closeWithReset();
    if (stream) {
        // The rest of the stream comes from another server.
        auto& next = fixture.nextRequest();
        CHECK_FALSE(client.received.ends_with("0\r\n\r\n"));
        next.send(streamHead + eventChunk(2) + "0\r\n\r\n");
        fixture.waitFor([&] { return client.received.ends_with("0\r\n\r\n"); });
        CHECK(client.has("id: 2\n"));
    } else {
        fixture.waitFor([&] { return client.has("\r\n\r\n"); });
        CHECK(client.has("HTTP/1.1 502 "));
        CHECK_FALSE(client.has("part"));
    }
}

TEST_CASE("a response with a status below 100 ends the attempt at once", "[proxy]")
{
    const auto* status = GENERATE("000", "001", "099", "42");
    const auto* path = GENERATE("/order/1", "/lookup/1");
    CAPTURE(status, path);
    Fixture fixture;
    // Far longer than the client waits here.
    fixture.setTable(60s);
    auto& client = fixture.client(path);
    for (int i = 0; i < 2 && !client.has("\r\n\r\n"); ++i) {
        fixture.nextRequest().send(makeResponse(std::string(status) + " None", "wrong"));
        test::runUntil(fixture.base.get(),
            [&] { return client.has("\r\n\r\n") || fixture.requests().size() > fixture.seen.size(); });
    }
    fixture.waitFor([&] { return client.has("\r\n\r\n"); });
    CHECK(client.has("HTTP/1.1 502 "));
    CHECK_FALSE(client.has("wrong"));
}

TEST_CASE("a response with a blank or control byte in the name of a field does not reach the client", "[proxy]")
{
    for (const char byte : { ' ', '\t', '\x01', '\x08', '\x0b', '\x0c', '\x1f', '\x7f', '\0', '\x80' }) {
        for (const auto& name :
            { std::string("X-Na") + byte + "me", std::string("Content-Length") + byte, byte + std::string("X-Name") }) {
            CAPTURE(static_cast<int>(byte), name);
            Fixture fixture;
            auto& client = fixture.client("/order/1");
            auto& server = fixture.nextRequest();
            server.send(
                "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\n" + name + ": 4\r\nContent-Length: 5\r\n\r\nwrong");
            fixture.waitFor([&] { return client.has("\r\n\r\n"); });
            CHECK(client.has("HTTP/1.1 502 "));
            CHECK_FALSE(client.has("wrong"));
        }
    }
}
