#include <rosemarymill/runtime/proxy/proxy.hpp>

#include <rosemarymill/runtime/base/clock.hpp>

#include "support/http.hpp"
#include "support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <list>

using namespace rosemarymill;
using runtime::proxy::Proxy;
using test::RawConnection;
using test::RawListener;

namespace {

/// A proxy with servers that close the connection on each request, like a server that crashes on it.
struct Fixture {
    static constexpr std::size_t servers = 40;
    static constexpr std::size_t allowedCrashes = 3;

    Fixture()
        : base(event_base_new())
    {
        runtime::proxy::ProxySettings settings;
        settings.address = runtime::parseAddress("127.0.0.1:0").value();
        settings.dataCentre = DataCentreId { "mixco" };
        settings.retryLimits = { 0.2, 400, 10s };
        settings.balancer.dataCentre = settings.dataCentre;
        settings.seed = 1;
        settings.names = { "X-Id", "X-Deadline", "Last-Event-Id", "X-Model", "X-Tokens", "X-Seal", "X-Not-Run",
            "X-Expect", "X-Account", "X-Rank", "X-Load", "At", "X-Parts" };
        proxy = std::make_unique<Proxy>(base.get(), settings, budget);
        proxy->balancer().setEntryVms(1);
        setTable();
        fleet::TargetDelta delta;
        for (std::size_t i = 0; i < servers; ++i) {
            auto& it = *listeners.emplace_back(std::make_unique<RawListener>(base.get()));
            it.onReceived = [this](RawConnection& peer) {
                if (!peer.has("\r\n\r\n"))
                    return;
                ++arrivals;
                if (respond)
                    respond(peer);
                else
                    peer.close();
            };
            const auto name = std::to_string(i);
            delta.upserts.push_back({ ServerId { "desk" + name }, it.address(), ServiceName { "desk" },
                DataCentreId { "mixco" }, {}, 6, {} });
            delta.upserts.push_back({ ServerId { "head" + name }, it.address(), ServiceName { "llm" },
                DataCentreId { "mixco" }, ModelName { "large" }, 26, {} });
        }
        proxy->applyTargets(delta);
    }

    void setTable()
    {
        routes::Document document;
        document.version = 1;
        const auto add = [&](const char* prefix, routes::RequestKind kind, bool resumable, const char* service) {
            routes::Route it;
            it.name = prefix;
            it.host = "x.example";
            it.pathPrefix = prefix;
            it.kind = kind;
            it.resumable = resumable;
            it.timeout = 5s;
            it.maxServers = kind == routes::RequestKind::NonIdempotent ? 1 : 2;
            it.shares = { { ServiceName { service }, 1 } };
            document.routes.push_back(it);
        };
        add("/order/", routes::RequestKind::NonIdempotent, false, "desk");
        add("/lookup/", routes::RequestKind::Idempotent, false, "desk");
        add("/model/", routes::RequestKind::Streaming, true, "llm");
        document.services.push_back({ ServiceName { "desk" }, {}, 0, {}, 0, {} });
        document.services.push_back({ ServiceName { "llm" }, {}, 0, {}, 0, routes::Engine { .slots = 26 } });
        document.accounts = { { AccountId { "brand" }, { "key" }, {} } };
        proxy->setTable(std::make_shared<routes::Table>(std::move(document)));
    }

    /// Sends a request with a new id and waits for the response.
    std::string send(const std::string& path, const std::string& parts = {})
    {
        auto& client = start(path, parts);
        REQUIRE(test::runUntil(base.get(), [&] { return client.has("\r\n\r\n") || client.closed; }));
        return client.received;
    }

    /// Sends a request with a new id.
    RawConnection& start(const std::string& path, const std::string& parts = {})
    {
        const std::string body = "body";
        auto& client = clients.emplace_back(base.get(), proxy->address());
        client.send("POST " + path + " HTTP/1.1\r\nHost: x.example\r\nX-Id: r" + std::to_string(++sent)
            + "\r\nAuthorization: Bearer key\r\nX-Model: large\r\nX-Tokens: 1460,80\r\nX-Parts: " + parts
            + "\r\nContent-Length: 4\r\n\r\n" + body);
        return client;
    }

    void report(quarantine::ReportKind kind, const Fingerprint& part)
    {
        const std::vector reports { quarantine::partReport(kind, std::vector { part }) };
        proxy->applyCrashReports(reports);
    }

    /// Survivals of parts that the proxy reports.
    std::vector<Fingerprint> survivals()
    {
        std::vector<Fingerprint> parts;
        for (const auto& report : proxy->quarantine().takeReports()) {
            for (const auto& it : report.parts) {
                if (report.kind == quarantine::ReportKind::Cleared)
                    parts.push_back(it.part);
            }
        }
        return parts;
    }

    static Fingerprint partOf(std::string_view id)
    {
        const std::array<std::string_view, 2> part { "prompt part", id };
        return fingerprint(part);
    }

    test::EventBase base;
    runtime::ConnectionBudget budget { base.get() };
    std::vector<std::unique_ptr<RawListener>> listeners;
    std::unique_ptr<Proxy> proxy;
    std::list<RawConnection> clients;
    /// How servers respond; without it, they close the connection.
    std::function<void(RawConnection&)> respond;
    std::size_t arrivals { 0 };
    std::size_t sent { 0 };
};

} // namespace

TEST_CASE("A stream whose servers crash before its first event is sent to at most three servers", "[crashing-request]")
{
    Fixture fixture;
    fixture.send("/model/1");
    CHECK(fixture.arrivals <= Fixture::allowedCrashes);
}

TEST_CASE(
    "A request that crashed three servers is not sent again when it is repeated with a new id", "[crashing-request]")
{
    const auto* path = GENERATE("/model/1", "/lookup/1", "/order/1");
    CAPTURE(path);
    Fixture fixture;
    for (int i = 0; i < 12; ++i)
        fixture.send(path);
    CHECK(fixture.arrivals <= Fixture::allowedCrashes);
}

TEST_CASE(
    "A request with a refused part is refused at once, and others with its remaining parts are sent", "[crashing-part]")
{
    Fixture fixture;
    fixture.report(quarantine::ReportKind::PartRefused, Fixture::partOf("bad"));
    const auto* path = GENERATE("/model/1", "/lookup/1", "/order/1");
    const auto response = fixture.send(path, "shared:40,bad:165,own:9");
    CHECK(response.starts_with("HTTP/1.1 503 "));
    CHECK(response.find("Retry-After: 30") != std::string::npos);
    CHECK(fixture.arrivals == 0);
    // The last part belongs to the request alone.
    fixture.send(path, "shared:40,bad:165");
    CHECK(fixture.arrivals > 0);
}

TEST_CASE("A request that waits at a server is cancelled when one of its parts is refused", "[crashing-part]")
{
    Fixture fixture;
    RawConnection* server = nullptr;
    fixture.respond = [&](RawConnection& peer) { server = &peer; };
    auto& client = fixture.start("/model/1", "shared:40,bad:165,own:9");
    REQUIRE(test::runUntil(fixture.base.get(), [&] { return server != nullptr; }));
    fixture.report(quarantine::ReportKind::PartRefused, Fixture::partOf("bad"));
    REQUIRE(test::runUntil(fixture.base.get(), [&] { return client.has("\r\n\r\n") && server->closed; }));
    CHECK(client.has("HTTP/1.1 502 "));
    CHECK(fixture.arrivals == 1);
}

TEST_CASE("A completed request is reported for its suspected parts, one that ended with its connection is not",
    "[crashing-part]")
{
    Fixture fixture;
    const bool framed = GENERATE(true, false);
    fixture.respond = [&](RawConnection& peer) {
        const auto at = peer.received.find("X-Id: ") + 6;
        const auto id = peer.received.substr(at, peer.received.find('\r', at) - at);
        peer.send("HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Seal: s\r\n" + (framed ? "Content-Length: 2\r\n" : "")
            + "\r\nok");
        if (!framed)
            peer.closeAfterWrite();
    };
    fixture.report(quarantine::ReportKind::PartSuspected, Fixture::partOf("shared"));
    CHECK(fixture.send("/lookup/1", "shared:40,own:9").starts_with("HTTP/1.1 200 "));
    CHECK(fixture.survivals() == (framed ? std::vector { Fixture::partOf("shared") } : std::vector<Fingerprint> {}));
}

TEST_CASE("A stream that a server has been writing for a while is reported for its suspected parts", "[crashing-part]")
{
    Fixture fixture;
    RawConnection* server = nullptr;
    fixture.respond = [&](RawConnection& peer) {
        server = &peer;
        peer.send("HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: t\n\n\r\n");
    };
    fixture.report(quarantine::ReportKind::PartSuspected, Fixture::partOf("shared"));
    auto& client = fixture.start("/model/1", "shared:40,own:9");
    // Events follow fast enough that the server does not count as stalled.
    constexpr int events = 6;
    constexpr std::chrono::milliseconds pause { 150 };
    for (int id = 1; id <= events; ++id) {
        const auto text = "id: " + std::to_string(id);
        if (id > 1)
            server->send("f\r\n" + text + "\ndata: t\n\n\r\n");
        REQUIRE(test::runUntil(fixture.base.get(), [&] { return client.has(text); }));
        if (id == 2)
            CHECK(fixture.survivals().empty());
        test::runFor(fixture.base.get(), pause);
    }
    CHECK(fixture.survivals() == std::vector { Fixture::partOf("shared") });
}
