#include <rosemarymill/runtime/proxy/proxy.hpp>

#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/base/log.hpp>

#include "support/http.hpp"
#include "support/raw_connection.hpp"

#include <catch2/catch.hpp>

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

std::string answer(const std::string& status, const std::string& body, const std::string& headers = "X-Seal: s\r\n",
    const std::string& id = "r1")
{
    return "HTTP/1.1 " + status + "\r\nX-Id: " + id + "\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A proxy between a client and two servers, with a route for each kind of request.
struct World {
    explicit World(double retrySlack = 100)
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
        proxy = std::make_unique<Proxy>(base.get(), settings);
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

    /// Servers that have received a request, in the order of arrival at either of them.
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

    /// Waits for the n-th request at the servers that was not answered yet.
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
    std::ostringstream log;
    RawListener a;
    RawListener b;
    std::unique_ptr<Proxy> proxy;
    std::list<RawConnection> clients;
    std::vector<RawConnection*> seen;
};

} // namespace

TEST_CASE("a request passes unchanged but for the headers of the system", "[proxy]")
{
    World world;
    auto& client
        = world.client("/order/1?x=y", "POST", "book", "X-Account: forged\r\nX-Expect: forged\r\nX-Own: 1\r\n");
    auto& server = world.nextRequest();
    CHECK(server.has("POST /order/1?x=y HTTP/1.1\r\n"));
    CHECK(server.received.ends_with("\r\n\r\nbook"));
    CHECK(server.has("X-Own: 1\r\n"));
    CHECK(server.has("X-Account: brand\r\n"));
    CHECK_FALSE(server.has("forged"));
    CHECK_FALSE(server.has("Authorization"));
    server.send(answer("200 OK", "done"));
    world.waitFor([&] { return client.received.ends_with("done"); });
    CHECK(client.has("HTTP/1.1 200 OK\r\n"));
    CHECK(client.has("X-Seal: s\r\n"));
}

TEST_CASE("requests without a route, key or id are answered at once", "[proxy]")
{
    World world;
    auto& noRoute = world.client("/other/");
    auto& noKey = world.clients.emplace_back(world.base.get(), world.proxy->address());
    noKey.send("GET /order/ HTTP/1.1\r\nHost: x.example\r\nX-Id: r\r\n\r\n");
    auto& noId = world.clients.emplace_back(world.base.get(), world.proxy->address());
    noId.send("GET /order/ HTTP/1.1\r\nHost: x.example\r\nAuthorization: Bearer key\r\n\r\n");
    auto& malformed = world.clients.emplace_back(world.base.get(), world.proxy->address());
    malformed.send(
        "POST /order/ HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    world.waitFor([&] { return noRoute.has(" 404 ") && noKey.has(" 401 ") && noId.has(" 400 ") && malformed.closed; });
    CHECK(malformed.has(" 400 "));
    CHECK(world.requests().empty());
}

TEST_CASE("an order is sent to one server only, whatever becomes of it", "[proxy]")
{
    World world;
    auto& client = world.client("/order/1");
    world.nextRequest().close();
    world.waitFor([&] { return client.has("HTTP/1.1 502 "); });
    CHECK(world.requests().size() == 1);
}

TEST_CASE("an order that a server did not run goes to another one", "[proxy]")
{
    World world;
    auto& client = world.client("/order/1");
    world.nextRequest().send(answer("503 Service Unavailable", "", "X-Not-Run: 1\r\n"));
    world.nextRequest().send(answer("200 OK", "done"));
    world.waitFor([&] { return client.has("done"); });
}

TEST_CASE("a server that does not know its requests gets no more of them", "[proxy]")
{
    World world;
    auto& client = world.client("/order/1");
    auto& wrong = world.nextRequest();
    wrong.send(answer("421 Misdirected Request", ""));
    world.nextRequest().send(answer("200 OK", "done"));
    world.waitFor([&] { return client.has("done"); });
    const auto name = wrong.has("X-Expect: a\r\n") ? "X-Expect: a\r\n" : "X-Expect: b\r\n";
    test::runFor(world.base.get(), std::chrono::milliseconds { 400 });
    for (int i = 0; i < 8; ++i) {
        auto& later = world.client("/order/1");
        auto& server = world.nextRequest();
        CHECK_FALSE(server.has(name));
        // Without Connection: close the next request would follow on the same connection.
        server.send(answer("200 OK", "done", "X-Seal: s\r\nConnection: close\r\n"));
        world.waitFor([&] { return later.has("done"); });
    }
}

TEST_CASE("a head that rejects again and again rests for longer each time", "[proxy]")
{
    World world;
    auto head = World::target("one", world.a);
    head.service = ServiceName { "llm" };
    head.model = ModelName { "large" };
    fleet::TargetDelta delta;
    delta.upserts = { head };
    world.proxy->applyTargets(delta);
    const auto send = [&]() -> RawConnection& {
        return world.client("/model/1", "POST", "body", "X-Model: large\r\nX-Tokens: 1460,80\r\n");
    };
    for (int i = 0; i < 2; ++i) {
        auto& client = send();
        world.nextRequest().send(
            answer("503 Service Unavailable", "", "X-Not-Run: 1\r\nAt: two\r\nConnection: close\r\n"));
        world.waitFor([&] { return client.has("HTTP/1.1 503 "); });
        test::runFor(world.base.get(), std::chrono::milliseconds { 300 });
    }
    auto& client = send();
    world.waitFor([&] { return client.has("HTTP/1.1 503 "); });
    CHECK(world.requests().size() == 2);
}

TEST_CASE("a refusal of a server that promises nothing is not passed on as a promise", "[proxy]")
{
    World world;
    auto& client = world.client("/order/1");
    world.nextRequest().send(answer("503 Service Unavailable", "", "X-Seal: s\r\n"));
    world.waitFor([&] { return client.has("HTTP/1.1 502 "); });
}

TEST_CASE("an order under way at its time limit is not said to be unrun", "[proxy]")
{
    World world;
    world.setTable(300ms);
    auto& client = world.client("/order/1");
    auto& server = world.nextRequest();
    world.waitFor([&] { return client.has("HTTP/1.1 504 "); });
    world.waitFor([&] { return server.closed; });
}

TEST_CASE("a lookup goes to a second server after an error", "[proxy]")
{
    World world;
    auto& client = world.client("/lookup/1", "GET", "");
    world.nextRequest().send(answer("500 Internal Server Error", "failed"));
    world.nextRequest().send(answer("200 OK", "found"));
    world.waitFor([&] { return client.has("found"); });
    CHECK_FALSE(client.has("failed"));
}

TEST_CASE("repeats are counted by the end of the attempt before", "[proxy]")
{
    World world;
    auto& client = world.client("/lookup/1", "GET", "");
    world.nextRequest().send(answer("500 Internal Server Error", "failed"));
    world.nextRequest().send(answer("200 OK", "found"));
    world.waitFor([&] { return client.has("found"); });
    std::ostringstream metrics;
    world.proxy->writeMetrics(metrics);
    CHECK_THAT(metrics.str(), Catch::Contains("rosemarymill_proxy_repeats_total{cause=\"server error\"} 1\n"));
    CHECK_THAT(metrics.str(), Catch::Contains("rosemarymill_proxy_repeats_total{cause=\"rejected\"} 0\n"));
    CHECK_THAT(metrics.str(), Catch::Contains("rosemarymill_proxy_retry_budget_left{service=\"desk\"} "));
    CHECK_THAT(metrics.str(), Catch::Contains("rosemarymill_proxy_entry_vms 1\n"));
}

TEST_CASE("a lookup goes to a second server after silence", "[proxy]")
{
    World world;
    auto& client = world.client("/lookup/1", "GET", "");
    auto& silent = world.nextRequest();
    world.nextRequest().send(answer("200 OK", "found"));
    world.waitFor([&] { return client.has("found"); });
    CHECK(silent.closed);
}

TEST_CASE("a request that was given up does not reach its server later", "[proxy]")
{
    World world;
    for (auto* it : { &world.a, &world.b }) {
        it->setReceiveBuffer(4096);
        it->reading = false;
    }
    const std::string body(1024 * 1024, 'x');
    SECTION("after silence")
    {
        auto& client = world.client("/lookup/1", "POST", body);
        world.waitFor([&] { return world.a.acceptedConnections.size() + world.b.acceptedConnections.size() == 2; });
        // The first of the two requests was given up, and the second one is answered.
        auto& first = world.log.str().find("\"server\":\"a\"") != std::string::npos ? world.a : world.b;
        auto& second = &first == &world.a ? world.b : world.a;
        auto& givenUp = first.acceptedConnections.front();
        givenUp.setReading(true);
        second.acceptedConnections.front().setReading(true);
        world.waitFor([&] { return second.acceptedConnections.front().received.ends_with(body); });
        second.acceptedConnections.front().send(answer("200 OK", "found"));
        world.waitFor([&] { return client.has("found") && givenUp.closed; });
        CHECK(givenUp.reset);
        CHECK(givenUp.received.size() < body.size());
    }
    SECTION("after its client has gone")
    {
        auto& client = world.client("/order/1", "POST", body);
        world.waitFor([&] { return world.a.acceptedConnections.size() + world.b.acceptedConnections.size() == 1; });
        auto& givenUp = (world.a.acceptedConnections.empty() ? world.b : world.a).acceptedConnections.front();
        client.close();
        world.waitFor([&] { return Catch::Contains("client gone").match(world.log.str()); });
        givenUp.setReading(true);
        world.waitFor([&] { return givenUp.closed; });
        CHECK(givenUp.reset);
        CHECK(givenUp.received.size() < body.size());
    }
}

// The platform excuses a late arrival for its contact time, 3 s at least, after a link was cut.
TEST_CASE("a request that its server does not take is lost within the contact time", "[proxy]")
{
    constexpr Duration contactTime = 3s;
    World world;
    world.setTable(10s);
    for (auto* it : { &world.a, &world.b }) {
        it->setReceiveBuffer(4096);
        it->reading = false;
    }
    const std::string body(1024 * 1024, 'x');
    world.client("/order/1", "POST", body);
    world.waitFor([&] { return world.a.acceptedConnections.size() + world.b.acceptedConnections.size() == 1; });
    auto& server = (world.a.acceptedConnections.empty() ? world.b : world.a).acceptedConnections.front();
    const auto end = runtime::readClock() + contactTime;
    world.waitFor([&] { return runtime::readClock() >= end; });
    server.setReading(true);
    world.waitFor([&] { return server.closed; });
    CHECK(server.reset);
    CHECK(server.received.size() < body.size());
}

TEST_CASE("answers that are not the server's answer to this request never reach the client", "[proxy]")
{
    World world;
    for (const auto& wrong : {
             answer("200 OK", "wrong", "X-Seal: s\r\n", "r2"),
             answer("200 OK", "wrong", ""),
             answer("200 OK", "wrong", "X-Seal: s\r\nContent-Encoding: gzip\r\n"),
             std::string("nonsense wrong\r\n\r\n"),
         }) {
        CAPTURE(wrong);
        auto& client = world.client("/order/1");
        world.nextRequest().send(wrong);
        world.waitFor([&] { return client.has("HTTP/1.1 502 "); });
        CHECK_FALSE(client.has("wrong"));
    }
}

TEST_CASE("a cut answer does not look complete", "[proxy]")
{
    World world;
    auto& client = world.client("/order/1");
    auto& server = world.nextRequest();
    server.send("HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\nContent-Length: 10\r\n\r\nhalf");
    test::runFor(world.base.get(), std::chrono::milliseconds { 50 });
    server.close();
    world.waitFor([&] { return client.has("HTTP/1.1 502 "); });
    CHECK_FALSE(client.has("half"));
}

TEST_CASE("a refusal that is repeated on a kept connection does not answer the next order", "[proxy]")
{
    World world;
    fleet::TargetDelta one;
    one.withdrawn = { ServerId { "b" } };
    world.proxy->applyTargets(one);
    const auto refusal = GENERATE(std::string("503 Service Unavailable"), "429 Too Many Requests", "421 Misdirected");
    CAPTURE(refusal);
    const std::string headers = "X-Not-Run: 1\r\nX-Load: 900,900,6\r\nAt: a\r\nX-Seal: s\r\n";
    auto& first = world.client("/order/1");
    auto& server = world.nextRequest();
    server.send(answer("200 OK", "one"));
    world.waitFor([&] { return first.has("one"); });
    // The server is known again, and the connection was in use a moment ago.
    fleet::TargetDelta both;
    both.upserts = { World::target("b", world.b) };
    server.received.clear();
    auto& second = world.clients.emplace_back(world.base.get(), world.proxy->address());
    second.send("POST /order/2 HTTP/1.1\r\nHost: x.example\r\nX-Id: r2\r\nAuthorization: Bearer key\r\n"
                "Content-Length: 4\r\n\r\nnext");
    world.waitFor([&] { return server.has("/order/2") && server.has("next"); });
    world.proxy->applyTargets(both);
    server.send(answer(refusal, "refused", headers, "r1"));
    test::runFor(world.base.get(), std::chrono::milliseconds { 50 });
    CHECK(world.b.acceptedConnections.empty());
    CHECK_FALSE(second.has(" 503 "));
    server.send(answer("200 OK", "two", "X-Seal: s\r\n", "r2"));
    world.waitFor([&] { return second.has("two"); });
    CHECK(world.b.acceptedConnections.empty());
    CHECK_FALSE(second.has("refused"));
}

TEST_CASE("a refusal of an earlier request is no refusal of an order, though nothing else comes", "[proxy]")
{
    World world;
    auto& client = world.client("/order/1");
    world.nextRequest().send(answer("503 Service Unavailable", "", "X-Not-Run: 1\r\n", "r0"));
    world.waitFor([&] { return client.has("\r\n\r\n"); });
    CHECK(client.has("HTTP/1.1 502 "));
    CHECK(world.requests().size() == 1);
}

TEST_CASE("bytes behind an answer close the connection to the server", "[proxy]")
{
    World world;
    auto& client = world.client("/order/1");
    auto& server = world.nextRequest();
    server.send(answer("200 OK", "done") + answer("200 OK", "late", "X-Seal: s\r\n", "r0"));
    world.waitFor([&] { return client.has("done") && server.closed; });
    CHECK_FALSE(client.has("late"));
}

TEST_CASE("a stream continues on another server after its last whole event", "[proxy]")
{
    World world;
    auto& client = world.client("/stream/1");
    auto& first = world.nextRequest();
    first.send(streamHead + eventChunk(1) + eventChunk(2) + chunk("id: 3\nda"));
    world.waitFor([&] { return client.has("id: 2"); });
    first.close();
    auto& second = world.nextRequest();
    CHECK(second.has("Last-Event-Id: 2\r\n"));
    second.send(streamHead + eventChunk(3) + eventChunk(4) + "0\r\n\r\n");
    world.waitFor([&] { return client.received.ends_with("0\r\n\r\n"); });
    for (int id = 1; id <= 4; ++id) {
        const auto text = "id: " + std::to_string(id) + "\n";
        CHECK(client.received.find(text) == client.received.rfind(text));
        CHECK(client.has(text));
    }
    CHECK(client.received.find("HTTP/1.1") == client.received.rfind("HTTP/1.1"));
}

TEST_CASE("a stream leaves a server whose group is lost", "[proxy]")
{
    World world;
    auto& client = world.client("/stream/1");
    auto& first = world.nextRequest();
    first.send(streamHead + eventChunk(1));
    world.waitFor([&] { return client.has("id: 1"); });
    fleet::TargetDelta delta;
    delta.lost = { ServerId { world.a.acceptedConnections.empty() ? "b" : "a" } };
    world.proxy->applyTargets(delta);
    world.nextRequest().send(streamHead + eventChunk(2) + "0\r\n\r\n");
    world.waitFor([&] { return client.received.ends_with("0\r\n\r\n"); });
    CHECK(first.closed);
}

TEST_CASE("a stream runs on no more heads than its route allows, though their groups are lost", "[proxy]")
{
    World world;
    const auto head = [](const std::string& id, const RawListener& listener) {
        auto it = World::target(id, listener);
        it.service = ServiceName { "llm" };
        it.model = ModelName { "large" };
        return it;
    };
    fleet::TargetDelta delta;
    delta.upserts = { head("one", world.a), head("two", world.b) };
    world.proxy->applyTargets(delta);
    auto& client = world.client("/model/1", "POST", "body", "X-Model: large\r\nX-Tokens: 1460,80\r\n");
    for (int i = 0; i < 2; ++i) {
        auto& server = world.nextRequest();
        server.send(streamHead + eventChunk(i + 1));
        world.waitFor([&] { return client.has("id: " + std::to_string(i + 1)); });
        fleet::TargetDelta change;
        change.lost = { ServerId { server.has("X-Expect: one\r\n") ? "one" : "two" } };
        change.upserts = { head("three", world.a) };
        world.proxy->applyTargets(i == 0 ? fleet::TargetDelta { .lost = change.lost } : change);
    }
    world.waitFor([&] { return client.closed; });
    CHECK(world.requests().size() == 2);
}

TEST_CASE("streams that wait for a server together repeat no more than the budget allows", "[proxy]")
{
    // A new process takes a quarter of the slack: one repeat, and the ratio gives less than another.
    World world(4);
    constexpr int streams = 3;
    std::vector<RawConnection*> callers;
    for (int i = 0; i < streams; ++i) {
        callers.push_back(&world.client("/stream/1"));
        world.nextRequest().send(streamHead + eventChunk(1));
        world.waitFor([&] { return callers.back()->has("id: 1"); });
    }
    fleet::TargetDelta lost;
    lost.lost = { ServerId { "a" }, ServerId { "b" } };
    world.proxy->applyTargets(lost);
    fleet::TargetDelta announced;
    announced.upserts = { World::target("c", world.a) };
    world.proxy->applyTargets(announced);
    world.waitFor([&] {
        return std::count_if(callers.begin(), callers.end(), [](auto* it) { return it->closed; }) == streams - 1;
    });
    CHECK(world.requests().size() == streams + 1);
}

TEST_CASE("a stream that cannot continue is cut, not ended", "[proxy]")
{
    World world;
    auto& client = world.client("/stream/1");
    for (int i = 0; i < 2; ++i) {
        auto& server = world.nextRequest();
        server.send(streamHead + eventChunk(i + 1));
        world.waitFor([&] { return client.has("id: " + std::to_string(i + 1)); });
        server.close();
    }
    world.waitFor([&] { return client.closed; });
    CHECK_FALSE(client.received.ends_with("0\r\n\r\n"));
}

TEST_CASE("what is not the rest of a stream neither ends it nor comes into it", "[proxy]")
{
    World world;
    const std::string other = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n";
    const auto wrong = GENERATE_COPY(answer("500 Internal Server Error", "wrong"), answer("404 Not Found", "wrong"),
        answer("302 Found", "wrong", "X-Seal: s\r\nLocation: /wrong\r\n"),
        std::string("HTTP/1.1 204 No Content\r\nX-Id: r1\r\nX-Seal: s\r\n\r\n"), answer("200 OK", "wrong"),
        other + "Content-Length: 0\r\n\r\n", streamHead + "0\r\n\r\n",
        streamHead + chunk("event: error\ndata: wrong\n\n") + "0\r\n\r\n",
        streamHead + chunk("data: wrong\n\n") + eventChunk(2) + "0\r\n\r\n");
    CAPTURE(wrong);
    auto& client = world.client("/stream/1");
    auto& first = world.nextRequest();
    first.send(streamHead + eventChunk(1));
    world.waitFor([&] { return client.has("id: 1"); });
    first.close();
    world.nextRequest().send(wrong);
    world.waitFor([&] { return client.closed; });
    CHECK_FALSE(client.has("wrong"));
    CHECK_FALSE(client.has("id: 2"));
    CHECK_FALSE(client.received.ends_with("0\r\n\r\n"));
    CHECK(client.received.find("HTTP/1.1") == client.received.rfind("HTTP/1.1"));
}

TEST_CASE("an empty stream and events without ids are passed on where a server answers all of the request", "[proxy]")
{
    World world;
    const auto body = GENERATE(std::string {}, chunk("data: t\n\n"));
    auto& client = world.client("/stream/1");
    world.nextRequest().send(streamHead + body + "0\r\n\r\n");
    world.waitFor([&] { return client.received.ends_with("0\r\n\r\n"); });
}

TEST_CASE("a client that stops reading holds little memory and loses nothing", "[proxy]")
{
    World world;
    auto& client = world.client("/stream/1");
    auto& server = world.nextRequest();
    client.setReading(false);
    constexpr int events = 4000;
    const std::string filling(2000, 'x');
    server.send(streamHead);
    for (int id = 1; id <= events; ++id)
        server.send(chunk("id: " + std::to_string(id) + "\ndata: " + filling + "\n\n"));
    server.send("0\r\n\r\n");
    test::runFor(world.base.get(), std::chrono::milliseconds { 300 });
    // The proxy's own marks are 128 KiB; the rest is in the kernel's buffers or still at the server.
    CHECK(world.proxy->counters().events < events / 2);
    client.setReading(true);
    world.waitFor([&] { return client.received.ends_with("0\r\n\r\n"); });
    CHECK(world.proxy->counters().events == events);
}

TEST_CASE("the request is cancelled at the server when the client leaves", "[proxy]")
{
    World world;
    auto& client = world.client("/stream/1");
    auto& server = world.nextRequest();
    client.close();
    world.waitFor([&] { return server.closed; });
    CHECK(world.proxy->activeCalls() == 0);
}

TEST_CASE("requests on one connection are answered in turn", "[proxy]")
{
    World world;
    auto& client = world.client("/order/1");
    client.send("POST /order/2 HTTP/1.1\r\nHost: x.example\r\nX-Id: r2\r\nAuthorization: Bearer key\r\n"
                "Transfer-Encoding: chunked\r\n\r\n4\r\nnext\r\n0\r\n\r\n");
    auto& server = world.nextRequest();
    CHECK_FALSE(server.has("/order/2"));
    server.send(answer("200 OK", "one"));
    world.waitFor([&] { return client.has("one"); });
    std::function<bool()> second = [&] {
        for (auto* it : world.requests()) {
            if (it->has("/order/2") && it->has("next"))
                it->send(std::exchange(it->received, {}).empty() ? "" : answer("200 OK", "two", "X-Seal: s\r\n", "r2"));
        }
        return client.has("two");
    };
    world.waitFor(second);
}

TEST_CASE("a shutting down proxy closes connections behind answers and refuses late streams", "[proxy]")
{
    World world;
    world.proxy->shutDown({ runtime::readClock() - 4s, 8s });
    auto& stream = world.client("/stream/1");
    world.waitFor([&] { return stream.closed; });
    CHECK(stream.has("HTTP/1.1 503 "));
    CHECK(stream.has("Retry-After: 0.02"));
    auto& order = world.client("/order/1");
    world.nextRequest().send(answer("200 OK", "done"));
    world.waitFor([&] { return order.closed; });
    CHECK(order.has("Connection: close\r\n"));
    CHECK(order.has("done"));
}

TEST_CASE("each call leaves a line with its id and the inputs of its outcome", "[proxy]")
{
    World world;
    auto& client = world.client("/order/1");
    world.nextRequest().send(answer("200 OK", "done"));
    world.waitFor([&] { return client.has("done"); });
    const auto log = world.log.str();
    for (const auto* part : { R"("request":"r1")", R"("route":"/order/")", R"("status":"200")", R"("document":"1")" })
        CHECK(log.find(part) != std::string::npos);
}

TEST_CASE(
    "the lines of a request have the same fingerprint under another id, and tell whether it may have begun", "[proxy]")
{
    World world;
    auto& first = world.client("/order/1");
    world.nextRequest().close();
    world.waitFor([&] { return first.has(" 502 "); });
    auto& second = world.clients.emplace_back(world.base.get(), world.proxy->address());
    second.send("POST /order/1 HTTP/1.1\r\nHost: x.example\r\nX-Id: r2\r\nAuthorization: Bearer key\r\n"
                "Content-Length: 4\r\n\r\nbody");
    world.nextRequest().close();
    world.waitFor([&] { return second.has(" 502 "); });
    const std::string field = R"("fingerprint":")";
    const auto log = world.log.str();
    const auto at = log.find(field);
    REQUIRE(at != std::string::npos);
    const auto value = log.substr(at, field.size() + 32);
    CHECK(log.find(value, log.find(R"("request":"r2")")) != std::string::npos);
    CHECK_THAT(log, Catch::Contains(R"("begun":"maybe")"));
}
