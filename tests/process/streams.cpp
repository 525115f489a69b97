#include <support/deployment.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill::test;

// Guards against answers of a group that are truncated or reordered on the way to the caller.
TEST_CASE("A group of two engines streams a whole answer", "[process]")
{
    Deployment it;
    it.startEngine("engine-1");
    it.startEngine("engine-2");
    REQUIRE(it.serve(1, 2));
    TcpClient caller(it.callers());
    REQUIRE(caller.send(chatRequest(chatBody("whole", 50))));
    REQUIRE(caller.readUntil("\r\n0\r\n\r\n"));
    const auto body = caller.chunkedBody();
    CHECK(tokenIndexes(body).size() == 50);
    CHECK(isConsecutive(tokenIndexes(body)));
    CHECK(body.ends_with("data: [DONE]\n\n"));
}

// Guards against an engine that continues to generate tokens for a disconnected caller.
TEST_CASE("A caller that disconnects cancels its stream at the engine", "[process]")
{
    Deployment it;
    const auto engine = it.startEngine("engine-1");
    REQUIRE(it.serve(1));
    {
        TcpClient caller(it.callers());
        REQUIRE(caller.send(chatRequest(chatBody("gone", 1'000'000))));
        REQUIRE(caller.readUntil("id: 0"));
    }
    CHECK(waitFor([&] { return jsonOf(exchange(engine, "GET", "/stats", {})).at("cancelled") == 1; }));
    CHECK(waitFor([&] { return it.metric("rosemarymill_attempts") == 0; }));
}

// Guards against answers swapped between callers whose own request ids are equal.
TEST_CASE("Two callers with the same X-Request-Id each get their own answer", "[process]")
{
    Deployment it;
    it.startEngine("engine-1");
    REQUIRE(it.serve(1));
    TcpClient first(it.callers());
    TcpClient second(it.callers());
    REQUIRE(first.send(chatRequest(chatBody("first", 20), "X-Request-Id: same\r\n")));
    REQUIRE(second.send(chatRequest(chatBody("second", 20), "X-Request-Id: same\r\n")));
    REQUIRE(first.readUntil("\r\n0\r\n\r\n"));
    REQUIRE(second.readUntil("\r\n0\r\n\r\n"));
    CHECK(tokenIndexes(first.chunkedBody()).size() == 20);
    CHECK(tokenIndexes(second.chunkedBody()).size() == 20);
    CHECK(first.chunkedBody().find("second:") == std::string::npos);
    CHECK(second.chunkedBody().find("first:") == std::string::npos);
}

// Guards against answers that reach the wrong caller when a server swaps them.
TEST_CASE("An answer with another request id never reaches a caller", "[process]")
{
    Deployment it;
    it.startEngine("engine-1", { "--cross-answers" });
    REQUIRE(it.serve(1));
    const auto answer = exchange(it.callers(), "POST", "/v1/chat/completions", chatBody("crossed", 5));
    CHECK(answer.find("crossed:") == std::string::npos);
    CHECK(answer.starts_with("HTTP/1.1 502"));
    CHECK(jsonOf(answer).at("outcome") != "not_run");
    CHECK(waitFor([&] { return it.metric("rosemarymill_attempts") == 0; }));
}

// Guards against a truncated stream that looks complete, and against tokens lost or repeated when a stream moves to
// another server.
TEST_CASE("A stream whose server dies is continued on another server", "[process]")
{
    Deployment it;
    it.startEngine("engine-1", { "--die-after-tokens", "10" });
    REQUIRE(it.serve(1));
    TcpClient caller(it.callers());
    REQUIRE(caller.send(chatRequest(chatBody("dying", 100))));
    REQUIRE(caller.readUntil("id: 8"));
    const auto second = it.startEngine("engine-2");
    REQUIRE(caller.readUntil("\r\n0\r\n\r\n"));
    const auto body = caller.chunkedBody();
    CHECK(tokenIndexes(body).size() == 100);
    CHECK(isConsecutive(tokenIndexes(body)));
    CHECK(body.ends_with("data: [DONE]\n\n"));
    CHECK(jsonOf(exchange(second, "GET", "/stats", {})).at("resumed") == 1);
}

// Guards against gaps and repeats of tokens that a faulty engine sends.
TEST_CASE("A repeated token is forwarded once and a gap is never forwarded", "[process]")
{
    Deployment it;
    const bool repeats = GENERATE(true, false);
    it.startEngine("engine-1", { repeats ? "--repeat-token" : "--skip-token", "3" });
    REQUIRE(it.serve(1));
    TcpClient caller(it.callers());
    REQUIRE(caller.send(chatRequest(chatBody("indexes", 10))));
    REQUIRE(caller.readUntil("\r\n0\r\n\r\n"));
    const auto indexes = tokenIndexes(caller.chunkedBody());
    CHECK(isConsecutive(indexes));
    if (repeats)
        CHECK(indexes.size() == 10);
}

// Guards against a shutdown that cuts off streams (I9).
TEST_CASE("SIGTERM lets a stream finish and exits with 0", "[process]")
{
    Deployment it;
    it.startEngine("engine-1");
    REQUIRE(it.serve(1));
    TcpClient caller(it.callers());
    REQUIRE(caller.send(chatRequest(chatBody("shutdown", 60))));
    REQUIRE(caller.readUntil("id: 0"));
    it.daemon().signal(SIGTERM);
    REQUIRE(caller.readUntil("\r\n0\r\n\r\n"));
    CHECK(tokenIndexes(caller.chunkedBody()).size() == 60);
    CHECK(it.daemon().wait() == 0);
}

// Guards against buffers that grow with slow callers, and against tokens lost when a stream is suspended and resumed.
TEST_CASE("A stalled stream is suspended and resumes without a gap when the caller reads again", "[process]")
{
    Deployment it({ "--stream-stall-ms", "200" });
    const auto engine = it.startEngine("engine-1", { "--tokens-per-second", "0", "--token-bytes", "1000" });
    REQUIRE(it.serve(1));
    constexpr std::uint64_t tokens = 5000;
    constexpr int receiveBufferBytes = 4096;
    TcpClient caller(it.callers(), receiveBufferBytes);
    REQUIRE(caller.send(chatRequest(chatBody("slow", tokens))));
    REQUIRE(waitFor([&] { return it.metric("rosemarymill_streams_parked") >= 1; }));
    CHECK(it.metric("rosemarymill_stream_bytes") < 64 * 1024);
    REQUIRE(caller.readUntil("\r\n0\r\n\r\n"));
    const auto body = caller.chunkedBody();
    CHECK(tokenIndexes(body).size() == tokens);
    CHECK(isConsecutive(tokenIndexes(body)));
    CHECK(jsonOf(exchange(engine, "GET", "/stats", {})).at("resumed") >= 1);
}
