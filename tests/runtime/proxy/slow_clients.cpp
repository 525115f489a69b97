#include <rosemarymill/runtime/proxy/proxy.hpp>

#include <rosemarymill/runtime/base/clock.hpp>
#include <rosemarymill/runtime/base/log.hpp>

#include "support/http.hpp"
#include "support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <cerrno>
#include <memory>
#include <string>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace rosemarymill;
using runtime::proxy::Proxy;
using test::RawConnection;
using test::RawListener;

namespace {

/// Bytes that the client reads every `readInterval`.
constexpr std::size_t readBytes = 16 * 1024;
constexpr Duration readInterval = 40ms;

/// Timeout of a request's head, well below the time that the client takes to read the response.
constexpr Duration headerTimeout = 300ms;

constexpr std::size_t bodyBytes = 650'000;

/// Client with a small receive buffer that reads at a steady rate.
class SlowClient {
public:
    SlowClient(const runtime::SocketAddress& to, const std::string& request)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        const int size = static_cast<int>(readBytes);
        setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(runtime::portOf(to));
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        REQUIRE(connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
        REQUIRE(send(m_socket, request.data(), request.size(), 0) == static_cast<ssize_t>(request.size()));
    }
    ~SlowClient() { close(m_socket); }
    SlowClient(const SlowClient&) = delete;
    SlowClient& operator=(const SlowClient&) = delete;

    void readAt(Instant now)
    {
        if (now < m_nextReadAt || closed)
            return;
        m_nextReadAt = now + readInterval;
        std::array<char, readBytes> buf {};
        const auto n = recv(m_socket, buf.data(), buf.size(), MSG_DONTWAIT);
        if (n > 0)
            received += static_cast<std::size_t>(n);
        else if (n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
            closed = true;
    }

    std::size_t received { 0 };
    bool closed { false };

private:
    int m_socket;
    Instant m_nextReadAt;
};

} // namespace

// Guards against responses that are cut off because a slow client is still reading them when the connection may close.
TEST_CASE("a client that reads slowly gets the whole response before its connection closes", "[proxy]")
{
    for (const bool shutsDown : { false, true }) {
        CAPTURE(shutsDown);
        runtime::setUpLog(node::LogLevel::Error);
        const test::EventBase base(event_base_new());
        runtime::ConnectionBudget budget(base.get());
        RawListener server(base.get());
        std::unique_ptr<Proxy> proxy;
        server.onReceived = [&](RawConnection& it) {
            if (!it.has("\r\n\r\n"))
                return;
            it.received.clear();
            if (shutsDown)
                proxy->shutDown({ runtime::readClock(), 8s });
            it.send("HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: s\r\nContent-Length: " + std::to_string(bodyBytes)
                + "\r\n\r\n" + std::string(bodyBytes, 'a'));
        };
        runtime::proxy::ProxySettings settings;
        settings.address = runtime::parseAddress("127.0.0.1:0").value();
        settings.names.attemptId = "X-Id";
        settings.names.seal = "X-Seal";
        settings.retryLimits = { 0.2, 100, 10s };
        proxy = std::make_unique<Proxy>(base.get(), settings, budget);
        proxy->balancer().setEntryVms(1);
        routes::Document document;
        document.version = 1;
        document.limits.headerTimeout = headerTimeout;
        routes::Route route;
        route.name = "r";
        route.host = "x.example";
        route.pathPrefix = "/";
        route.kind = routes::RequestKind::NonIdempotent;
        route.isPublic = true;
        route.timeout = 8s;
        route.maxServers = 1;
        route.shares = { { ServiceName { "desk" }, 1 } };
        document.routes = { route };
        document.services.push_back({ ServiceName { "desk" }, {}, 0, {}, 0, {} });
        proxy->setTable(std::make_shared<routes::Table>(std::move(document)));
        fleet::TargetDelta delta;
        delta.upserts = { { ServerId { "a" }, server.address(), ServiceName { "desk" }, {}, {}, 1000, {} } };
        proxy->applyTargets(delta);

        SlowClient client(proxy->address(),
            std::string("GET /1 HTTP/1.1\r\nHost: x.example\r\nX-Id: r1\r\n")
                + (shutsDown ? "\r\n" : "Connection: close\r\n\r\n"));
        const auto begin = runtime::readClock();
        CHECK(test::runUntil(base.get(), [&] {
            client.readAt(runtime::readClock());
            return client.closed;
        }));
        CAPTURE(client.received);
        CHECK(runtime::readClock() - begin > 2 * headerTimeout);
        CHECK(client.received > bodyBytes);
    }
}
