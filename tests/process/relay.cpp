#include "support.hpp"

#include <rosemarymill/runtime/link/peer_links.hpp>

#include "support/http.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

using namespace rosemarymill;
using nlohmann::json;
using wire::FrameKind;

namespace {

/// Port that is currently free, but not reserved.
std::uint16_t freePort()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in it {};
    it.sin_family = AF_INET;
    it.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(it);
    REQUIRE(bind(socket, reinterpret_cast<sockaddr*>(&it), length) == 0);
    getsockname(socket, reinterpret_cast<sockaddr*>(&it), &length);
    close(socket);
    return ntohs(it.sin_port);
}

std::string loopback(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

std::unique_ptr<runtime::PeerLinks> openLinks(event_base& base, const char* vm)
{
    node::Settings self;
    self.vm = VmId { vm };
    self.dataCentre = DataCentreId { "mixco" };
    self.bootId = BootId { "boot" };
    return runtime::PeerLinks::open(base, runtime::parseAddress("127.0.0.1:0").value(), self, [](node::Event&&) {
    }).value();
}

/// Peer links of VM a, which reach those of VM b only through the relay.
struct Fixture {
    Fixture()
        : relay({ std::string(ROSEMARYMILL_BINARY_DIR) + "/standin/standin-relay", "--listen", loopback(relayPort),
                    "--target", formatAddress(b->address()), "--control", loopback(controlPort) },
            folder.file("relay"))
    {
        b->onForward([this](const VmId&, std::span<const std::byte>) {
            ++received;
            return true;
        });
        test::program::waitFor(folder.file("relay"), "(relay ready)");
    }

    void set(const json& faults)
    {
        const auto response = test::request(*base, controlPort, EVHTTP_REQ_POST, "/set", faults.dump());
        REQUIRE(response.status == 200);
    }

    [[nodiscard]] std::uint64_t counter(const char* name) const
    {
        return json::parse(test::request(*base, controlPort, EVHTTP_REQ_GET, "/counters").body).at(name);
    }

    void send() { a->send(VmId { "b" }, loopback(relayPort), FrameKind::Forward, std::vector<std::byte>(100)); }

    /// Sends every 20 ms until the condition holds, at most 20 s. Returns whether it holds.
    bool sendUntil(const std::function<bool()>& done)
    {
        for (int i = 0; i < 1000 && !done(); ++i) {
            send();
            run(20'000);
        }
        return done();
    }

    void run(suseconds_t microseconds) const
    {
        const timeval slice { 0, microseconds };
        event_base_loopexit(base.get(), &slice);
        event_base_dispatch(base.get());
    }

    test::program::TemporaryFolder folder;
    std::uint16_t relayPort { freePort() };
    std::uint16_t controlPort { freePort() };
    test::EventBase base { event_base_new() };
    std::unique_ptr<runtime::PeerLinks> a { openLinks(*base, "a") };
    std::unique_ptr<runtime::PeerLinks> b { openLinks(*base, "b") };
    int received { 0 };
    test::program::Child relay;
};

} // namespace

TEST_CASE("A link that is cut recovers after the cut has healed", "[process]")
{
    Fixture it;
    REQUIRE(it.sendUntil([&] { return it.received > 0; }));
    it.set({ { "cut", true } });
    const auto before = it.received;
    REQUIRE(it.sendUntil([&] { return it.counter("refused") >= 2; }));
    CHECK(it.received == before);
    it.set({ { "cut", false } });
    CHECK(it.sendUntil([&] { return it.received > before; }));
}

// After a gap in the bytes, frames would be read from a wrong offset. The checksum, and the relay, which breaks the
// connection, keep them from being accepted.
TEST_CASE("A link whose bytes are lost in one direction recovers after it has healed", "[process]")
{
    Fixture it;
    REQUIRE(it.sendUntil([&] { return it.received > 0; }));
    it.set({ { "drop_forward", true } });
    const auto before = it.received;
    REQUIRE(it.sendUntil([&] { return it.counter("bytes_dropped") > 1000; }));
    CHECK(it.received == before);
    it.set({ { "drop_forward", false } });
    CHECK(it.sendUntil([&] { return it.received > before; }));
}

TEST_CASE("The relay delays bytes and an invalid control request changes nothing", "[process]")
{
    Fixture it;
    CHECK(test::request(*it.base, it.controlPort, EVHTTP_REQ_POST, "/set", R"({"delay_ms": "x"})").status == 400);
    it.set({ { "delay_ms", 60'000 } });
    for (int i = 0; i < 10; ++i) {
        it.send();
        it.run(20'000);
    }
    CHECK(it.counter("connections") >= 1);
    CHECK(it.received == 0);
}
