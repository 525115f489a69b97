#pragma once

#include <rosemarymill/core/base/result.hpp>

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <span>
#include <system_error>
#include <utility>
#include <vector>

/// File descriptors and the system calls on them, with errors as std::error_code.
namespace rosemarymill::runtime::storage {

/// Errors of the data folder other than those of the system calls.
enum class StorageError {
    /// Another process holds the lock of the folder.
    FolderInUse = 1,
    /// A record in the synced part of the log cannot be read.
    DamagedLog
};

[[nodiscard]] std::error_code make_error_code(StorageError error) noexcept; // NOLINT(readability-identifier-naming)

/// Owned file descriptor.
class Descriptor {
public:
    Descriptor() = default;
    explicit Descriptor(int fd) noexcept
        : m_fd(fd)
    {
    }
    Descriptor(Descriptor&& other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    {
    }
    Descriptor& operator=(Descriptor&& other) noexcept
    {
        std::swap(m_fd, other.m_fd);
        return *this;
    }
    ~Descriptor();

    [[nodiscard]] int get() const noexcept { return m_fd; }

    /// Opens or creates a file for reading and writing.
    [[nodiscard]] static Result<Descriptor> openFile(const std::filesystem::path& path);

    [[nodiscard]] Result<std::vector<std::byte>> readAll() const;
    [[nodiscard]] Result<void> writeAt(std::span<const std::byte> data, std::uint64_t offset) const;
    [[nodiscard]] Result<void> truncate(std::uint64_t size) const;
    [[nodiscard]] Result<void> sync() const;

private:
    int m_fd { -1 };
};

/// Syncs a folder, which makes its created and renamed entries durable.
[[nodiscard]] Result<void> syncFolder(const std::filesystem::path& path);

/// Error of the last system call.
[[nodiscard]] std::error_code lastError() noexcept;

} // namespace rosemarymill::runtime::storage

template <> struct std::is_error_code_enum<rosemarymill::runtime::storage::StorageError> : std::true_type {
};
