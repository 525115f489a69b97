#pragma once

#include <rosemarymill/runtime/storage/descriptor.hpp>
#include <rosemarymill/wire/agreement/codec.hpp>

#include <filesystem>
#include <limits>
#include <span>
#include <vector>

namespace rosemarymill::runtime::storage {

/// Write-ahead log of one replicated log. The first record of the file holds a whole state; a record with a snapshot
/// replaces the file by a new one in one atomic step.
///
/// Each record carries the length of the file that was synced when it was written, and a small second file notes the
/// synced length. A record that cannot be read is damage when either shows that it had been synced; otherwise it is
/// the torn end of a write that nobody relied on.
class LogFile {
public:
    using RawRecord = wire::agreement::RawRecord;
    using RawPersistedState = wire::agreement::RawPersistedState;

    /// Opens or creates the log of the given name and reads it. A damaged log yields a state marked as damaged and is
    /// left as it is. Errors are those of the system calls.
    [[nodiscard]] static Result<LogFile> open(const std::filesystem::path& folder, const std::string& name,
        std::uint64_t capacity = std::numeric_limits<std::uint64_t>::max());

    /// State read at the opening. It is handed over once.
    [[nodiscard]] RawPersistedState takePersistedState() noexcept { return std::move(m_persistedState); }

    /// Bytes of a torn end that were removed at the opening.
    [[nodiscard]] std::uint64_t truncatedBytes() const noexcept { return m_truncated; }

    /// Writes and syncs records. After an error none of them is in the log. A full disk gives
    /// std::errc::no_space_on_device.
    [[nodiscard]] Result<void> append(std::span<const RawRecord> records);

    [[nodiscard]] std::uint64_t size() const noexcept { return m_size; }

private:
    LogFile(std::filesystem::path folder, const std::string& name, std::uint64_t capacity);

    Result<void> load();
    Result<void> rewrite(std::span<const RawRecord> records);
    Result<void> extend(std::span<const RawRecord> records);
    void noteSynced();

    std::filesystem::path m_folder;
    std::filesystem::path m_path;
    std::filesystem::path m_markPath;
    std::uint64_t m_capacity;
    Descriptor m_file;
    Descriptor m_mark;
    /// Changes with each replacement of the file.
    std::uint64_t m_generation { 0 };
    std::uint64_t m_size { 0 };
    std::uint64_t m_truncated { 0 };
    RawPersistedState m_persistedState;
};

} // namespace rosemarymill::runtime::storage
