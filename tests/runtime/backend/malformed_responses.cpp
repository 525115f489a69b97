#include <rosemarymill/runtime/backend/client.hpp>
#include <rosemarymill/runtime/backend/order_sender.hpp>

#include <rosemarymill/runtime/base/clock.hpp>

#include "support/http.hpp"
#include "support/malformed_responses.hpp"
#include "support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <optional>

using namespace rosemarymill;

namespace {

const std::string requestId = "X-Request-Id: vm-7\r\n";

/// Sends one attempt to a server and records how it ends.
struct Attempt {
    explicit Attempt(std::string body = {})
        : base(event_base_new())
        , server(base.get())
        , pool(base.get())
        , client(
              base.get(), pool, [this](node::Event&& event) { record(event); }, [this](CallId) { return &request; },
              "vm")
    {
        request.method = EVHTTP_REQ_POST;
        request.target = "/v1/chat/completions";
        request.body = std::move(body);
    }

    void record(const node::Event& event)
    {
        failed = failed || std::holds_alternative<node::AttemptFailed>(event);
        finished = finished || std::holds_alternative<node::ResponseFinished>(event);
    }

    /// Returns the server's connection once it has received the request's head.
    test::RawConnection& dispatch()
    {
        node::Dispatch effect;
        effect.attempt = AttemptId { 7 };
        effect.call = CallId { 1 };
        effect.address = server.address();
        client.dispatch(effect);
        REQUIRE(test::runUntil(base.get(),
            [&] { return !server.acceptedConnections.empty() && server.acceptedConnections.front().has("\r\n\r\n"); }));
        return server.acceptedConnections.front();
    }

    bool run()
    {
        return test::runUntil(base.get(), [&] { return failed || finished; });
    }

    test::EventBase base;
    test::RawListener server;
    runtime::backend::OutgoingRequest request;
    runtime::backend::ConnectionPool pool;
    runtime::backend::Client client;
    bool failed { false };
    bool finished { false };
};

} // namespace

TEST_CASE("A malformed response fails the attempt", "[backend]")
{
    for (const auto& response : test::malformedResponses(requestId)) {
        CAPTURE(response);
        Attempt attempt;
        attempt.dispatch().send(response);
        CHECK(attempt.run());
        CHECK(attempt.failed);
        CHECK_FALSE(attempt.finished);
    }
}

TEST_CASE("A response without a length that is reset while the request is sent fails the attempt", "[backend]")
{
    const auto wait = GENERATE(0, 50, 500);
    CAPTURE(wait);
    Attempt attempt(std::string(3 * 1024 * 1024, 'a'));
    attempt.server.setReceiveBuffer(4096);
    auto& server = attempt.dispatch();
    server.setReading(false);
    server.send("HTTP/1.1 200 OK\r\n" + requestId + "\r\npart");
    test::runFor(attempt.base.get(), std::chrono::milliseconds { wait });
    server.closeWithReset();
    CHECK(attempt.run());
    CHECK(attempt.failed);
    CHECK_FALSE(attempt.finished);
}

TEST_CASE("A malformed response does not accept an order", "[backend]")
{
    for (const auto& response : test::malformedResponses()) {
        CAPTURE(response);
        const test::EventBase base(event_base_new());
        test::RawListener server(base.get());
        server.onReceived = [&](test::RawConnection& it) {
            if (it.has("\r\n\r\n"))
                it.send(response);
        };
        std::optional<bool> accepted;
        runtime::backend::OrderSender sender(base.get(), [&](node::Event&& event) {
            if (const auto* it = std::get_if<node::OrderAnswered>(&event))
                accepted = it->accepted;
        });
        node::SendOrder effect;
        effect.address = server.address();
        effect.notAfter = runtime::readClock() + 1min;
        sender.send(effect);
        REQUIRE(test::runUntil(base.get(), [&] { return accepted.has_value(); }));
        CHECK(accepted == false);
    }
}
