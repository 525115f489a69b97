#include <platform/decode.hpp>
#include <platform/document.hpp>
#include <platform/heartbeat.hpp>
#include <platform/orders.hpp>
#include <platform/settings.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <limits>

using namespace rosemarymill;
using platform::Json;

namespace {

Json documentJson()
{
    return Json::parse(R"({"version":7,"routes":[
        {"name":"r1","host":"h.example","path_prefix":"/a/","route_kind":"streaming","timeout_ms":8000,"latency_goal_ms":400,
         "priority":1,"split":[{"service":"llm","weight":90},{"service":"desk","weight":10}],"max_attempts":2,
         "public":false,"sticky":true,"resumable":true,"itl_target_ms":250},
        {"name":"r2","host":"h.example","path_prefix":"/b/","route_kind":"mutating","timeout_ms":1000,"service":"desk"}],
        "services":[{"name":"llm","health_path":"/healthz","max_conns":374,"cold_start_s":3.0,"cold_per_s":36.0,
         "inference_engine":{"slots":26,"models":[{"name":"m","size":6,"work_share":0.67,"pace":1.0,"load_time_s":16.0,
         "warmup_s":1.6}],"loads_per_s":5.5,"loads_at_once":8,"formation_ms":300.0}},{"name":"desk"}],
        "limits":{"max_body_bytes":1000,"idle_timeout_ms":15000},
        "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1}]})");
}

Json heartbeatJson()
{
    return Json::parse(R"({"service":"llm","address":"10.0.0.1:80","zone":"z","version":"v1","slots":26,
        "state":"healthy","cold_left_ms":1500,"sequence":4,"born":1700000000000,"failure_domain":"z-d0",
        "staged_models":["m"],"models":[{"name":"m","version":1,"adapter_ids":[]}],
        "group":{"name":"g7","epoch":12,"rank":0,"state":"healthy"}})");
}

/// Time of day soon after the start of the server in the heartbeat.
constexpr std::chrono::milliseconds timeOfDay { 1'700'000'010'000 };

bool rejectsHeartbeat(const std::string& body, const std::string& id = "i-1")
{
    try {
        static_cast<void>(platform::decodeHeartbeat(ServerId { id }, body, timeOfDay));
        return false;
    } catch (const platform::DecodeError&) {
        return true;
    }
}

std::string fault(const Json& json)
{
    const auto faults = platform::decodeDocument(json.dump()).faults;
    return faults.empty() ? std::string {} : faults.front().path;
}

} // namespace

TEST_CASE("a document is decoded into the product's terms", "[platform]")
{
    const auto decoded = platform::decodeDocument(documentJson().dump());
    REQUIRE(decoded.faults.empty());
    const auto& it = decoded.document;
    CHECK(it.version == 7);
    REQUIRE(it.routes.size() == 2);
    CHECK(it.routes[0].kind == routes::RequestKind::Streaming);
    CHECK(it.routes[0].shares.size() == 2);
    CHECK(it.routes[0].maxServers == 2);
    CHECK(it.routes[0].interEventLatencyGoal == 250ms);
    CHECK(it.routes[1].kind == routes::RequestKind::NonIdempotent);
    CHECK_FALSE(it.routes[1].isRetryable());
    REQUIRE(it.services[0].engine);
    CHECK(it.services[0].engine->models[0].loadTime == 16s);
    CHECK(it.services[0].coldRate == 36);
    CHECK(it.limits.bodyBytes == 1000);
    CHECK(it.limits.headerBytes == 16384);
    CHECK(it.accounts[0].keys.size() == 2);
}

TEST_CASE("invalid documents are rejected with path and rule", "[platform]")
{
    CHECK(platform::decodeDocument("{\"version\":").faults.size() == 1);
    CHECK(platform::decodeDocument("[]").faults.size() == 1);
    auto json = documentJson();
    json.erase("version");
    CHECK(fault(json) == "/version");
    json = documentJson();
    json["version"] = 1.5;
    CHECK(fault(json) == "/version");
    json = documentJson();
    json["routes"][0]["route_kind"] = "other";
    CHECK(fault(json) == "/routes/0/route_kind");
    json = documentJson();
    json["routes"][1]["timeout_ms"] = "1000";
    CHECK(fault(json) == "/routes/1/timeout_ms");
    json = documentJson();
    json["routes"][1].erase("service");
    CHECK(fault(json) == "/routes/1/service");
    json = documentJson();
    json["routes"][1]["timeout_ms"] = 0;
    CHECK(fault(json) == "/routes/1/timeout");
    json = documentJson();
    json["tenants"].push_back({ { "name", "t2" }, { "api_keys", { "k2" } } });
    CHECK(fault(json) == "/accounts/1/keys");
}

TEST_CASE("a heartbeat is decoded into the product's terms", "[platform]")
{
    const auto it = platform::decodeHeartbeat(ServerId { "i-1" }, heartbeatJson().dump(), timeOfDay);
    CHECK(it.startedAtMs == 1700000000000);
    CHECK(it.coldLeft == 1500ms);
    CHECK(it.holds(ModelName { "m" }));
    REQUIRE(it.group);
    // The platform's state "healthy" of a member means ready, not open.
    CHECK(it.group->state == fleet::MemberState::Ready);
    CHECK_FALSE(it.draining);
}

TEST_CASE("malformed heartbeats are rejected", "[platform]")
{
    CHECK(rejectsHeartbeat(""));
    CHECK(rejectsHeartbeat("\xff\xfe"));
    CHECK(rejectsHeartbeat("[1]"));
    CHECK(rejectsHeartbeat("null"));
    for (const auto* field : { "service", "address", "zone", "slots", "state", "sequence", "born" }) {
        CAPTURE(field);
        auto json = heartbeatJson();
        json.erase(field);
        CHECK(rejectsHeartbeat(json.dump()));
        json[field] = Json::array();
        CHECK(rejectsHeartbeat(json.dump()));
        json[field] = nullptr;
        CHECK(rejectsHeartbeat(json.dump()));
    }
    auto json = heartbeatJson();
    json["state"] = "happy";
    CHECK(rejectsHeartbeat(json.dump()));
    json = heartbeatJson();
    json["address"] = "nowhere";
    CHECK(rejectsHeartbeat(json.dump()));
    json = heartbeatJson();
    json["born"] = 1.5;
    CHECK(rejectsHeartbeat(json.dump()));
    json = heartbeatJson();
    json["group"]["state"] = "happy";
    CHECK(rejectsHeartbeat(json.dump()));
}

TEST_CASE("heartbeats with deeply nested or oversized values are rejected without a crash", "[platform]")
{
    const auto nested = [](std::size_t levels) { return std::string(levels, '[') + std::string(levels, ']'); };
    // Up to 1 MB, as servers' calls may have 1 MiB; an error contains only an excerpt of such a value.
    for (const std::size_t levels : { 100U, 60'000U, 500'000U }) {
        for (const auto* field : { "service", "models", "staged_models", "group", "slots", "state", "extra" }) {
            CAPTURE(levels, field);
            auto json = heartbeatJson();
            json[field] = "odd";
            auto body = json.dump();
            body.replace(body.find("\"odd\""), 5, nested(levels));
            CHECK(rejectsHeartbeat(body));
        }
    }
    CHECK(rejectsHeartbeat(nested(60'000)));
    CHECK_FALSE(platform::decodeDocument("{\"version\":1,\"routes\":" + nested(60'000) + "}").faults.empty());
    const auto with = [](const char* field, const Json& value) {
        auto json = heartbeatJson();
        json[field] = value;
        return json.dump();
    };
    CHECK(rejectsHeartbeat(with("slots", 99'999'999'999'999)));
    CHECK(rejectsHeartbeat(with("address", "10.0.0.1:99999")));
    CHECK(rejectsHeartbeat(with("service", std::string(1000, 'x'))));
    CHECK(rejectsHeartbeat(
        with("group", { { "name", "g" }, { "epoch", 1 }, { "rank", 99'999'999'999 }, { "state", "open" } })));
    auto body = with("cold_left_ms", "odd");
    body.replace(body.find("\"odd\""), 5, "1e999");
    CHECK(rejectsHeartbeat(body));
    CHECK(rejectsHeartbeat(heartbeatJson().dump(), ""));
    CHECK(rejectsHeartbeat(heartbeatJson().dump(), std::string(1000, 'i')));
}

TEST_CASE("a heartbeat with a start or sequence number from the future is rejected", "[platform]")
{
    const auto with = [](const char* field, std::uint64_t value) {
        auto json = heartbeatJson();
        json[field] = value;
        return json.dump();
    };
    CHECK(rejectsHeartbeat(with("born", 1'900'000'000'000)));
    CHECK(rejectsHeartbeat(with("born", std::numeric_limits<std::uint64_t>::max())));
    CHECK(rejectsHeartbeat(with("sequence", 1'000'000)));
    CHECK(rejectsHeartbeat(with("sequence", std::numeric_limits<std::uint64_t>::max())));
    // A clock that is one minute ahead, and the high sequence number of a server that has run for long, are accepted.
    CHECK_FALSE(rejectsHeartbeat(with("born", static_cast<std::uint64_t>(timeOfDay.count()) + 60'000)));
    auto json = heartbeatJson();
    json["born"] = 1'600'000'000'000;
    json["sequence"] = 50'000'000;
    CHECK_FALSE(rejectsHeartbeat(json.dump()));
}

TEST_CASE("numbers of a document that exceed their type are rejected", "[platform]")
{
    auto json = documentJson();
    json["routes"][0]["max_attempts"] = 99'999'999'999;
    CHECK(fault(json) == "/routes/0/max_attempts");
    json = documentJson();
    json["services"][0]["inference_engine"]["models"][0]["size"] = 4'294'967'296;
    CHECK(fault(json) == "/services/0/inference_engine/models/0/size");
}

TEST_CASE("encoded orders contain fencing number and epoch", "[platform]")
{
    fleet::Order order;
    order.kind = fleet::OrderKind::Join;
    order.group = "g7";
    order.epoch = 12;
    order.model = ModelName { "m" };
    order.members = { ServerId { "i-1" }, ServerId { "i-2" } };
    order.fencing = FencingNumber { 3 };
    const auto request = platform::encodeOrder(ServerId { "i-1" }, order);
    CHECK(request.path == "/api/order");
    CHECK(Json::parse(request.body)
        == Json::parse(R"({"operation":"join","group":"g7","epoch":12,"model_id":"m","members":["i-1","i-2"],
            "fencing_token":3})"));
    order = {};
    order.kind = fleet::OrderKind::Stage;
    order.model = ModelName { "m" };
    CHECK(Json::parse(platform::encodeOrder(ServerId { "i-1" }, order).body)
        == Json::parse(R"({"operation":"phase","model_id":"m","fencing_token":0})"));
}

TEST_CASE("HTTP statuses of orders and probes are interpreted", "[platform]")
{
    using fleet::event::OrderResult;
    using fleet::event::ProbeResult;
    CHECK(platform::interpretOrderStatus(202) == OrderResult::InProgress);
    CHECK(platform::interpretOrderStatus(200) == OrderResult::Done);
    CHECK(platform::interpretOrderStatus(409) == OrderResult::Conflict);
    CHECK(platform::interpretOrderStatus(412) == OrderResult::Fenced);
    CHECK(platform::interpretOrderStatus(421) == OrderResult::Gone);
    CHECK(platform::interpretOrderStatus(0) == OrderResult::Unknown);
    CHECK(platform::interpretOrderStatus(503) == OrderResult::Unknown);
    CHECK(platform::interpretProbeStatus(0) == ProbeResult::TimedOut);
    CHECK(platform::interpretProbeStatus(421) == ProbeResult::Gone);
    CHECK(platform::interpretProbeStatus(503) == ProbeResult::Alive);
}

TEST_CASE("settings are read and checked", "[platform]")
{
    const std::string path = "platform-settings-test.json";
    const auto write = [&](const std::string& text) { std::ofstream(path) << text; };
    write(R"({"node":"core-1","serves":["control"],"ip":"10.0.0.4","zone":"z","internal_ports":[7340,7355],
        "seeds":["10.0.0.4:80","10.0.0.5:80"],"bootstrap":true,"data_dir":"/data","heartbeat_ms":1200,
        "listen":{"control_plane":"10.0.0.4:80"},"bounds":{"grace_s":8,"catch_up_s":6,"stall_ms":5000,"retry_slack":132,"new":1}})");
    const auto it = platform::readSettings(path);
    CHECK(it.control);
    CHECK_FALSE(it.entry);
    CHECK(it.seeds == std::vector<std::string> { "10.0.0.4:7340", "10.0.0.5:7340" });
    CHECK(it.stallTime == 5s);
    CHECK(it.catchUpTime == 6s);
    CHECK(it.retrySlack == 132);
    CHECK(it.connections.bytes == limits::ConnectionLimits {}.bytes);
    CHECK(it.connections.connections == limits::ConnectionLimits {}.connections);
    write(R"({"node":"core-1","serves":["control"],"ip":"10.0.0.4","zone":"z","internal_ports":[7340,7355],
        "data_dir":"/data","listen":{"control_plane":"10.0.0.4:80"},"limits":{"memory_mb":240,"max_fds":4200}})");
    CHECK(platform::readSettings(path).connections.bytes == 40'000'000);
    CHECK(platform::readSettings(path).connections.connections == 3500);
    write(R"({"node":"entry-1","serves":["edge"],"ip":"10.0.0.5","zone":"z","internal_ports":[7340,7355],
        "listen":{"frontend":"10.0.0.5:80"},"limits":{"memory_mb":240,"max_fds":4200}})");
    CHECK(platform::readSettings(path).connections.bytes == 80'000'000);
    write(R"({"node":"x","serves":["control"],"ip":"1","zone":"z","internal_ports":[1,2],"listen":{}})");
    CHECK_THROWS_AS(platform::readSettings(path), platform::DecodeError);
    write("node = 1");
    CHECK_THROWS_AS(platform::readSettings(path), platform::DecodeError);
    std::remove(path.c_str());
    CHECK_THROWS(platform::readSettings(path));
}
