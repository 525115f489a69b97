#include <rosemarymill/runtime/storage/data_folder.hpp>

#include <boost/outcome/try.hpp>

#include <cerrno>

#include <sys/file.h>

namespace rosemarymill::runtime::storage {

DataFolder::DataFolder(std::filesystem::path path, Descriptor lock) noexcept
    : m_path(std::move(path))
    , m_lock(std::move(lock))
{
}

Result<DataFolder> DataFolder::open(const std::filesystem::path& path)
{
    std::error_code ec;
    std::filesystem::create_directories(path, ec);
    if (ec)
        return ec;
    BOOST_OUTCOME_TRY(lock, Descriptor::openFile(path / "lock"));
    if (::flock(lock.get(), LOCK_EX | LOCK_NB) != 0)
        return errno == EWOULDBLOCK ? make_error_code(StorageError::FolderInUse) : lastError();
    BOOST_OUTCOME_TRYV(syncFolder(path));
    return DataFolder { path, std::move(lock) };
}

} // namespace rosemarymill::runtime::storage
