#include <rosemarymill/runtime/link/send_queue.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using runtime::LinkCounters;
using runtime::SendQueue;
using wire::FrameKind;

namespace {

SendQueue::Frame frame(FrameKind kind, std::size_t n, int mark = 0)
{
    return { kind, std::vector<std::byte>(n, static_cast<std::byte>(mark)) };
}

} // namespace

TEST_CASE("A full queue drops its oldest soft frames and keeps the others", "[link]")
{
    LinkCounters counters;
    SendQueue queue(counters);
    const auto third = runtime::maxQueuedBytes / 3;
    REQUIRE(queue.push(frame(FrameKind::Membership, third, 1)));
    REQUIRE(queue.push(frame(FrameKind::Agreement, third, 2)));
    REQUIRE(queue.push(frame(FrameKind::Admission, third, 3)));
    REQUIRE(queue.push(frame(FrameKind::Agreement, third, 4)));
    CHECK(queue.bytes() <= runtime::maxQueuedBytes);
    CHECK(counters.dropped[LinkCounters::slot(FrameKind::Membership)].messages == 1);
    CHECK(queue.pop().bytes[0] == std::byte { 2 });
    CHECK(queue.pop().bytes[0] == std::byte { 3 });
    CHECK(queue.pop().bytes[0] == std::byte { 4 });
    CHECK(queue.bytes() == 0);
}

TEST_CASE("A queue full of frames that must not be dropped rejects a new frame", "[link]")
{
    LinkCounters counters;
    SendQueue queue(counters);
    REQUIRE(queue.push(frame(FrameKind::Agreement, runtime::maxQueuedBytes)));
    CHECK_FALSE(queue.push(frame(FrameKind::Ledger, 1)));
    CHECK_FALSE(queue.push(frame(FrameKind::Membership, 1)));
    CHECK(counters.dropped[LinkCounters::slot(FrameKind::Ledger)].messages == 1);
    CHECK(queue.bytes() == runtime::maxQueuedBytes);
}
