#include <rosemarymill/core/fleet/document_parts.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using fleet::PartCollector;
using State = PartCollector::State;

namespace {

std::vector<std::byte> bytesOf(std::size_t n)
{
    std::vector<std::byte> bytes(n);
    for (std::size_t i = 0; i < n; ++i)
        bytes[i] = static_cast<std::byte>(i * 7);
    return bytes;
}

} // namespace

TEST_CASE("Parts of a push yield its bytes again", "[fleet]")
{
    PartCollector collector;
    for (const auto size : { std::size_t { 0 }, std::size_t { 1 }, fleet::maxPartBytes, 3 * fleet::maxPartBytes + 1 }) {
        const auto bytes = bytesOf(size);
        const auto parts = fleet::splitPush(1, 2, bytes);
        for (std::size_t i = 0; i < parts.size(); ++i) {
            CHECK(parts[i].bytes.size() <= fleet::maxPartBytes);
            CHECK(collector.add(parts[i]) == (i + 1 < parts.size() ? State::Incomplete : State::Complete));
        }
        CHECK(collector.take() == bytes);
    }
}

TEST_CASE("A push whose parts do not belong together is dropped once and does not harm the next one", "[fleet]")
{
    const auto first = fleet::splitPush(1, 2, bytesOf(3 * fleet::maxPartBytes));
    const auto second = fleet::splitPush(0, 3, bytesOf(2 * fleet::maxPartBytes));
    PartCollector collector;
    // The first part is missing.
    CHECK(collector.add(first[1]) == State::Incomplete);
    CHECK(collector.add(first[2]) == State::Broken);
    // One in the middle is missing.
    CHECK(collector.add(first[0]) == State::Incomplete);
    CHECK(collector.add(first[2]) == State::Broken);
    // Another push replaces one that is not complete.
    CHECK(collector.add(first[0]) == State::Incomplete);
    CHECK(collector.add(second[0]) == State::Incomplete);
    CHECK(collector.add(second[1]) == State::Complete);
    CHECK(collector.take().size() == 2 * fleet::maxPartBytes);
}

TEST_CASE("A push longer than the limit is not collected", "[fleet]")
{
    PartCollector collector;
    fleet::DocumentPart part { 0, 1, 0, 100, std::vector<std::byte>(fleet::maxPushBytes / 2) };
    CHECK(collector.add(part) == State::Incomplete);
    part.part = 1;
    CHECK(collector.add(part) == State::Incomplete);
    part.part = 2;
    CHECK(collector.add(part) == State::Incomplete);
    part.part = 99;
    CHECK(collector.add(part) == State::Broken);
    CHECK(collector.take().empty());
}
