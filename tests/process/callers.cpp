#include <support/deployment.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill::test;

// Guards against malformed requests that reach a server, crash the process or are refused without a reason.
TEST_CASE("Malformed requests are refused as not_run", "[process]")
{
    Deployment it;
    it.startEngine("engine-1");
    REQUIRE(it.serve(1));
    const auto post = [&](const std::string& body, const std::string& headers = {}) {
        return exchange(it.callers(), "POST", "/v1/chat/completions", body, headers);
    };
    const std::vector<std::string> bodies { "", "{\"model", "[]", R"({"model":5})", R"({"model":"planner"})",
        R"({"model":"planner","messages":[5]})", R"({"model":"planner","messages":[{"role":1}]})",
        R"({"model":"planner","messages":[{"role":"user"}],"stream":1})",
        R"({"model":"planner","messages":[{"role":"user"}],"max_tokens":-1})" };
    for (const auto& body : bodies) {
        const auto answer = post(body);
        INFO(body << " -> " << answer);
        CHECK(answer.starts_with("HTTP/1.1 400"));
        CHECK(jsonOf(answer).at("outcome") == "not_run");
    }
    CHECK(post(chatBody("late", 1), "X-Request-Deadline-Ms: soon\r\n").starts_with("HTTP/1.1 400"));
    CHECK(post(std::string(1024 * 1024 + 1, 'x')).starts_with("HTTP/1.1 413"));
    const auto wide = "X-A: " + std::string(7000, 'a') + "\r\n";
    CHECK(post(chatBody("wide", 1), wide + wide + wide).starts_with("HTTP/1.1 431"));
    CHECK(exchange(it.callers(), "GET", "/v1/completions", {}).starts_with("HTTP/1.1 405"));
    CHECK(exchange(it.callers(), "GET", "/nowhere", {}).starts_with("HTTP/1.1 404"));
    CHECK(post(chatBody("fine", 3)).starts_with("HTTP/1.1 200"));
}

// Guards against unbounded buffering of an endless body, and against a crash when its connection is closed.
TEST_CASE("An endless request body is cut off and the process keeps serving", "[process]")
{
    Deployment it;
    it.startEngine("engine-1");
    REQUIRE(it.serve(1));
    {
        TcpClient caller(it.callers());
        caller.send("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 4000000000\r\n\r\n");
        const std::string part(1024 * 1024, 'x');
        int sent = 0;
        while (sent < 1000 && caller.send(part))
            ++sent;
        CHECK(sent < 1000);
    }
    CHECK(exchange(it.callers(), "POST", "/v1/chat/completions", chatBody("fine", 3)).starts_with("HTTP/1.1 200"));
}

// Guards against connections that are kept open by sending a request byte by byte.
TEST_CASE("A connection whose request does not arrive in time is closed", "[process]")
{
    Deployment it;
    TcpClient caller(it.callers());
    REQUIRE(caller.send("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Le"));
    CHECK(caller.readToEnd());
}

// Guards against a pipelined request that stays without answer on a connection that stays open.
TEST_CASE("A pipelined request ends the connection after the first answer", "[process]")
{
    Deployment it;
    it.startEngine("engine-1");
    REQUIRE(it.serve(1));
    TcpClient caller(it.callers());
    REQUIRE(caller.send(chatRequest(chatBody("one", 3)) + chatRequest(chatBody("two", 3))));
    CHECK(caller.readToEnd());
    CHECK(tokenIndexes(caller.received()).size() == 3);
    CHECK(caller.received().find("two:") == std::string::npos);
}

// Guards against connections that are closed between the requests of one caller.
TEST_CASE("A connection serves several requests one after the other", "[process]")
{
    Deployment it;
    it.startEngine("engine-1");
    REQUIRE(it.serve(1));
    TcpClient caller(it.callers());
    REQUIRE(caller.send(chatRequest(chatBody("one", 3, false))));
    REQUIRE(caller.readUntil("one:2"));
    REQUIRE(caller.send(chatRequest(chatBody("two", 3, false))));
    CHECK(caller.readUntil("two:2"));
}

// Guards against a refusal without outcome or Retry-After, and against callers that wait beyond their deadline.
TEST_CASE("A call without a free slot is refused as not_run when its deadline passes", "[process]")
{
    Deployment it;
    it.startEngine("engine-1", { "--max-requests", "1" });
    REQUIRE(it.serve(1));
    TcpClient first(it.callers());
    REQUIRE(first.send(chatRequest(chatBody("first", 1'000'000))));
    REQUIRE(first.readUntil("id: 0"));
    const auto answer = exchange(
        it.callers(), "POST", "/v1/chat/completions", chatBody("second", 3), "X-Request-Deadline-Ms: 300\r\n");
    INFO(answer);
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("Retry-After: ") != std::string::npos);
    CHECK(answer.find("application/problem+json") != std::string::npos);
    CHECK(jsonOf(answer).at("outcome") == "not_run");
}

// Guards against a trace context lost at the entry VM and against bearer tokens that reach backend servers.
TEST_CASE("The trace context is forwarded and the bearer token is not", "[process]")
{
    Deployment it;
    const auto engine = it.startEngine("engine-1");
    REQUIRE(it.serve(1));
    const std::string trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    const auto answer = exchange(
        it.callers(), "POST", "/v1/chat/completions", chatBody("trace", 3, false), "traceparent: " + trace + "\r\n");
    CHECK(answer.starts_with("HTTP/1.1 200"));
    const auto stats = jsonOf(exchange(engine, "GET", "/stats", {}));
    CHECK(stats.at("last_traceparent").get<std::string>().find("0af7651916cd43dd8448eb211c80319c") == 3);
    CHECK(stats.at("last_authorization").get<std::string>().empty());
}

// Guards against an order whose answer is lost being reported as not run (I6).
TEST_CASE("An order that was executed before its server died is not reported as not_run", "[process]")
{
    Deployment it;
    it.startService("desk-1", { "--die-after", "1" });
    REQUIRE(it.serve(0));
    const auto answer
        = exchange(it.callers(), "POST", "/v1/services/kit-desk/orders", "{}", "Idempotency-Key: order-1\r\n");
    INFO(answer);
    CHECK(jsonOf(answer).at("outcome") == "unknown");
}

// Guards against malformed or contradictory announcements that enter the registry.
TEST_CASE("A malformed or contradictory announcement is refused with a reason", "[process]")
{
    Deployment it;
    const auto announce
        = [&](const std::string& body) { return exchange(it.callers(), "POST", "/v1/backends/announce", body); };
    const nlohmann::json good { { "id", "engine-9" }, { "boot_id", "b" }, { "vm", "vm-9" }, { "data_centre", "mixco" },
        { "fabric_domain", "f" }, { "address", "127.0.0.1:1" }, { "accelerators", 1 }, { "kind", "engine" } };
    CHECK(announce(good.dump()).starts_with("HTTP/1.1 200"));
    const std::vector<std::pair<std::string, nlohmann::json>> faults { { "id", "" }, { "address", "host:1" },
        { "address", 5 }, { "kind", "toaster" }, { "data_centre", "antigua" }, { "max_requests", 0 },
        { "accelerators", -1 }, { "models", "none" }, { "group", { { "id", 1 }, { "fencing", 5 }, { "rank", 0 } } } };
    for (const auto& [member, value] : faults) {
        auto bad = good;
        bad[member] = value;
        const auto answer = announce(bad.dump());
        INFO(member << " " << value << " -> " << answer);
        CHECK(answer.starts_with("HTTP/1.1 400"));
        CHECK(!jsonOf(answer).at("reason").get<std::string>().empty());
    }
    CHECK(announce("{").starts_with("HTTP/1.1 400"));
}
