#include <rosemarymill/runtime/storage/descriptor.hpp>

#include <cerrno>
#include <string>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace rosemarymill::runtime::storage {

namespace {

class Category : public std::error_category {
public:
    [[nodiscard]] const char* name() const noexcept override { return "storage"; }
    [[nodiscard]] std::string message(int value) const override
    {
        switch (static_cast<StorageError>(value)) {
        case StorageError::FolderInUse:
            return "another process uses the data folder";
        case StorageError::DamagedLog:
            return "a record in the synced part of the log is damaged";
        }
        return "unknown storage error";
    }
};

Result<void> toResult(int result)
{
    if (result != 0)
        return lastError();
    return outcome::success();
}

} // namespace

std::error_code make_error_code(StorageError error) noexcept
{
    static const Category category;
    return { static_cast<int>(error), category };
}

std::error_code lastError() noexcept { return { errno, std::system_category() }; }

Descriptor::~Descriptor()
{
    if (m_fd >= 0)
        ::close(m_fd);
}

Result<Descriptor> Descriptor::openFile(const std::filesystem::path& path)
{
    Descriptor file { ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600) };
    if (file.get() < 0)
        return lastError();
    return file;
}

Result<std::vector<std::byte>> Descriptor::readAll() const
{
    struct stat status { };
    if (::fstat(m_fd, &status) != 0)
        return lastError();
    std::vector<std::byte> data(static_cast<std::size_t>(status.st_size));
    for (std::size_t done = 0; done < data.size();) {
        const auto n = ::pread(m_fd, data.data() + done, data.size() - done, static_cast<off_t>(done));
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0)
            return lastError();
        if (n == 0)
            data.resize(done);
        done += static_cast<std::size_t>(n);
    }
    return data;
}

Result<void> Descriptor::writeAt(std::span<const std::byte> data, std::uint64_t offset) const
{
    while (!data.empty()) {
        const auto n = ::pwrite(m_fd, data.data(), data.size(), static_cast<off_t>(offset));
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0)
            return lastError();
        data = data.subspan(static_cast<std::size_t>(n));
        offset += static_cast<std::uint64_t>(n);
    }
    return outcome::success();
}

Result<void> Descriptor::truncate(std::uint64_t size) const
{
    return toResult(::ftruncate(m_fd, static_cast<off_t>(size)));
}

Result<void> Descriptor::sync() const { return toResult(::fdatasync(m_fd)); }

Result<void> syncFolder(const std::filesystem::path& path)
{
    const Descriptor folder { ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC) };
    if (folder.get() < 0)
        return lastError();
    return toResult(::fsync(folder.get()));
}

} // namespace rosemarymill::runtime::storage
