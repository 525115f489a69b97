#include <rosemarymill/runtime/nodes/server_client.hpp>

#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/base/log.hpp>

#include "support/endless_response_server.hpp"
#include "support/http.hpp"
#include "support/malformed_responses.hpp"
#include "support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <sstream>

using namespace rosemarymill;
using runtime::nodes::ServerAnswer;
using runtime::nodes::ServerClient;
using test::EndlessResponse;
using test::EndlessResponseServer;

namespace {

constexpr std::size_t mebibyte = 1024 * 1024;

/// Bound for the heap growth during one request. A hundred servers may send endless answers to orders or probes at the
/// same time; together they may use a tenth of a control VM's 256 MB.
constexpr std::size_t maxHeapGrowth = mebibyte;

const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::vector<EndlessResponse> endlessResponses()
{
    return {
        { "HTTP/1.1 200 ", "a" },
        { "HTTP/1.1 200 OK\r\nX-Long: ", "a" },
        { "HTTP/1.1 200 OK\r\n", "X-More: a\r\n" },
        { "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { "HTTP/1.1 200 OK\r\n\r\n", "a" },
        { "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "a" },
        { chunkedHead, "4\r\naaaa\r\n" },
        { chunkedHead + "ffffffffff\r\n", "a" },
        { chunkedHead, "0" },
        { chunkedHead + "0\r\n", "X-More: a\r\n" },
    };
}

struct World {
    ~World() { runtime::setUpLog(node::LogLevel::Error); }

    explicit World(EndlessResponse response)
        : base(event_base_new())
        , server(base.get(), std::move(response))
        , client(base.get())
    {
        runtime::setUpLog(log, node::LogLevel::Debug, runtime::LogFormat::Json);
    }

    bool run(Duration timeout)
    {
        const auto before = test::heapBytes();
        const auto begin = runtime::readClock();
        client.send(server.address(), { "GET", "/api/report", {}, {} }, timeout,
            [this](const ServerAnswer& it) { answer = it; });
        const bool result = test::runUntil(base.get(), [&] {
            heapGrowth = std::max(heapGrowth, test::heapBytes() - std::min(before, test::heapBytes()));
            return answer && server.closed() == 1;
        });
        elapsed = runtime::readClock() - begin;
        return result;
    }

    test::EventBase base;
    std::ostringstream log;
    EndlessResponseServer server;
    ServerClient client;
    std::optional<ServerAnswer> answer;
    std::size_t heapGrowth { 0 };
    Duration elapsed {};
};

} // namespace

TEST_CASE("an order or probe with an endless answer is cancelled at the size limit", "[nodes]")
{
    for (const auto& response : endlessResponses()) {
        World world(response);
        const bool ended = world.run(2s);
        CAPTURE(response.first, response.unit, world.heapGrowth, world.elapsed.count());
        CHECK(ended);
        CHECK(world.heapGrowth < maxHeapGrowth);
        REQUIRE(world.answer);
        CHECK(world.answer->status == 0);
        CHECK_FALSE(world.answer->refused);
        CHECK(world.log.str().find(world.server.address()) != std::string::npos);
    }
}

TEST_CASE("an order or probe is cancelled at its timeout while bytes of an answer keep arriving", "[nodes]")
{
    for (auto response : endlessResponses()) {
        response.pause = std::chrono::milliseconds { 20 };
        World world(response);
        const bool ended = world.run(300ms);
        CAPTURE(response.first, response.unit, world.elapsed.count());
        CHECK(ended);
        CHECK(world.elapsed < 1s);
        REQUIRE(world.answer);
        CHECK(world.answer->status == 0);
    }
}

TEST_CASE("an order that timed out is not delivered to its server later", "[nodes]")
{
    const test::EventBase base(event_base_new());
    test::RawListener server(base.get());
    server.setReceiveBuffer(4096);
    server.reading = false;
    ServerClient client(base.get());
    const std::string body(mebibyte, 'x');
    std::optional<ServerAnswer> answer;
    client.send(server.address(), { "POST", "/api/order", {}, body }, 200ms, [&](const auto& it) { answer = it; });
    REQUIRE(test::runUntil(base.get(), [&] { return answer.has_value(); }));
    CHECK(answer->status == 0);
    auto& peer = server.acceptedConnections.front();
    peer.setReading(true);
    REQUIRE(test::runUntil(base.get(), [&] { return peer.closed; }));
    CHECK(peer.reset);
    CHECK(peer.received.size() < body.size());
}

TEST_CASE("a malformed answer to an order or probe is no answer", "[nodes]")
{
    for (const auto& response : test::malformedResponses()) {
        CAPTURE(response);
        const test::EventBase base(event_base_new());
        test::RawListener server(base.get());
        server.onReceived = [&](test::RawConnection& it) {
            if (it.has("\r\n\r\n"))
                it.send(response);
        };
        ServerClient client(base.get());
        std::optional<ServerAnswer> answer;
        client.send(server.address(), { "POST", "/api/order", {}, "{}" }, 5s, [&](const auto& it) { answer = it; });
        REQUIRE(test::runUntil(base.get(), [&] { return answer.has_value(); }));
        CHECK(answer->status == 0);
        CHECK_FALSE(answer->refused);
    }
}
