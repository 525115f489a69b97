#include <rosemarymill/core/fleet/group_records.hpp>

#include <catch2/catch.hpp>

#include <numeric>

using namespace rosemarymill;
using fleet::GroupRecord;
using fleet::GroupRecords;

namespace {

GroupRecord group(std::uint64_t epoch, std::initializer_list<const char*> servers, bool mayBeOpen = false)
{
    GroupRecord record { "g" + std::to_string(epoch), epoch, ServiceName { "llm" }, ModelName { "m" }, {}, mayBeOpen };
    for (const auto* it : servers)
        record.members.push_back({ ServerId { it }, 100, 5 });
    return record;
}

} // namespace

TEST_CASE("a stored group replaces its earlier stage and earlier groups of its members", "[fleet]")
{
    GroupRecords records;
    CHECK(store(records, group(1, { "a", "b" })));
    CHECK_FALSE(store(records, group(1, { "a", "b" })));
    CHECK(store(records, group(1, { "a", "b" }, true)));
    CHECK(store(records, group(2, { "c" })));
    REQUIRE(records.size() == 2);
    CHECK(records.front().mayBeOpen);
    CHECK(store(records, group(3, { "b", "d" })));
    REQUIRE(records.size() == 2);
    CHECK(records.front().epoch == 2);
    CHECK(records.back().find(ServerId { "b" }));
}

TEST_CASE("a group is erased up to an epoch", "[fleet]")
{
    GroupRecords records;
    static_cast<void>(store(records, group(7, { "a" })));
    CHECK_FALSE(erase(records, "g7", 6));
    CHECK(erase(records, "g7", 7));
    CHECK(records.empty());
}

TEST_CASE("the oldest groups are dropped when all together are too large for a snapshot", "[fleet]")
{
    GroupRecords records;
    constexpr std::uint64_t n = 4000;
    for (std::uint64_t epoch = 1; epoch <= n; ++epoch)
        static_cast<void>(store(records, group(epoch, { ("server-" + std::to_string(epoch)).c_str() })));
    const auto bytes = std::accumulate(records.begin(), records.end(), std::size_t { 0 },
        [](std::size_t sum, const auto& it) { return sum + estimatedBytes(it); });
    CHECK(bytes <= fleet::maxGroupRecordsBytes);
    CHECK(records.size() < n);
    CHECK(records.back().epoch == n);
}
