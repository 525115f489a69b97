#include <rosemarymill/runtime/nodes/entry_node.hpp>

#include <rosemarymill/core/fleet/document_parts.hpp>
#include <rosemarymill/wire/fleet/codec.hpp>
#include <rosemarymill/wire/routes/codec.hpp>

#include "support/documents.hpp"
#include "support/http.hpp"
#include "support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <sstream>

using namespace rosemarymill;
using runtime::nodes::EntryNode;

namespace {

std::string frameOf(wire::FrameKind kind, const wire::Buffer& payload)
{
    std::vector<std::byte> bytes;
    wire::appendFrame(kind, payload, bytes);
    return { reinterpret_cast<const char*>(bytes.data()), bytes.size() };
}

/// Entry VM connected to a leader that the test simulates.
struct World {
    World()
        : base(event_base_new())
        , leader(base.get())
    {
        runtime::nodes::EntryNodeSettings settings;
        settings.vm = VmId { "entry" };
        settings.dataCentre = DataCentreId { "mixco" };
        settings.seeds = { leader.address() };
        settings.proxy.address = runtime::parseAddress("127.0.0.1:0").value();
        settings.seed = 1;
        entry.emplace(base.get(), std::move(settings), budget);
        connect();
    }

    void connect()
    {
        const auto before = leader.acceptedConnections.size();
        REQUIRE(test::runUntil(base.get(), [&] { return leader.acceptedConnections.size() > before; }));
        wire::Buffer hello;
        encode(wire::link::Hello { VmId { "leader" }, DataCentreId { "mixco" }, BootId { "1" } }, hello);
        leader.acceptedConnections.back().send(frameOf(wire::FrameKind::Hello, hello));
        fleet::Members members;
        members.leader = leader.address();
        send(members);
    }

    void send(const fleet::Message& message)
    {
        wire::Buffer payload;
        wire::fleet::encode(message, payload);
        leader.acceptedConnections.back().send(frameOf(wire::FrameKind::Fleet, payload));
    }

    void push(const routes::DocumentChanges& changes)
    {
        const auto packed = wire::routes::pack(changes).value();
        for (const auto& it : fleet::splitPush(changes.from, changes.to, std::as_bytes(std::span { packed })))
            send(it);
    }

    /// Waits for the next message of this type from the entry VM.
    template <typename Message> Message next()
    {
        std::optional<Message> found;
        auto& received = leader.acceptedConnections.back().received;
        test::runUntil(base.get(), [&] {
            while (!found) {
                const auto frame = wire::readFrame(std::as_bytes(std::span { received })).value();
                if (!frame)
                    break;
                if (frame->kind == wire::FrameKind::Fleet) {
                    const auto message = wire::fleet::decode(frame->payload).value();
                    if (const auto* it = std::get_if<Message>(&message))
                        found = *it;
                }
                received.erase(0, frame->size);
            }
            return found.has_value();
        });
        REQUIRE(found);
        return *found;
    }

    [[nodiscard]] std::string inForce() const
    {
        std::ostringstream out;
        entry->writeMetrics(out);
        const auto text = out.str();
        const std::string name = "\nrosemarymill_proxy_document_version ";
        const auto at = text.find(name) + name.size();
        return text.substr(at, text.find('\n', at) - at);
    }

    test::EventBase base;
    runtime::ConnectionBudget budget { base.get() };
    test::RawListener leader;
    std::optional<EntryNode> entry;
};

} // namespace

TEST_CASE(
    "An entry VM answers each push with its active version, and sends that version on a new connection", "[nodes]")
{
    World world;
    CHECK(world.next<fleet::Subscribe>().documentVersion == 0);
    routes::DocumentTable table;
    table.replace(test::largeDocument(4, 2000));
    world.push(table.changesSince(0));
    CHECK(world.next<fleet::DocumentInForce>().version == 4);
    CHECK(world.inForce() == "4");
    table.replace(test::largeDocument(6, 2001));
    world.push(table.changesSince(4));
    CHECK(world.next<fleet::DocumentInForce>().version == 6);
    world.leader.acceptedConnections.back().close();
    world.connect();
    CHECK(world.next<fleet::Subscribe>().documentVersion == 6);
}

TEST_CASE("An entry VM keeps its document when changes start at another version or are older", "[nodes]")
{
    World world;
    routes::DocumentTable table;
    table.replace(test::largeDocument(4, 10));
    const auto old = table.changesSince(0);
    table.replace(test::largeDocument(5, 11));
    const auto gap = table.changesSince(4);
    table.replace(test::largeDocument(6, 12));
    world.push(gap);
    CHECK(world.next<fleet::DocumentInForce>().version == 0);
    world.push(table.changesSince(0));
    CHECK(world.next<fleet::DocumentInForce>().version == 6);
    world.push(old);
    CHECK(world.next<fleet::DocumentInForce>().version == 6);
    world.push(gap);
    CHECK(world.next<fleet::DocumentInForce>().version == 6);
    CHECK(world.inForce() == "6");
}

TEST_CASE("An entry VM keeps its document when a push cannot be decoded", "[nodes]")
{
    World world;
    routes::DocumentTable table;
    table.replace(test::largeDocument(4, 10));
    world.push(table.changesSince(0));
    CHECK(world.next<fleet::DocumentInForce>().version == 4);
    world.send(fleet::DocumentPart { 0, 9, 0, 1, { std::byte { 1 } } });
    CHECK(world.next<fleet::DocumentInForce>().version == 4);
    world.send(fleet::DocumentPart { 0, 9, 1, 2, { std::byte { 1 } } });
    CHECK(world.next<fleet::DocumentInForce>().version == 4);
    CHECK(world.inForce() == "4");
}
