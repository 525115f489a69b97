#include <rosemarymill/runtime/proxy/event_buffer.hpp>

#include <catch2/catch.hpp>

#include <random>
#include <string>
#include <vector>

using rosemarymill::runtime::proxy::EventBuffer;

namespace {

std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: token " + std::to_string(id) + "\n\n"; }

} // namespace

TEST_CASE("only complete events are forwarded", "[proxy]")
{
    EventBuffer buffer;
    std::string out;
    CHECK(buffer.feed("id: 1\ndata: a\n\nid: 2\nda", out) == 1);
    CHECK(out == "id: 1\ndata: a\n\n");
    CHECK(buffer.partial());
    CHECK(buffer.lastId() == 1);
    CHECK(buffer.feed("ta: b\n\n", out) == 1);
    CHECK_FALSE(buffer.partial());
    CHECK(buffer.lastId() == 2);
    CHECK(buffer.feed("x-version: 2\r\nid: 3\r\ndata: c\r\n\r\n", out) == 1);
    CHECK(buffer.lastId() == 3);
}

TEST_CASE("a resumed stream has each event once, wherever it was interrupted", "[proxy]")
{
    std::string whole;
    for (int i = 1; i <= 20; ++i)
        whole += event(i);
    std::minstd_rand random(7);
    for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
        EventBuffer buffer;
        std::string out;
        for (std::size_t pos = 0; pos < cut;) {
            const auto n = std::min<std::size_t>(cut - pos, 1 + random() % 40);
            buffer.feed(std::string_view(whole).substr(pos, n), out);
            pos += n;
        }
        buffer.dropPartial();
        // The next server continues after the last id or starts from the first event; repeated events are filtered out.
        const auto first = random() % 2 ? static_cast<int>(buffer.lastId().value_or(0)) + 1 : 1;
        for (int i = first; i <= 20; ++i)
            buffer.feed(event(i), out);
        REQUIRE(out == whole);
    }
}

TEST_CASE("a stream starts after the event that the client already has", "[proxy]")
{
    EventBuffer buffer;
    buffer.setLastId(rosemarymill::runtime::proxy::parseEventId(" 12 "));
    std::string out;
    buffer.feed(event(12) + event(13), out);
    CHECK(out == event(13));
    CHECK(buffer.repeated() == 1);
    CHECK_FALSE(rosemarymill::runtime::proxy::parseEventId("twelve"));
}
