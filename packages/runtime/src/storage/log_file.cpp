#include <rosemarymill/runtime/storage/log_file.hpp>

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <cstring>
#include <optional>

#include <xxhash.h>

namespace rosemarymill::runtime::storage {

namespace {

using wire::Buffer;
using wire::agreement::RawPersistedState;
using wire::agreement::RawRecord;

/// Precedes each payload. The numbers are in the byte order of the machine, because a data folder is never moved to
/// another architecture.
struct Header {
    std::uint32_t magic { recordMagic };
    std::uint32_t length { 0 };
    std::uint64_t generation { 0 };
    /// Length of the file that was synced when the record was written.
    std::uint64_t syncedBefore { 0 };
    /// XXH3-64 of the payload, seeded with the other fields.
    std::uint64_t checksum { 0 };

    static constexpr std::uint32_t recordMagic = 0x4c4d5231;
};

/// Content of the file that stores the latest synced length of the log.
struct SyncedLength {
    std::uint64_t generation { 0 };
    std::uint64_t length { 0 };
    std::uint64_t checksum { 0 };

    [[nodiscard]] std::uint64_t expectedChecksum() const noexcept
    {
        return XXH3_64bits_withSeed(&length, 8, generation);
    }
};

std::uint64_t checksumOf(const Header& header, std::span<const std::byte> payload)
{
    const auto seed = header.generation * 31 + header.syncedBefore + header.length;
    return XXH3_64bits_withSeed(payload.data(), payload.size(), seed);
}

void appendRecord(const RawRecord& record, std::uint64_t generation, std::uint64_t synced, Buffer& buf)
{
    Buffer payload;
    wire::agreement::encode(record, payload);
    Header header;
    header.length = static_cast<std::uint32_t>(payload.size());
    header.generation = generation;
    header.syncedBefore = synced;
    header.checksum = checksumOf(header, payload);
    const auto* bytes = reinterpret_cast<const std::byte*>(&header);
    buf.insert(buf.end(), bytes, bytes + sizeof(header));
    buf.insert(buf.end(), payload.begin(), payload.end());
}

struct ReadRecord {
    Header header;
    std::span<const std::byte> payload;
};

/// Record at an offset; empty when it is truncated or its magic number or checksum does not match.
std::optional<ReadRecord> readRecord(std::span<const std::byte> data, std::uint64_t offset)
{
    ReadRecord record;
    if (data.size() < offset + sizeof(Header))
        return std::nullopt;
    std::memcpy(&record.header, data.data() + offset, sizeof(Header));
    const auto left = data.size() - offset - sizeof(Header);
    if (record.header.magic != Header::recordMagic || record.header.length > left)
        return std::nullopt;
    record.payload = data.subspan(offset + sizeof(Header), record.header.length);
    if (checksumOf(record.header, record.payload) != record.header.checksum)
        return std::nullopt;
    return record;
}

/// Whether the header of a later record shows that the bytes at the offset had been synced.
bool laterRecordProvesSync(std::span<const std::byte> data, std::uint64_t offset)
{
    for (auto pos = offset + 1; pos + sizeof(Header) <= data.size(); ++pos) {
        const auto record = readRecord(data, pos);
        if (record && record->header.syncedBefore > offset)
            return true;
    }
    return false;
}

RawRecord toRecord(RawPersistedState persistedState)
{
    return { std::move(persistedState.hard), std::move(persistedState.snapshot), std::nullopt,
        std::move(persistedState.entries) };
}

struct Replay {
    RawPersistedState persistedState;
    std::uint64_t generation { 0 };
    /// Bytes up to the first unreadable record.
    std::uint64_t length { 0 };
};

Replay replay(std::span<const std::byte> data)
{
    Replay result;
    while (const auto record = readRecord(data, result.length)) {
        auto decoded = wire::agreement::decodeRecord(record->payload);
        if (!decoded)
            break;
        rosemarymill::agreement::applyRecord(result.persistedState, decoded.value());
        result.generation = record->header.generation;
        result.length += sizeof(Header) + record->payload.size();
    }
    return result;
}

} // namespace

LogFile::LogFile(std::filesystem::path folder, const std::string& name, std::uint64_t capacity)
    : m_folder(std::move(folder))
    , m_path(m_folder / (name + ".log"))
    , m_syncedLengthPath(m_folder / (name + ".synced"))
    , m_capacity(capacity)
{
}

Result<LogFile> LogFile::open(const std::filesystem::path& folder, const std::string& name, std::uint64_t capacity)
{
    LogFile log(folder, name, capacity);
    BOOST_OUTCOME_TRYV(log.load());
    return log;
}

Result<void> LogFile::load()
{
    BOOST_OUTCOME_TRY(file, Descriptor::openFile(m_path));
    BOOST_OUTCOME_TRY(syncedLengthFile, Descriptor::openFile(m_syncedLengthPath));
    m_file = std::move(file);
    m_syncedLengthFile = std::move(syncedLengthFile);
    BOOST_OUTCOME_TRYV(syncFolder(m_folder));
    BOOST_OUTCOME_TRY(data, m_file.readAll());
    BOOST_OUTCOME_TRY(syncedLengthData, m_syncedLengthFile.readAll());
    SyncedLength storedLength;
    if (syncedLengthData.size() == sizeof(SyncedLength))
        std::memcpy(&storedLength, syncedLengthData.data(), sizeof(SyncedLength));
    auto result = replay(data);
    const bool valid = storedLength.checksum == storedLength.expectedChecksum() && storedLength.length > 0;
    // Without a readable record the generation of the file is unknown and assumed to be the stored one.
    const bool sameGeneration = valid && (result.length == 0 || storedLength.generation == result.generation);
    m_persistedState = std::move(result.persistedState);
    m_generation = std::max(result.generation, storedLength.generation);
    m_size = result.length;
    if ((sameGeneration && storedLength.length > result.length) || laterRecordProvesSync(data, result.length)) {
        m_persistedState = {};
        m_persistedState.damaged = true;
        return outcome::success();
    }
    m_truncatedBytes = data.size() - result.length;
    if (m_truncatedBytes > 0) {
        BOOST_OUTCOME_TRYV(m_file.truncate(result.length));
        BOOST_OUTCOME_TRYV(m_file.sync());
    }
    return outcome::success();
}

Result<void> LogFile::append(std::span<const RawRecord> records)
{
    const bool replacesFile = m_size == 0
        || std::any_of(records.begin(), records.end(), [](const auto& it) { return it.snapshot.has_value(); });
    BOOST_OUTCOME_TRYV(replacesFile ? rewrite(records) : extend(records));
    storeSyncedLength();
    return outcome::success();
}

Result<void> LogFile::extend(std::span<const RawRecord> records)
{
    Buffer buf;
    for (const auto& it : records)
        appendRecord(it, m_generation, m_size, buf);
    if (m_size + buf.size() > m_capacity)
        return std::make_error_code(std::errc::no_space_on_device);
    auto written = m_file.writeAt(buf, m_size);
    if (written)
        written = m_file.sync();
    if (!written) {
        // The failed write may have left partial bytes, and no record may follow them.
        (void)m_file.truncate(m_size);
        return written;
    }
    m_size += buf.size();
    return outcome::success();
}

Result<void> LogFile::rewrite(std::span<const RawRecord> records)
{
    BOOST_OUTCOME_TRY(data, m_file.readAll());
    auto persistedState = replay(data).persistedState;
    for (const auto& it : records)
        rosemarymill::agreement::applyRecord(persistedState, it);
    Buffer buf;
    appendRecord(toRecord(std::move(persistedState)), m_generation + 1, 0, buf);
    if (buf.size() > m_capacity)
        return std::make_error_code(std::errc::no_space_on_device);
    auto temporary = m_path;
    temporary += ".new";
    BOOST_OUTCOME_TRY(file, Descriptor::openFile(temporary));
    auto written = file.truncate(0);
    if (written)
        written = file.writeAt(buf, 0);
    if (written)
        written = file.sync();
    std::error_code ec;
    if (!written) {
        std::filesystem::remove(temporary, ec);
        return written;
    }
    std::filesystem::rename(temporary, m_path, ec);
    if (ec)
        return ec;
    m_file = std::move(file);
    ++m_generation;
    m_size = buf.size();
    return syncFolder(m_folder);
}

void LogFile::storeSyncedLength()
{
    SyncedLength syncedLength { m_generation, m_size, 0 };
    syncedLength.checksum = syncedLength.expectedChecksum();
    // This file holds only a lower bound of the synced length, so it needs no sync and a failed write is harmless.
    (void)m_syncedLengthFile.writeAt(std::as_bytes(std::span(&syncedLength, 1)), 0);
}

} // namespace rosemarymill::runtime::storage
