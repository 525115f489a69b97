#include <rosemarymill/runtime/nodes/voter_links.hpp>

#include <rosemarymill/runtime/base/clock.hpp>

#include "support/http.hpp"
#include "support/raw_connection.hpp"

#include <catch2/catch.hpp>

using namespace rosemarymill;
using runtime::nodes::VoterLinks;

TEST_CASE("Log messages of a connection reset for unsent bytes are not delivered later", "[nodes]")
{
    const test::EventBase base(event_base_new());
    test::RawListener voter(base.get());
    voter.setReceiveBuffer(4096);
    voter.reading = false;
    VoterLinks links(base.get(), { VmId { "leader" }, DataCentreId { "mixco" }, BootId { "1" } });
    agreement::InstallSnapshot<fleet::Snapshot> install;
    install.snapshot.state.bytes = std::string(512 * 1024, 'x');
    const fleet::LogMessage message { 1, install };
    const VmId to { voter.address() };
    links.send(to, message, runtime::readClock());
    REQUIRE(test::runUntil(base.get(), [&] { return voter.acceptedConnections.size() == 1; }));
    // The first connection is reset when its unsent bytes exceed the limit; the next message opens another one.
    REQUIRE(test::runUntil(base.get(), [&] {
        links.send(to, message, runtime::readClock());
        return voter.acceptedConnections.size() == 2;
    }));
    links.tick();
    auto& dropped = voter.acceptedConnections.front();
    dropped.setReading(true);
    REQUIRE(test::runUntil(base.get(), [&] { return dropped.closed; }));
    CHECK(dropped.reset);
    CHECK(dropped.received.size() < install.snapshot.state.bytes.size());
}
