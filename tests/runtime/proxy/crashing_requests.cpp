#include <rosemarymill/runtime/proxy/proxy.hpp>

#include <rosemarymill/runtime/base/clock.hpp>

#include "support/http.hpp"
#include "support/raw_connection.hpp"

#include <catch2/catch.hpp>

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
            "X-Expect", "X-Account", "X-Rank", "X-Load", "At" };
        proxy = std::make_unique<Proxy>(base.get(), settings);
        proxy->balancer().setEntryVms(1);
        setTable();
        fleet::TargetDelta delta;
        for (std::size_t i = 0; i < servers; ++i) {
            auto& it = *listeners.emplace_back(std::make_unique<RawListener>(base.get()));
            it.onReceived = [this](RawConnection& peer) {
                if (!peer.has("\r\n\r\n"))
                    return;
                ++arrivals;
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
    std::string send(const std::string& path)
    {
        const std::string body = "body";
        RawConnection client(base.get(), proxy->address());
        client.send("POST " + path + " HTTP/1.1\r\nHost: x.example\r\nX-Id: r" + std::to_string(++sent)
            + "\r\nAuthorization: Bearer key\r\nX-Model: large\r\nX-Tokens: 1460,80\r\nContent-Length: 4\r\n\r\n"
            + body);
        REQUIRE(test::runUntil(base.get(), [&] { return client.has("\r\n\r\n") || client.closed; }));
        return client.received;
    }

    test::EventBase base;
    std::vector<std::unique_ptr<RawListener>> listeners;
    std::unique_ptr<Proxy> proxy;
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
