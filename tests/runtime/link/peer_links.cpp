#include <rosemarymill/runtime/link/connection.hpp>
#include <rosemarymill/runtime/link/peer_links.hpp>

#include "support/http.hpp"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <chrono>
#include <functional>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace rosemarymill;
using runtime::PeerLinks;
using wire::FrameKind;

namespace {

/// Runs the loop until the condition holds or the limit has passed.
bool runUntil(event_base& base, const std::function<bool()>& done, std::chrono::seconds limit = 10s)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!done() && std::chrono::steady_clock::now() < deadline) {
        const timeval slice { 0, 5'000 };
        event_base_loopexit(&base, &slice);
        event_base_dispatch(&base);
    }
    return done();
}

struct Process {
    Process(event_base& base, const std::string& vm, std::uint16_t port = 0)
    {
        node::Settings self;
        self.vm = VmId { vm };
        self.dataCentre = DataCentreId { "mixco" };
        self.bootId = BootId { "boot-" + vm };
        links = PeerLinks::open(
            base, runtime::parseAddress("127.0.0.1:" + std::to_string(port)).value(), self, [](node::Event&&) {
            }).value();
        links->onForward([this](const VmId& from, std::span<const std::byte> payload) {
            received.push_back(from.text() + " " + std::to_string(payload.size()));
            return true;
        });
        links->onLost([this](const VmId& to) { lost.push_back(to); });
    }

    bool send(const std::string& to, const Process& target, std::size_t n)
    {
        const std::vector<std::byte> payload(n, std::byte { 1 });
        return links->send(VmId { to }, formatAddress(target.links->address()), FrameKind::Forward, payload);
    }

    std::unique_ptr<PeerLinks> links;
    std::vector<std::string> received;
    std::vector<VmId> lost;
};

/// Non-blocking client socket that writes raw bytes to a listener.
class RawClient {
public:
    explicit RawClient(std::uint16_t port)
        : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        sockaddr_in it {};
        it.sin_family = AF_INET;
        it.sin_port = htons(port);
        it.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        (void)connect(m_socket, reinterpret_cast<sockaddr*>(&it), sizeof(it));
    }
    ~RawClient() { close(m_socket); }
    RawClient(const RawClient&) = delete;
    RawClient& operator=(const RawClient&) = delete;

    void write(std::span<const std::byte> bytes) const { (void)::send(m_socket, bytes.data(), bytes.size(), 0); }

    /// Whether the peer has closed the connection.
    [[nodiscard]] bool closed() const
    {
        std::array<char, 4096> buf {};
        ssize_t n = 1;
        while (n > 0)
            n = recv(m_socket, buf.data(), buf.size(), 0);
        return n == 0 || errno == ECONNRESET;
    }

private:
    int m_socket;
};

std::vector<std::byte> helloFrame(std::uint16_t version = config::protocolVersion)
{
    wire::Buffer payload;
    encode(wire::link::Hello { VmId { "raw" }, DataCentreId { "mixco" }, BootId { "b" }, version }, payload);
    std::vector<std::byte> frame;
    wire::appendFrame(FrameKind::Hello, payload, frame);
    return frame;
}

} // namespace

TEST_CASE("Frames of all sizes are received in order over a link opened on demand", "[link]")
{
    const test::EventBase base(event_base_new());
    Process a(*base, "a");
    Process b(*base, "b");
    CHECK(a.links->connections() == 0);
    REQUIRE(a.send("b", b, 1));
    REQUIRE(a.send("b", b, wire::maxFramePayloadBytes));
    REQUIRE(a.send("b", b, 0));
    REQUIRE(runUntil(*base, [&] { return b.received.size() == 3; }));
    CHECK(b.received == std::vector<std::string> { "a 1", "a " + std::to_string(wire::maxFramePayloadBytes), "a 0" });
    const auto slot = runtime::LinkCounters::slot(FrameKind::Forward);
    CHECK(a.links->counters().sent[slot].messages == 3);
    CHECK(a.links->counters().sent[slot].bytes == b.links->counters().received[slot].bytes);
    CHECK_FALSE(a.send("b", b, wire::maxFramePayloadBytes + 1));
}

TEST_CASE("A link reconnects after its peer has restarted", "[link]")
{
    const test::EventBase base(event_base_new());
    Process a(*base, "a");
    auto b = std::make_unique<Process>(*base, "b");
    const auto port = portOf(b->links->address());
    a.send("b", *b, 1);
    REQUIRE(runUntil(*base, [&] { return b->received.size() == 1; }));
    b.reset();
    REQUIRE(runUntil(*base, [&] { return a.lost.size() == 1; }));
    b = std::make_unique<Process>(*base, "b", port);
    a.send("b", *b, 2);
    REQUIRE(runUntil(*base, [&] { return b->received.size() == 1; }));
    CHECK(b->received[0] == "a 2");
}

TEST_CASE("Frames for one process are not delivered to another process at the same address", "[link]")
{
    const test::EventBase base(event_base_new());
    Process a(*base, "a");
    Process b(*base, "b");
    a.send("c", b, 1);
    REQUIRE(runUntil(*base, [&] { return !a.lost.empty(); }));
    CHECK(b.received.empty());
    CHECK(a.links->counters().faults == 1);
}

TEST_CASE("Attempts to connect to an unreachable process are delayed by exponential backoff", "[link]")
{
    const test::EventBase base(event_base_new());
    Process a(*base, "a");
    const auto closed = std::make_unique<Process>(*base, "b");
    const auto address = formatAddress(closed->links->address());
    closed->links.reset();
    const auto start = std::chrono::steady_clock::now();
    const std::vector<std::byte> payload(1);
    runUntil(
        *base,
        [&] {
            a.links->send(VmId { "b" }, address, FrameKind::Membership, payload);
            return std::chrono::steady_clock::now() - start > 1s;
        },
        2s);
    // With jitter, delays are at least half of 50, 100, 200, 400 and 800 ms, so that at most 6 attempts fit into 1 s.
    CHECK(a.links->counters().connectFailures >= 1);
    CHECK(a.links->counters().connectFailures <= 7);
}

TEST_CASE("An invalid first frame closes the connection", "[link]")
{
    const test::EventBase base(event_base_new());
    Process a(*base, "a");
    std::vector<std::byte> wrongKind;
    wire::appendFrame(FrameKind::Forward, std::vector<std::byte>(8), wrongKind);
    auto damaged = helloFrame();
    damaged.back() ^= std::byte { 1 };
    const std::vector<std::byte> noise(64, std::byte { 0xff });
    for (const auto& bytes : { wrongKind, damaged, noise, helloFrame(99) }) {
        const auto faults = a.links->counters().faults;
        const RawClient client(portOf(a.links->address()));
        client.write(bytes);
        CHECK(runUntil(*base, [&] { return client.closed(); }));
        CHECK(a.links->counters().faults == faults + 1);
    }
    CHECK(a.links->connections() == 0);
    CHECK(a.received.empty());
}

TEST_CASE("A malformed message and a second Hello close the connection", "[link]")
{
    const test::EventBase base(event_base_new());
    Process a(*base, "a");
    std::vector<std::byte> malformed;
    wire::appendFrame(FrameKind::Agreement, std::vector<std::byte>(40, std::byte { 0x7f }), malformed);
    for (const auto& second : { malformed, helloFrame() }) {
        const RawClient client(portOf(a.links->address()));
        client.write(helloFrame());
        client.write(second);
        CHECK(runUntil(*base, [&] { return client.closed(); }));
    }
    CHECK(a.links->counters().faults == 2);
}

// Guards against a peer that stops in the middle of a frame: without the timeout its buffer and connection are never
// released.
TEST_CASE("An incomplete frame times out", "[link]")
{
    const test::EventBase base(event_base_new());
    std::array<evutil_socket_t, 2> sockets {};
    REQUIRE(evutil_socketpair(AF_UNIX, SOCK_STREAM, 0, sockets.data()) == 0);
    evutil_make_socket_nonblocking(sockets[0]);
    runtime::LinkCounters counters;
    std::vector<std::string> frames;
    runtime::LinkConnection::Handlers handlers;
    handlers.onHello = [](const auto&) { return true; };
    handlers.onFrame = [&](FrameKind, std::span<const std::byte> payload) {
        frames.push_back(std::to_string(payload.size()));
        return true;
    };
    handlers.onClosed = [](const std::string&) {};
    const wire::link::Hello self { VmId { "a" }, DataCentreId { "mixco" }, BootId { "b" }, 1 };
    runtime::LinkConnection connection(
        bufferevent_socket_new(base.get(), sockets[0], BEV_OPT_CLOSE_ON_FREE), self, counters, std::move(handlers));
    std::vector<std::byte> frame;
    wire::appendFrame(FrameKind::Agreement, std::vector<std::byte>(100), frame);
    auto bytes = helloFrame();
    bytes.insert(bytes.end(), frame.begin(), frame.end());
    bytes.insert(bytes.end(), frame.begin(), frame.begin() + 50);
    REQUIRE(write(sockets[1], bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size()));
    REQUIRE(runUntil(*base, [&] { return frames.size() == 1; }));
    const auto now = connection.lastFrame();
    CHECK(connection.timeoutReason(now + runtime::frameTimeout / 2).empty());
    CHECK(connection.timeoutReason(now + runtime::frameTimeout + 5s) == "timed out waiting for the rest of a frame");
    REQUIRE(write(sockets[1], frame.data() + 50, frame.size() - 50) > 0);
    REQUIRE(runUntil(*base, [&] { return frames.size() == 2; }));
    CHECK(connection.timeoutReason(connection.lastFrame() + runtime::frameTimeout + 5s).empty());
    evutil_closesocket(sockets[1]);
}
