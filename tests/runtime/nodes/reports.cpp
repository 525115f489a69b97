#include <rosemarymill/runtime/nodes/entry_node.hpp>

#include <rosemarymill/core/fleet/document_parts.hpp>
#include <rosemarymill/core/routes/document_table.hpp>
#include <rosemarymill/runtime/base/log.hpp>
#include <rosemarymill/runtime/nodes/subscriber_server.hpp>
#include <rosemarymill/wire/routes/codec.hpp>

#include "support/http.hpp"
#include "support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <sstream>

using namespace rosemarymill;
using runtime::nodes::EntryNode;
using runtime::nodes::Subscriber;
using runtime::nodes::SubscriberServer;
using test::RawConnection;
using test::RawListener;

namespace {

std::string freeAddress(event_base* base) { return RawListener(base).address(); }

/// Entry VM with two model servers, and a control VM that records its reports.
struct World {
    World()
        : base(event_base_new())
        , busy(base.get())
        , silent(base.get())
        , controlAddress(freeAddress(base.get()))
        , entryAddress(freeAddress(base.get()))
        , control(base.get(), controlAddress, { VmId { controlAddress }, DataCentreId { "mixco" }, BootId { "1" } },
              { [this](Subscriber& it) { sendInitialState(it); },
                  [this](Subscriber&, const fleet::Report& it) { reports.push_back(it); },
                  [](Subscriber&, std::uint64_t) {}, [](const VmId&, std::span<const std::byte>) { return true; },
                  [](const Subscriber&) {} })
    {
        runtime::setUpLog(log, node::LogLevel::Info, runtime::LogFormat::Json);
        runtime::nodes::EntryNodeSettings settings;
        settings.vm = VmId { "entry" };
        settings.dataCentre = DataCentreId { "mixco" };
        settings.seeds = { controlAddress };
        settings.proxy.address = runtime::parseAddress(entryAddress).value();
        settings.proxy.dataCentre = settings.dataCentre;
        settings.proxy.retryLimits = { 0.2, 100, 10s };
        settings.proxy.balancer.dataCentre = settings.dataCentre;
        settings.proxy.names = { "X-Id", "X-Deadline", "Last-Event-Id", "X-Model", "X-Tokens", "X-Seal", "X-Not-Run",
            "X-Expect", "X-Account", "X-Rank", "X-Load", "At" };
        entry = std::make_unique<EntryNode>(base.get(), settings, budget);
    }

    static routes::Document document()
    {
        routes::Document document;
        document.version = 1;
        for (const auto* model : { "busy", "silent" }) {
            routes::Route it;
            it.name = model;
            it.host = "x.example";
            it.pathPrefix = "/" + std::string(model) + "/";
            it.kind = routes::RequestKind::Streaming;
            it.resumable = true;
            it.isPublic = true;
            it.timeout = 8s;
            it.maxServers = 2;
            it.shares = { { ServiceName { "llm" }, 1 } };
            document.routes.push_back(it);
        }
        document.services.push_back({ ServiceName { "llm" }, {}, 0, {}, 0, routes::Engine { .slots = 26 } });
        return document;
    }

    void sendInitialState(Subscriber& subscriber)
    {
        fleet::Members members;
        members.leader = controlAddress;
        members.entryVms = { "entry" };
        control.send(subscriber, members);
        routes::DocumentTable table;
        table.replace(document());
        const auto packed = wire::routes::pack(table.changesSince(0)).value();
        for (const auto& it : fleet::splitPush(0, table.version(), std::as_bytes(std::span { packed })))
            control.send(subscriber, it);
        fleet::TargetsPush push;
        push.delta.full = true;
        push.delta.upserts = { target("busy", busy), target("silent", silent) };
        control.send(subscriber, push);
    }

    static fleet::Target target(const std::string& model, const RawListener& listener)
    {
        return { ServerId { model }, listener.address(), ServiceName { "llm" }, DataCentreId { "mixco" },
            ModelName { model }, 26, {} };
    }

    void request(const std::string& model)
    {
        clients.emplace_back(base.get(), runtime::parseAddress(entryAddress).value())
            .send("POST /" + model + "/ HTTP/1.1\r\nHost: x.example\r\nX-Id: " + model + "\r\nX-Model: " + model
                + "\r\nContent-Length: 0\r\n\r\n");
    }

    void waitFor(const std::function<bool()>& done) { REQUIRE(test::runUntil(base.get(), done)); }

    test::EventBase base;
    runtime::ConnectionBudget budget { base.get() };
    std::ostringstream log;
    RawListener busy;
    RawListener silent;
    std::string controlAddress;
    std::string entryAddress;
    std::vector<fleet::Report> reports;
    SubscriberServer control;
    std::unique_ptr<EntryNode> entry;
    std::list<RawConnection> clients;
};

} // namespace

TEST_CASE("a stall report lists all requests of the VM", "[nodes]")
{
    World world;
    world.waitFor([&] { return world.entry->ready(); });
    world.request("busy");
    world.request("silent");
    const auto stalled = [&] {
        return std::find_if(
            world.reports.begin(), world.reports.end(), [](const auto& it) { return !it.stalled.empty(); });
    };
    world.waitFor([&] { return stalled() != world.reports.end(); });
    CHECK(stalled()->loads.size() == 2);
    CHECK(stalled()->traffic);
    CHECK(stalled()->documentVersion == 1);
}
