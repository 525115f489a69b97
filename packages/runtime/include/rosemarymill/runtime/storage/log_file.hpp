#pragma once

#include <rosemarymill/runtime/storage/descriptor.hpp>
#include <rosemarymill/wire/agreement/codec.hpp>

#include <filesystem>
#include <limits>
#include <span>
#include <vector>

namespace rosemarymill::runtime::storage {

/// Write-ahead log file of one replicated log. The first record of the file holds a complete state; a record with a
/// snapshot atomically replaces the file by a new one.
///
/// Each record contains the length of the file that was synced when it was written, and a second small file stores the
/// latest synced length. An unreadable record is damage when either length shows that it had been synced; otherwise it
/// is the end of an incomplete write that was never acknowledged.
class LogFile {
public:
    using RawRecord = wire::agreement::RawRecord;
    using RawPersistedState = wire::agreement::RawPersistedState;

    /// Opens or creates the log of the given name and reads it. A damaged log yields a state marked as damaged, and
    /// its file is not modified. Errors are those of the system calls.
    [[nodiscard]] static Result<LogFile> open(const std::filesystem::path& folder, const std::string& name,
        std::uint64_t capacity = std::numeric_limits<std::uint64_t>::max());

    /// Moves out the state that open() read. Call it once.
    [[nodiscard]] RawPersistedState takePersistedState() noexcept { return std::move(m_persistedState); }

    /// Bytes of an incomplete write that open() removed from the end of the file.
    [[nodiscard]] std::uint64_t truncatedBytes() const noexcept { return m_truncatedBytes; }

    /// Writes and syncs records. After an error none of them is in the log. A full disk gives
    /// std::errc::no_space_on_device.
    [[nodiscard]] Result<void> append(std::span<const RawRecord> records);

    [[nodiscard]] std::uint64_t size() const noexcept { return m_size; }

private:
    LogFile(std::filesystem::path folder, const std::string& name, std::uint64_t capacity);

    Result<void> load();
    Result<void> rewrite(std::span<const RawRecord> records);
    Result<void> extend(std::span<const RawRecord> records);
    void storeSyncedLength();

    std::filesystem::path m_folder;
    std::filesystem::path m_path;
    std::filesystem::path m_syncedLengthPath;
    std::uint64_t m_capacity;
    Descriptor m_file;
    Descriptor m_syncedLengthFile;
    /// Incremented with each replacement of the file.
    std::uint64_t m_generation { 0 };
    std::uint64_t m_size { 0 };
    std::uint64_t m_truncatedBytes { 0 };
    RawPersistedState m_persistedState;
};

} // namespace rosemarymill::runtime::storage
