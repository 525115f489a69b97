#include <rosemarymill/runtime/storage/data_folder.hpp>
#include <rosemarymill/runtime/storage/log_file.hpp>

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>

using namespace rosemarymill;
using namespace rosemarymill::runtime::storage;
using wire::agreement::RawPersistedState;
using wire::agreement::RawRecord;

namespace {

struct TemporaryFolder {
    TemporaryFolder()
    {
        std::string name = (std::filesystem::temp_directory_path() / "rosemarymill-XXXXXX").string();
        path = mkdtemp(name.data());
    }
    ~TemporaryFolder()
    {
        std::error_code ec;
        std::filesystem::remove_all(path, ec);
    }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    std::filesystem::path path;
};

RawRecord record(std::uint64_t index, std::size_t bytes = 50)
{
    RawRecord it;
    it.hard = { 3, VmId { "a" }, index - 1, 65536, true };
    it.entries.push_back({ index, 3, wire::Buffer(bytes, std::byte { 7 }) });
    return it;
}

RawPersistedState reopen(const TemporaryFolder& folder)
{
    return LogFile::open(folder.path, "test").value().takePersistedState();
}

RawPersistedState write(const TemporaryFolder& folder, std::uint64_t count)
{
    auto log = LogFile::open(folder.path, "test").value();
    RawPersistedState expected;
    for (std::uint64_t index = 1; index <= count; ++index) {
        const std::array records { record(index) };
        REQUIRE(log.append(records));
        agreement::applyRecord(expected, records[0]);
    }
    return expected;
}

void resize(const TemporaryFolder& folder, std::int64_t change)
{
    const auto path = folder.path / "test.log";
    std::filesystem::resize_file(path, std::filesystem::file_size(path) + static_cast<std::uintmax_t>(change));
}

void flipBit(const TemporaryFolder& folder, std::streamoff offset)
{
    std::fstream file(folder.path / "test.log", std::ios::in | std::ios::out | std::ios::binary);
    file.seekg(offset);
    const auto byte = static_cast<char>(file.get() ^ 1);
    file.seekp(offset);
    file.put(byte);
}

} // namespace

TEST_CASE("A log is read back as it was written", "[storage]")
{
    const TemporaryFolder folder;
    const auto expected = write(folder, 5);
    CHECK(reopen(folder) == expected);
}

TEST_CASE("An incomplete write at the end is truncated and later records are appended", "[storage]")
{
    const TemporaryFolder folder;
    const auto expected = write(folder, 5);
    std::ofstream(folder.path / "test.log", std::ios::app | std::ios::binary) << "half a record";
    {
        auto log = LogFile::open(folder.path, "test").value();
        CHECK(log.truncatedBytes() == 13);
        CHECK(log.takePersistedState() == expected);
        const std::array records { record(6) };
        REQUIRE(log.append(records));
    }
    CHECK(reopen(folder).entries.size() == 6);
}

TEST_CASE("Damage in the synced part is reported and the file is not modified", "[storage]")
{
    const TemporaryFolder folder;
    write(folder, 5);
    const auto size = std::filesystem::file_size(folder.path / "test.log");
    for (const auto offset : { 3UL, 40UL, size / 2, size - 1 }) {
        flipBit(folder, static_cast<std::streamoff>(offset));
        CHECK(reopen(folder).damaged);
        flipBit(folder, static_cast<std::streamoff>(offset));
        CHECK_FALSE(reopen(folder).damaged);
    }
    // Without the file of the synced length, later records still show that the bytes had been synced.
    std::filesystem::remove(folder.path / "test.synced");
    flipBit(folder, static_cast<std::streamoff>(size / 2));
    CHECK(reopen(folder).damaged);
    CHECK(std::filesystem::file_size(folder.path / "test.log") == size);
}

TEST_CASE("A log that lost synced records at its end is damaged", "[storage]")
{
    const TemporaryFolder folder;
    write(folder, 5);
    resize(folder, -10);
    CHECK(reopen(folder).damaged);
}

TEST_CASE("A snapshot replaces the file and keeps the entries after it", "[storage]")
{
    const TemporaryFolder folder;
    auto expected = write(folder, 5);
    RawRecord snapshot;
    snapshot.hard = expected.hard;
    snapshot.snapshot = { 4, 3, wire::Buffer(10, std::byte { 1 }) };
    {
        auto log = LogFile::open(folder.path, "test").value();
        const auto before = log.size();
        const std::array records { snapshot };
        REQUIRE(log.append(records));
        CHECK(log.size() < before);
    }
    agreement::applyRecord(expected, snapshot);
    CHECK(reopen(folder) == expected);
    CHECK(reopen(folder).entries.size() == 1);
    // A crash before the rename leaves a temporary file, which is ignored.
    std::ofstream(folder.path / "test.log.new") << "unfinished";
    CHECK(reopen(folder) == expected);
}

TEST_CASE("Appending to a full disk fails and loses no records", "[storage]")
{
    const TemporaryFolder folder;
    const auto expected = write(folder, 5);
    const auto size = std::filesystem::file_size(folder.path / "test.log");
    {
        auto log = LogFile::open(folder.path, "test", size + 100).value();
        const std::array large { record(6, 500) };
        const auto refused = log.append(large);
        REQUIRE_FALSE(refused);
        CHECK(refused.error() == std::errc::no_space_on_device);
    }
    CHECK(reopen(folder) == expected);
}

TEST_CASE("Two processes cannot share a data folder", "[storage]")
{
    const TemporaryFolder folder;
    {
        const auto first = DataFolder::open(folder.path / "data");
        REQUIRE(first);
        const auto second = DataFolder::open(folder.path / "data");
        REQUIRE_FALSE(second);
        CHECK(second.error() == StorageError::FolderInUse);
    }
    CHECK(DataFolder::open(folder.path / "data"));
}
