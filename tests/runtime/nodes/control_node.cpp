#include "runtime/nodes/control_world.hpp"

#include <rosemarymill/runtime/storage/log_file.hpp>
#include <rosemarymill/wire/compress/compress.hpp>
#include <rosemarymill/wire/fleet/codec.hpp>
#include <rosemarymill/wire/frame/frame.hpp>

#include <array>

using namespace rosemarymill;
using test::documentOf;
using test::documentText;
using test::randomText;
using test::World;

TEST_CASE("the control log accepts documents after one that is too large for a frame was rejected", "[nodes]")
{
    World world;
    REQUIRE(world.store(1, documentText(1, 1000)));
    // A document as large as a frame leaves no room for the log's own fields.
    CHECK_FALSE(world.store(2, randomText(2, wire::maxFramePayloadBytes)));
    CHECK(world.store(3, documentText(3, 1000)));
    CHECK(world.waitForVersion(3));
    CHECK(world.store(4, randomText(4, fleet::maxStoredDocumentBytes - 8 * 1024)));
    CHECK(world.waitForVersion(4));
    CHECK_FALSE(world.store(5, documentText(5, fleet::maxDocumentBytes + 1)));
    CHECK(world.store(6, documentText(6, fleet::maxDocumentBytes)));
    CHECK(world.waitForVersion(6));
}

TEST_CASE("a control VM reports metrics of its log and its document", "[nodes]")
{
    World world;
    const auto text = documentText(1, 1000);
    REQUIRE(world.store(1, text));
    REQUIRE(world.waitForVersion(1));
    const auto& leader = world.waitForLeader();
    CHECK(World::metric(leader, "rosemarymill_control_document_bytes")
        == static_cast<double>(wire::compress(text).value().size()));
    CHECK(World::metric(leader, "rosemarymill_control_log_commit") > 1);
    CHECK(World::metric(leader, "rosemarymill_control_commit_seconds_count{}") == 1);
    CHECK(World::metric(leader, "rosemarymill_control_unknown_proposals_total") == 0);
    CHECK(World::metric(leader, "rosemarymill_control_voters_answering") == 3);
    CHECK(World::metric(leader, "rosemarymill_control_voters_caught_up") == 3);
    CHECK(World::metric(leader, "rosemarymill_control_standbys") == 0);
    CHECK(World::metric(leader, "rosemarymill_control_leader_known") == 1);
    CHECK(World::metric(leader, "rosemarymill_control_last_commit_age_ms") < 1000);
    CHECK(World::metric(leader, "rosemarymill_control_decode_seconds_count{}") == 0);
    for (const auto& it : world.vms) {
        if (&it != &leader)
            CHECK(World::metric(leader, "rosemarymill_control_log_waiting_bytes{vm=\"" + it.address + "\"}") == 0);
    }
}

TEST_CASE(
    "documents are logged compressed, so that rapid changes do not saturate links and disks of control VMs", "[nodes]")
{
    // 16 versions per second, each sent to four followers, may use at most half of a link of 170 Mbit/s.
    constexpr std::size_t bytesPerVersion = 170'000'000 / 8 / 2 / 16 / 4;
    constexpr std::size_t documentBytes = 430'000;
    World world;
    REQUIRE(world.store(1, documentText(1, 10)));
    REQUIRE(world.waitForVersion(1));
    const auto logBytes = [&] { return std::filesystem::file_size(world.vms.front().folder + "/fleet.log"); };
    const auto before = logBytes();
    const auto text = documentText(2, documentBytes);
    REQUIRE(world.store(2, text));
    REQUIRE(world.waitForVersion(2));
    CHECK(logBytes() - before < bytesPerVersion);
    CHECK(world.read() == text);
}

// Guards against a log that fills the disks of all control VMs and then accepts no command that would shorten it.
TEST_CASE("large documents that hardly compress do not fill the disks of control VMs", "[nodes]")
{
    // An eighth of a disk of 128 MB, for a log with as many entries as are kept at most without a snapshot.
    constexpr std::size_t maxLogBytes = 16'000'000;
    constexpr std::uint64_t versions = 24;
    World world;
    std::string text;
    std::uintmax_t largest = 0;
    for (std::uint64_t version = 1; version <= versions; ++version) {
        text = randomText(version, fleet::maxStoredDocumentBytes - 8 * 1024);
        REQUIRE(world.store(version, text));
        REQUIRE(world.waitForVersion(version));
        for (const auto& it : world.vms)
            largest = std::max(largest, std::filesystem::file_size(it.folder + "/fleet.log"));
    }
    CHECK(largest < maxLogBytes);
    CHECK(world.read() == text);
    // A voter that has lost its disk receives the state by a snapshot.
    auto& lost = world.vms.front();
    world.loseDisk(lost);
    world.start(lost, false);
    CHECK(world.waitForVersion(versions));
}

TEST_CASE("a read returns the submitted bytes also after all control VMs have restarted", "[nodes]")
{
    World world;
    const auto text = documentText(1, 300'000) + std::string("\0\xff {}", 5);
    REQUIRE(world.store(1, text));
    REQUIRE(world.waitForVersion(1));
    for (auto& it : world.vms)
        it.node.reset();
    for (auto& it : world.vms)
        world.start(it);
    CHECK(world.read() == text);
}

TEST_CASE("a log of a version that did not compress documents stays readable", "[nodes]")
{
    const auto text = documentText(7, 1000);
    World world([&](const std::filesystem::path& folder) {
        auto log = runtime::storage::LogFile::open(folder, "fleet").value();
        wire::agreement::RawRecord record;
        record.hard = { 1, {}, 1, 65536, true };
        record.entries.push_back({ 1, 1, wire::Buffer {} });
        wire::fleet::Codec::encodeCommand(fleet::StoreDocument { "s", 7, text }, *record.entries.front().command);
        REQUIRE(log.append(std::array { record }));
    });
    CHECK(world.read() == text);
    REQUIRE(world.store(8, documentText(8, 1000)));
    CHECK(world.read() == documentText(8, 1000));
}

TEST_CASE("a departure is acknowledged only once a majority of the control VMs has stored it", "[nodes]")
{
    World world;
    auto& leader = world.waitForLeader();
    fleet::ServerRecord record;
    record.id = ServerId { "a" };
    record.startedAtMs = 100;
    record.draining = true;
    std::optional<bool> acknowledged;
    const auto done = [&](bool it) { acknowledged = it; };
    leader.node->heartbeat(record, done);
    CHECK_FALSE(acknowledged);
    REQUIRE(test::runUntil(world.base.get(), [&] { return acknowledged.has_value(); }));
    CHECK(*acknowledged);

    for (auto& it : world.vms) {
        if (&it != &leader)
            it.node.reset();
    }
    // The log holds this departure already.
    acknowledged.reset();
    leader.node->heartbeat(record, done);
    CHECK(acknowledged == true);
    for (const bool leaves : { false, true }) {
        acknowledged.reset();
        record.id = ServerId { leaves ? "b" : "c" };
        if (leaves)
            leader.node->serverLeft(record.id, done);
        else
            leader.node->heartbeat(record, done);
        REQUIRE(test::runUntil(world.base.get(), [&] { return acknowledged.has_value(); }));
        CHECK_FALSE(*acknowledged);
    }
}

TEST_CASE("control VMs do not decode a document that they have decoded already or do not use", "[nodes]")
{
    World world;
    for (std::uint64_t version = 1; version <= 3; ++version) {
        REQUIRE(world.store(version, documentText(version, 1000)));
        REQUIRE(world.waitForVersion(version));
    }
    for (const auto& it : world.vms)
        CHECK(it.decoded == 0);
}

TEST_CASE("a new leader decodes the stored document once", "[nodes]")
{
    World world;
    REQUIRE(world.store(1, documentText(1, 1000)));
    REQUIRE(world.store(2, documentText(2, 1000)));
    REQUIRE(world.waitForVersion(2));
    world.waitForLeader().node.reset();
    auto& successor = world.waitForLeader();
    CHECK(successor.decoded == 1);
    CHECK(world.read() == documentText(2, 1000));
    REQUIRE(world.store(3, documentText(3, 1000)));
    CHECK(successor.decoded == 1);
}

TEST_CASE("a version older than the stored one is acknowledged and changes nothing", "[nodes]")
{
    World world;
    auto& leader = world.waitForLeader();
    unsigned committed = 0;
    // More proposals are in flight than decoded documents are kept, and newer versions precede older ones.
    for (const std::uint64_t version : { 5, 3, 9, 4, 8, 10, 7, 12, 2, 11 }) {
        REQUIRE(leader.node->storeDocument(
            documentOf(version), documentText(version, 1000), [&](bool it) { committed += it ? 1 : 0; }));
    }
    REQUIRE(test::runUntil(world.base.get(), [&] { return committed == 10; }));
    CHECK(world.waitForVersion(12));
    CHECK(world.read() == documentText(12, 1000));
}

TEST_CASE("a leader that shuts down transfers leadership to another control VM immediately", "[nodes]")
{
    World world;
    REQUIRE(world.store(1, documentText(1, 1000)));
    REQUIRE(world.waitForVersion(1));
    auto& leader = world.waitForLeader();
    const auto began = runtime::readClock();
    bool finished = false;
    leader.node->shutDown(2s, [&] { finished = true; });
    REQUIRE(test::runUntil(world.base.get(), [&] { return finished; }));
    CHECK_FALSE(leader.node->leads());
    leader.node.reset();
    world.waitForLeader();
    CHECK(runtime::readClock() - began < 900ms);
    CHECK(world.store(2, documentText(2, 1000)));
}

TEST_CASE("a change is committed after a lost leader was replaced and the next leader lost its disk", "[voter-losses]")
{
    // Bounds of a deployment, see docs/platform.md.
    constexpr Duration catchUpTime = 4s;
    constexpr Duration contact = 3s;
    constexpr Duration ack = 4s;
    World world;
    REQUIRE(world.store(1, documentText(1, 1000)));
    world.waitForLeader().node.reset();
    world.start(world.add(), false);
    test::runFor(world.base.get(), std::chrono::duration_cast<std::chrono::milliseconds>(catchUpTime));
    auto& wiped = world.waitForLeader();
    world.loseDisk(wiped);
    world.start(wiped, false);
    const auto begin = runtime::readClock();
    CHECK(world.store(2, documentText(2, 1000)));
    CHECK(runtime::readClock() < begin + contact + ack);
}

TEST_CASE("a non-voting control VM connects to a new leader and forwards calls to it", "[nodes]")
{
    World world;
    REQUIRE(world.store(1, documentText(1, 1000)));
    REQUIRE(world.waitForVersion(1));
    auto& nonVoter = world.add();
    world.start(nonVoter, false);
    REQUIRE(world.waitForVersion(1));
    for (auto& it : world.vms) {
        it.node->calls().onExecute([](const fleet::ControlCall&, const auto& answered) { answered({ 200, {} }); });
    }
    auto& failedLeader = world.waitForLeader();
    REQUIRE(&failedLeader != &nonVoter);
    failedLeader.node.reset();
    world.waitForLeader();
    test::runFor(world.base.get(), 3000ms);
    unsigned status = 0;
    nonVoter.node->calls().accept({ "GET", "/", {} }, [&status](const auto& answer) { status = answer.status; });
    CHECK(test::runUntil(world.base.get(), [&] { return status != 0; }));
    CHECK(status == 200);
    CHECK(world.store(2, documentText(2, 1000)));
    CHECK(world.waitForVersion(2));
}
