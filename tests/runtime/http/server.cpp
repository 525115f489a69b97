#include <rosemarymill/runtime/http/server.hpp>

#include <rosemarymill/runtime/base/clock.hpp>

#include "support/endless_response_server.hpp"
#include "support/http.hpp"
#include "support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace rosemarymill;
using runtime::http::Exchange;
using runtime::http::Server;
using test::RawConnection;

namespace {

constexpr std::size_t mebibyte = 1024 * 1024;

/// Limit of the heap growth for one client in bytes: the largest body that is kept, and as much again for data in
/// transit.
constexpr std::size_t maxHeapGrowth = 4 * mebibyte;

/// The server's timeout for receiving a request, with a margin for a busy machine.
constexpr Duration closedWithin = std::chrono::seconds { runtime::http::receiveTimeout.tv_sec } + 2s;

} // namespace

TEST_CASE("The connection of an endless request is closed while other clients are served", "[http]")
{
    const std::string head = "POST /echo HTTP/1.1\r\nHost: x\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    for (const auto& [first, unit] : std::initializer_list<std::pair<std::string, std::string>> {
             { "POST /", "a" },
             { head + "X-Long: ", "a" },
             { head, "X-More: a\r\n" },
             { chunked, "4\r\naaaa\r\n" },
             { chunked, "0" },
             { chunked + "4;", "a" },
             { chunked + "0\r\n", "X-More: a\r\n" },
         }) {
        const test::EventBase base(event_base_new());
        runtime::ConnectionBudget budget(base.get());
        Server server(base.get(), runtime::parseAddress("127.0.0.1:0").value(), budget);
        server.route("POST", "/echo", [](Exchange& exchange) { exchange.reply(200, "text/plain", "echoed"); });
        std::string block;
        while (block.size() < 16 * 1024)
            block += unit;
        RawConnection flooding(base.get(), server.address());
        RawConnection other(base.get(), server.address());
        const auto before = test::heapBytes();
        std::size_t growth = 0;
        std::size_t sent = 0;
        std::size_t unsent = 0;
        std::size_t answered = 0;
        flooding.send(first);
        const auto begin = runtime::readClock();
        other.send(head + "Content-Length: 0\r\n\r\n");
        const auto step = [&] {
            // The heap also contains the test's own unsent bytes, so their number is limited.
            for (; flooding.unsentBytes() < 16 * block.size() && !flooding.closed; sent += block.size())
                flooding.send(block);
            unsent = std::max(unsent, flooding.unsentBytes());
            growth = std::max(growth, test::heapBytes() - std::min(before, test::heapBytes()));
            if (other.has("echoed")) {
                ++answered;
                other.received.clear();
                other.send(head + "Content-Length: 0\r\n\r\n");
            }
            return flooding.closed || runtime::readClock() - begin > closedWithin;
        };
        while (!step())
            test::runUntil(base.get(), step);
        CAPTURE(first, unit, sent, unsent, growth, answered, (runtime::readClock() - begin) / 1ms);
        CHECK(flooding.closed);
        CHECK(growth < maxHeapGrowth);
        CHECK(answered > 0);
    }
}

TEST_CASE("A server with a larger body limit accepts a body above the default limit", "[http]")
{
    const std::string body(2 * mebibyte, 'a');
    const auto request
        = "POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    const auto statusLineFor = [&](std::size_t maxBody) {
        const test::EventBase base(event_base_new());
        runtime::ConnectionBudget budget(base.get());
        Server server(base.get(), runtime::parseAddress("127.0.0.1:0").value(), budget, maxBody);
        server.route("POST", "/echo",
            [&](Exchange& exchange) { exchange.reply(exchange.body() == body ? 200 : 500, "text/plain", "echoed"); });
        RawConnection client(base.get(), server.address());
        client.send(request);
        test::runUntil(base.get(), [&] { return client.has("\r\n\r\n"); });
        return client.received.substr(0, client.received.find('\r'));
    };
    CHECK(statusLineFor(4 * mebibyte) == "HTTP/1.1 200 OK");
    CHECK(statusLineFor(runtime::http::maxBodyBytes).starts_with("HTTP/1.1 413"));
}
