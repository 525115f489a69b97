#pragma once

#include <rosemarymill/core/base/result.hpp>
#include <rosemarymill/runtime/storage/descriptor.hpp>

#include <filesystem>

namespace rosemarymill::runtime::storage {

/// Folder with the durable state of one process. An exclusive file lock guards it against a second process.
class DataFolder {
public:
    /// Creates the folder when it is missing. The errors are StorageError::FolderInUse and those of the system calls.
    [[nodiscard]] static Result<DataFolder> open(const std::filesystem::path& path);

    [[nodiscard]] const std::filesystem::path& path() const noexcept { return m_path; }

private:
    DataFolder(std::filesystem::path path, Descriptor lock) noexcept;

    std::filesystem::path m_path;
    Descriptor m_lock;
};

} // namespace rosemarymill::runtime::storage
