#include <rosemarymill/runtime/backend/sse_parser.hpp>

#include <catch2/catch.hpp>

#include <vector>

using namespace rosemarymill::runtime::backend;

namespace {

struct Copy {
    std::string bytes;
    std::optional<std::uint64_t> id;
    bool done;
    bool empty;
};

std::vector<Copy> parse(const std::string& text, std::size_t pieceSize)
{
    SseParser parser;
    std::vector<Copy> events;
    for (std::size_t pos = 0; pos < text.size(); pos += pieceSize) {
        parser.feed(std::string_view(text).substr(pos, pieceSize), [&](const SseEvent& it) {
            events.push_back({ std::string(it.bytes), it.id, it.done, it.empty });
            return true;
        });
    }
    return events;
}

} // namespace

// Guards against events that are lost or merged when the byte stream is split within them.
TEST_CASE("Events are the same wherever the byte stream is split", "[sse]")
{
    const std::string text
        = ": comment\n\nid: 0\ndata: {\"a\":1}\n\ndata: x\r\nid: 1\r\n\r\nid:2\ndata:y\n\ndata: [DONE]\n\n";
    for (std::size_t size = 1; size <= text.size(); ++size) {
        const auto events = parse(text, size);
        REQUIRE(events.size() == 5);
        CHECK(events[0].empty);
        CHECK(events[1].id == 0);
        CHECK(events[1].bytes == "id: 0\ndata: {\"a\":1}\n\n");
        CHECK(events[2].id == 1);
        CHECK(events[3].id == 2);
        CHECK(events[4].done);
    }
}

// Guards against a token whose text equals the end marker, and against ids that are not numbers.
TEST_CASE("Only an event without an id is the end marker", "[sse]")
{
    CHECK(!parse("id: 7\ndata: [DONE]\n\n", 100)[0].done);
    CHECK(!parse("id: 7x\ndata: a\n\n", 100)[0].id);
    CHECK(!parse("id: -1\ndata: a\n\n", 100)[0].id);
}

// Guards against memory growth from an endless event.
TEST_CASE("An event longer than the limit stops parsing", "[sse]")
{
    SseParser parser;
    const auto accept = [](const SseEvent&) { return true; };
    CHECK(parser.feed(std::string(maxEventBytes, 'x'), accept));
    CHECK(!parser.feed("x", accept));
}
