#include <rosemarymill/core/fleet/document_parts.hpp>

#include <catch2/catch.hpp>

using namespace rosemarymill;
using fleet::PartReassembler;
using State = PartReassembler::State;

namespace {

std::vector<std::byte> bytesOf(std::size_t n)
{
    std::vector<std::byte> bytes(n);
    for (std::size_t i = 0; i < n; ++i)
        bytes[i] = static_cast<std::byte>(i * 7);
    return bytes;
}

} // namespace

TEST_CASE("Parts of a push are reassembled to its bytes", "[fleet]")
{
    PartReassembler reassembler;
    for (const auto size : { std::size_t { 0 }, std::size_t { 1 }, fleet::maxPartBytes, 3 * fleet::maxPartBytes + 1 }) {
        const auto bytes = bytesOf(size);
        const auto parts = fleet::splitPush(1, 2, bytes);
        for (std::size_t i = 0; i < parts.size(); ++i) {
            CHECK(parts[i].bytes.size() <= fleet::maxPartBytes);
            CHECK(reassembler.add(parts[i]) == (i + 1 < parts.size() ? State::Incomplete : State::Complete));
        }
        CHECK(reassembler.take() == bytes);
    }
}

TEST_CASE("A push with a missing part is dropped without affecting the next push", "[fleet]")
{
    const auto first = fleet::splitPush(1, 2, bytesOf(3 * fleet::maxPartBytes));
    const auto second = fleet::splitPush(0, 3, bytesOf(2 * fleet::maxPartBytes));
    PartReassembler reassembler;
    // The first part is missing.
    CHECK(reassembler.add(first[1]) == State::Incomplete);
    CHECK(reassembler.add(first[2]) == State::Broken);
    // One in the middle is missing.
    CHECK(reassembler.add(first[0]) == State::Incomplete);
    CHECK(reassembler.add(first[2]) == State::Broken);
    // A new push replaces an incomplete one.
    CHECK(reassembler.add(first[0]) == State::Incomplete);
    CHECK(reassembler.add(second[0]) == State::Incomplete);
    CHECK(reassembler.add(second[1]) == State::Complete);
    CHECK(reassembler.take().size() == 2 * fleet::maxPartBytes);
}

TEST_CASE("A push longer than the limit is not collected", "[fleet]")
{
    PartReassembler reassembler;
    fleet::DocumentPart part { 0, 1, 0, 100, std::vector<std::byte>(fleet::maxPushBytes / 2) };
    CHECK(reassembler.add(part) == State::Incomplete);
    part.part = 1;
    CHECK(reassembler.add(part) == State::Incomplete);
    part.part = 2;
    CHECK(reassembler.add(part) == State::Incomplete);
    part.part = 99;
    CHECK(reassembler.add(part) == State::Broken);
    CHECK(reassembler.take().empty());
}
