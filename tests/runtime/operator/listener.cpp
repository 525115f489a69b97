#include <rosemarymill/core/node/reduce.hpp>
#include <rosemarymill/runtime/operator/listener.hpp>

#include "support/http.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace rosemarymill;
using nlohmann::json;

namespace {

constexpr const char* manifestText = R"({"data_centres": ["mixco"], "weight_store_bytes_per_second": 1,
    "models": [], "accounts": []})";

/// Listener whose events are recorded and answered at once with the result set in the fixture.
struct Fixture {
    Fixture()
    {
        listener = runtime::OperatorListener::open(
            *base, "127.0.0.1:0", state, [this](node::Event&& event) { receive(std::move(event)); },
            [] {
                return std::string("metric 1\n");
            }).value();
    }

    void receive(node::Event&& event)
    {
        RequestId id;
        if (const auto* it = std::get_if<node::ManifestSubmitted>(&event))
            id = it->request;
        else if (const auto* command = std::get_if<node::AvailabilityCommand>(&event))
            id = command->request;
        events.push_back(std::move(event));
        listener->executeEffect({ id, result, Revision { 4 }, Revision { 5 }, "told" });
    }

    test::HttpResponse post(const std::string& path, const std::string& body, const test::Headers& headers = {})
    {
        return test::request(*base, listener->port(), EVHTTP_REQ_POST, path, body, headers);
    }

    test::HttpResponse get(const std::string& path)
    {
        return test::request(*base, listener->port(), EVHTTP_REQ_GET, path);
    }

    static node::Settings settings()
    {
        node::Settings it;
        it.vm = VmId { "entry-1" };
        it.dataCentre = DataCentreId { "mixco" };
        return it;
    }

    test::EventBase base { event_base_new() };
    node::State state { settings() };
    std::vector<node::Event> events;
    node::OperatorResult result { node::OperatorResult::Accepted };
    std::unique_ptr<runtime::OperatorListener> listener;
};

} // namespace

TEST_CASE("A submitted manifest reaches the core with its revision, id and digest", "[operator]")
{
    Fixture it;
    const auto response
        = it.post("/v1/manifest", manifestText, { { "X-Expect-Revision", "3" }, { "X-Submission-Id", "build-7" } });
    CHECK(response.status == 200);
    CHECK(json::parse(response.body) == json::parse(R"({"result": "accepted", "revision": 4, "current": 5,
        "detail": "told"})"));
    const auto& event = std::get<node::ManifestSubmitted>(it.events.at(0));
    CHECK(event.expected == Revision { 3 });
    CHECK(event.submissionId == "build-7");
    CHECK(event.manifest.dataCentres.size() == 1);
    CHECK(it.post("/v1/manifest", manifestText).status == 200);
    const auto& second = std::get<node::ManifestSubmitted>(it.events.at(1));
    CHECK(second.submissionId == second.digest);
    CHECK_FALSE(second.expected.has_value());
}

TEST_CASE("Invalid operator requests are refused without an event", "[operator]")
{
    Fixture it;
    const auto invalid = it.post("/v1/manifest", R"({"data_centres": []})");
    CHECK(invalid.status == 400);
    CHECK(json::parse(invalid.body).at("faults").at(0).at("path") == "/data_centres");
    CHECK(it.post("/v1/manifest", manifestText, { { "X-Expect-Revision", "3x" } }).status == 400);
    CHECK(it.post("/v1/manifest", manifestText, { { "X-Submission-Id", "a b" } }).status == 400);
    CHECK(it.post("/v1/take-out", R"({"kind": "rack", "name": "r1"})").status == 400);
    CHECK(it.post("/v1/take-out", R"({"kind": "vm", "name": "v", "force": true})").status == 400);
    CHECK(it.post("/v1/restart", "{}").status == 404);
    CHECK(it.get("/v1/manifest").status == 404);
    CHECK(it.events.empty());
}

TEST_CASE("Availability commands reach the core, and its results set the HTTP status", "[operator]")
{
    Fixture it;
    it.result = node::OperatorResult::NotAccepted;
    CHECK(it.post("/v1/take-out", R"({"kind": "data-centre", "name": "mixco"})").status == 503);
    it.result = node::OperatorResult::Conflict;
    CHECK(it.post("/v1/bring-back", R"({"kind": "vm", "name": "entry-2"})").status == 409);
    const auto& out = std::get<node::AvailabilityCommand>(it.events.at(0));
    const auto& back = std::get<node::AvailabilityCommand>(it.events.at(1));
    CHECK((out.unit == node::ServiceUnit::DataCentre && out.takeOut && out.name == "mixco"));
    CHECK((back.unit == node::ServiceUnit::Vm && !back.takeOut && back.name == "entry-2"));
    CHECK(out.submissionId != back.submissionId);
}

TEST_CASE("The process is ready only with a configuration and not while it shuts down", "[operator]")
{
    Fixture it;
    CHECK(it.get("/healthz").status == 200);
    CHECK(it.get("/readyz").status == 503);
    it.state.configuration.revision = Revision { 1 };
    CHECK(it.get("/readyz").status == 200);
    CHECK(json::parse(it.get("/v1/status").body).at("configuration").at("revision") == 1);
    CHECK(json::parse(it.get("/v1/revisions").body).at("revisions").size() == 1);
    CHECK(it.get("/metrics").body == "metric 1\n");
    it.state.shuttingDown = true;
    CHECK(it.get("/readyz").status == 503);
}
